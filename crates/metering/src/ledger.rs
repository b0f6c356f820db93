//! The replicated usage: the counts of edges in open windows, and the reports of closed windows.
//!
//! The counts of a closed window do not change, and windows are closed in ascending order.

use crate::window::{Counts, WindowNumber};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of closed windows that are stored, delivered or not: 20 min of windows of 5 s.
/// This bounds the state while the platform is unreachable; the reports of older windows are lost.
const MAX_CLOSED_WINDOWS: usize = 240;

/// One run of an edge process. The counts of every run start at 0.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EdgeLife {
    /// Name of the machine.
    pub machine: String,
    /// Random number generated at the start of the process.
    pub incarnation: u64,
}

/// A command of the replicated log that changes the usage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsageCommand {
    /// Stores the total counts of edges in open windows so far.
    Keep(Vec<(EdgeLife, WindowNumber, Counts)>),
    /// Closes a window. The report of the window is the sum of the stored counts of all edge
    /// processes. It is computed when this entry is applied, so that it includes counts that were
    /// not yet committed when the leader proposed to close the window.
    Close(WindowNumber),
    /// Records that the platform accepted the report of a window.
    Delivered(WindowNumber),
}

/// Report of a closed window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClosedWindow {
    counts: Counts,
    is_delivered: bool,
}

/// The replicated usage of all tenants.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageLedger {
    open: BTreeMap<WindowNumber, BTreeMap<EdgeLife, Counts>>,
    closed: BTreeMap<WindowNumber, ClosedWindow>,
    /// The newest closed window.
    closed_through: Option<WindowNumber>,
}

impl UsageLedger {
    /// Applies a command.
    pub fn apply(&mut self, command: UsageCommand) {
        match command {
            UsageCommand::Keep(counted) => {
                for (life, window, counts) in counted {
                    self.store(life, window, counts);
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

    fn store(&mut self, life: EdgeLife, window: WindowNumber, counts: Counts) {
        if self.closed_through.is_some_and(|through| window <= through) {
            return;
        }
        let by_life = self.open.entry(window).or_default();
        let stored = by_life.entry(life).or_default();
        // A lower count is outdated: reports may arrive out of order after a change of leader.
        for (tenant, count) in counts {
            let stored = stored.entry(tenant).or_default();
            *stored = (*stored).max(count);
        }
    }

    fn close(&mut self, window: WindowNumber) {
        if self.closed_through.is_some_and(|through| window <= through) {
            return;
        }
        let counts = self.sum(window);
        self.closed_through = Some(window);
        self.open = self.open.split_off(&(window + 1));
        let closed = ClosedWindow {
            counts,
            is_delivered: false,
        };
        self.closed.insert(window, closed);
        while self.closed.len() > MAX_CLOSED_WINDOWS {
            self.closed.pop_first();
        }
    }

    /// Returns the newest closed window.
    pub fn closed_through(&self) -> Option<WindowNumber> {
        self.closed_through
    }

    /// Returns the oldest open window that has counts.
    pub fn oldest_open(&self) -> Option<WindowNumber> {
        self.open.keys().next().copied()
    }

    /// Returns the sum of the counts of all edges in an open window.
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

    /// Returns the oldest closed window whose report the platform has not accepted, with its counts.
    pub fn undelivered(&self) -> Option<(WindowNumber, &Counts)> {
        let mut closed = self.closed.iter();
        let (window, closed) = closed.find(|(_, closed)| !closed.is_delivered)?;
        Some((*window, &closed.counts))
    }
}
