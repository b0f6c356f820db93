//! What the log keeps of usage: edges' counts of open windows, and what the reports of
//! closed ones say.
//!
//! Invariants: a window that is closed keeps its counts; windows are closed in
//! ascending order.

use crate::window::{Counts, WindowNumber};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Closed windows that are kept, delivered or not.
const KEPT_WINDOWS: usize = 240;

/// One life of an edge's process: what it counts begins at nothing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EdgeLife {
    /// Name of its machine.
    pub machine: String,
    /// Drawn at its start.
    pub incarnation: u64,
}

/// A command of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsageCommand {
    /// Keeps what edges counted in open windows so far.
    Keep(Vec<(EdgeLife, WindowNumber, Counts)>),
    /// Fixes what the report of a window says: all that is kept by this place of the
    /// log, so that no count on its way into the log is passed over.
    Close(WindowNumber),
    /// The platform took the report of a window.
    Delivered(WindowNumber),
}

/// A closed window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Closed {
    counts: Counts,
    is_delivered: bool,
}

/// Usage as the log keeps it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageLedger {
    open: BTreeMap<WindowNumber, BTreeMap<EdgeLife, Counts>>,
    closed: BTreeMap<WindowNumber, Closed>,
    closed_through: Option<WindowNumber>,
}

impl UsageLedger {
    /// Applies a command.
    pub fn apply(&mut self, command: UsageCommand) {
        match command {
            UsageCommand::Keep(kept) => {
                for (life, window, counts) in kept {
                    self.keep(life, window, counts);
                }
            }
            UsageCommand::Close(window) => self.close(window),
            UsageCommand::Delivered(window) => {
                if let Some(closed) = self.closed.get_mut(&window) {
                    closed.is_delivered = true;
                }
            }
        }
    }

    fn keep(&mut self, life: EdgeLife, window: WindowNumber, counts: Counts) {
        if self.closed_through.is_some_and(|through| window <= through) {
            return;
        }
        let kept = self.open.entry(window).or_default();
        let known = kept.entry(life).or_default();
        // An older report may come after a newer one where leaders change.
        for (tenant, count) in counts {
            let known = known.entry(tenant).or_default();
            *known = (*known).max(count);
        }
    }

    fn close(&mut self, window: WindowNumber) {
        if self.closed_through.is_some_and(|through| window <= through) {
            return;
        }
        let counts = self.sum(window);
        self.closed_through = Some(window);
        self.open = self.open.split_off(&(window + 1));
        let closed = Closed {
            counts,
            is_delivered: false,
        };
        self.closed.insert(window, closed);
        while self.closed.len() > KEPT_WINDOWS {
            self.closed.pop_first();
        }
    }

    /// The newest closed window.
    pub fn closed_through(&self) -> Option<WindowNumber> {
        self.closed_through
    }

    /// The oldest window for which anything is kept.
    pub fn oldest_open(&self) -> Option<WindowNumber> {
        self.open.keys().next().copied()
    }

    /// What edges counted in an open window, summed up.
    fn sum(&self, window: WindowNumber) -> Counts {
        let mut sum = Counts::new();
        for counts in self
            .open
            .get(&window)
            .into_iter()
            .flat_map(BTreeMap::values)
        {
            for (tenant, count) in counts {
                *sum.entry(tenant.clone()).or_default() += count;
            }
        }
        sum
    }

    /// The oldest window whose report the platform has not taken.
    pub fn undelivered(&self) -> Option<(WindowNumber, &Counts)> {
        let mut closed = self.closed.iter();
        let (window, closed) = closed.find(|(_, closed)| !closed.is_delivered)?;
        Some((*window, &closed.counts))
    }
}
