//! Usage as the log keeps it: edges' counts of open windows, and the reports of closed ones.
//!
//! Invariants: the counts of a closed window do not change; windows are closed in ascending
//! order.

use crate::window::{Counts, WindowNumber};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most closed windows kept, delivered or not: 20 min of windows of 5 s. It bounds the log's
/// state while the platform is out of reach; older reports are lost. Not measured.
const MOST_CLOSED: usize = 240;

/// One start of an edge's process. Its counts begin at 0.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EdgeLife {
    /// Name of its machine.
    pub machine: String,
    /// Random number, drawn at the start of the process.
    pub incarnation: u64,
}

/// A command of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsageCommand {
    /// Keeps all that edges counted in open windows so far.
    Keep(Vec<(EdgeLife, WindowNumber, Counts)>),
    /// Closes a window: its report is the sum of the counts kept up to this entry of the log. The
    /// log sums, and not the leader, so that counts on their way into the log are included.
    Close(WindowNumber),
    /// The platform accepted the report of a window.
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
    /// The newest window that was closed.
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
        // Counts only rise; after a change of leader an older report may arrive after a newer one.
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
        while self.closed.len() > MOST_CLOSED {
            self.closed.pop_first();
        }
    }

    /// The newest closed window.
    pub fn closed_through(&self) -> Option<WindowNumber> {
        self.closed_through
    }

    /// The oldest open window with counts.
    pub fn oldest_open(&self) -> Option<WindowNumber> {
        self.open.keys().next().copied()
    }

    /// Sum of what edges counted in an open window.
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

    /// The oldest closed window whose report the platform has not accepted.
    pub fn undelivered(&self) -> Option<(WindowNumber, &Counts)> {
        let mut closed = self.closed.iter();
        let (window, closed) = closed.find(|(_, closed)| !closed.is_delivered)?;
        Some((*window, &closed.counts))
    }
}
