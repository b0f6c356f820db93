//! Rate-limited source of weights: the weight store, or an engine that uploads to other engines.

use brasspond_types::Timestamp;
use std::time::Duration;

/// A source of weights that serves a limited number of concurrent transfers.
#[derive(Clone, Debug)]
pub struct WeightStore {
    busy_until: Vec<Timestamp>,
    transfer: Duration,
}

/// Response to a request for weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transfer {
    /// The transfer has started and takes the given time.
    Begun(Duration),
    /// All slots are in use.
    Busy,
}

impl WeightStore {
    /// Creates a store with `slots` concurrent transfers, each of which takes `transfer`.
    pub fn new(slots: usize, transfer: Duration) -> Self {
        Self {
            busy_until: vec![Timestamp::ZERO; slots],
            transfer,
        }
    }

    /// Starts a transfer if a slot is free.
    pub fn begin(&mut self, now: Timestamp) -> Transfer {
        let free = self.busy_until.iter_mut().find(|until| **until <= now);
        match free {
            Some(until) => {
                *until = now + self.transfer;
                Transfer::Begun(self.transfer)
            }
            None => Transfer::Busy,
        }
    }
}
