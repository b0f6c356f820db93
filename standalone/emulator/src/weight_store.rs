//! The rate-limited weight store, and copying between engines.

use brasspond_types::Timestamp;
use std::time::Duration;

/// A source of weights that serves a limited number of transfers at a time.
#[derive(Clone, Debug)]
pub struct WeightStore {
    slots: Vec<Timestamp>,
    transfer: Duration,
}

/// Answer to a request for weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transfer {
    /// The weights arrive after this time.
    Begun(Duration),
    /// No capacity is left now.
    Busy,
}

impl WeightStore {
    /// A store that serves `slots` transfers at a time, each taking `transfer`.
    pub fn new(slots: usize, transfer: Duration) -> Self {
        Self {
            slots: vec![Timestamp::ZERO; slots],
            transfer,
        }
    }

    /// Begins a transfer if a slot is free.
    pub fn begin(&mut self, now: Timestamp) -> Transfer {
        let free = self.slots.iter_mut().find(|until| **until <= now);
        match free {
            Some(until) => {
                *until = now + self.transfer;
                Transfer::Begun(self.transfer)
            }
            None => Transfer::Busy,
        }
    }
}
