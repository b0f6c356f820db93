//! What an edge counts.

use crate::window::{Counts, WindowNumber, Windows};
use brasspond_units::WallMillis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Windows an edge keeps at the most while no leader closes any.
const MOST_WINDOWS: usize = 120;

/// What an edge counted: of each window all so far, not what was added.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Windows whose counts changed since they were told.
    pub windows: Vec<(WindowNumber, Counts)>,
    /// Counts of windows before this one will not change any more.
    pub open_from: WindowNumber,
}

/// Counts of one edge's process, by window.
#[derive(Clone, Debug)]
pub struct UsageRecorder {
    windows: Windows,
    counts: BTreeMap<WindowNumber, Counts>,
    /// Windows whose counts the leader does not know.
    untold: BTreeSet<WindowNumber>,
    /// Requests at replicas by the window in which they were sent: they may yet count.
    pending: BTreeMap<WindowNumber, usize>,
    told_open: WindowNumber,
}

impl UsageRecorder {
    /// Nothing is counted yet.
    pub fn new(windows: Windows) -> Self {
        Self {
            windows,
            counts: BTreeMap::new(),
            untold: BTreeSet::new(),
            pending: BTreeMap::new(),
            told_open: 0,
        }
    }

    /// A request is sent to a replica; returns the window that it counts in if it runs.
    pub fn sent(&mut self, time: WallMillis) -> WindowNumber {
        let window = self.windows.at(time);
        *self.pending.entry(window).or_default() += 1;
        window
    }

    /// What became of a request that was sent: a tenant's that ran counts.
    pub fn settled(&mut self, window: WindowNumber, ran: Option<&Arc<str>>) {
        if let Some(pending) = self.pending.get_mut(&window) {
            *pending -= 1;
            if *pending == 0 {
                self.pending.remove(&window);
            }
        }
        let Some(tenant) = ran else {
            return;
        };
        let counts = self.counts.entry(window).or_default();
        *counts.entry(Arc::clone(tenant)).or_default() += 1;
        self.untold.insert(window);
        while self.counts.len() > MOST_WINDOWS {
            let oldest = self.counts.pop_first();
            log::warn!(
                "event=usage_dropped window={:?} reason=no_leader_closed_it",
                oldest.map(|(window, _)| window)
            );
        }
    }

    /// What the leader does not know yet; none if it knows all.
    pub fn report(&mut self, time: WallMillis) -> Option<UsageReport> {
        let present = self.windows.at(time);
        let oldest_pending = self.pending.keys().next().copied();
        let open_from = oldest_pending.map_or(present, |oldest| oldest.min(present));
        if self.untold.is_empty() && open_from == self.told_open {
            return None;
        }
        self.told_open = open_from;
        let untold = std::mem::take(&mut self.untold);
        let counts = untold.into_iter().filter_map(|window| {
            let counts = self.counts.get(&window)?;
            Some((window, counts.clone()))
        });
        Some(UsageReport {
            windows: counts.collect(),
            open_from,
        })
    }

    /// Another leader is to be told everything.
    pub fn tell_all(&mut self) {
        self.untold = self.counts.keys().copied().collect();
        self.told_open = 0;
    }

    /// Windows up to this one are closed: what they hold is of no more use.
    pub fn closed(&mut self, through: WindowNumber) {
        self.counts = self.counts.split_off(&(through + 1));
        self.untold = self.untold.split_off(&(through + 1));
    }
}
