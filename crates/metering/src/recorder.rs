//! The counts of an edge, and which of them the edge must report to the leader.

use crate::window::{Counts, WindowNumber, Windows};
use brasspond_units::WallMillis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum number of windows that an edge stores while no leader closes windows: 10 min of windows
/// of 5 s. Counts of older windows are dropped with a warning.
const MAX_WINDOWS: usize = 120;

/// Report of an edge to the leader. The counts of each window are totals so far, not increments.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Windows whose counts changed since the last report.
    pub windows: Vec<(WindowNumber, Counts)>,
    /// First window whose counts may still change.
    pub open_from: WindowNumber,
}

/// Counts of one edge process, by window.
#[derive(Clone, Debug)]
pub struct UsageRecorder {
    windows: Windows,
    counts: BTreeMap<WindowNumber, Counts>,
    /// Windows whose counts changed since the last report to the leader.
    unreported: BTreeSet<WindowNumber>,
    /// Number of requests in progress at replicas, by the window in which they were sent. They are
    /// counted in this window if they run.
    pending: BTreeMap<WindowNumber, usize>,
    /// `open_from` of the last report.
    reported_open_from: WindowNumber,
}

impl UsageRecorder {
    /// Creates a recorder without counts.
    pub fn new(windows: Windows) -> Self {
        Self {
            windows,
            counts: BTreeMap::new(),
            unreported: BTreeSet::new(),
            pending: BTreeMap::new(),
            reported_open_from: 0,
        }
    }

    /// Records that a request is sent to a replica at `time`. Returns the window in which the
    /// request is counted if it runs.
    pub fn sent(&mut self, time: WallMillis) -> WindowNumber {
        let window = self.windows.at(time);
        *self.pending.entry(window).or_default() += 1;
        window
    }

    /// Records the outcome of a request that was sent in a window. It must be called once for each
    /// call of `sent`. `billed_tenant` is the tenant if the request ran or may have run, and `None`
    /// otherwise.
    pub fn finished(&mut self, window: WindowNumber, billed_tenant: Option<&Arc<str>>) {
        if let Some(pending) = self.pending.get_mut(&window) {
            *pending -= 1;
            if *pending == 0 {
                self.pending.remove(&window);
            }
        }
        let Some(tenant) = billed_tenant else {
            return;
        };
        let counts = self.counts.entry(window).or_default();
        *counts.entry(Arc::clone(tenant)).or_default() += 1;
        self.unreported.insert(window);
        while self.counts.len() > MAX_WINDOWS {
            let oldest = self.counts.pop_first();
            log::warn!(
                "event=usage_dropped window={:?} reason=no_leader_closed_it",
                oldest.map(|(window, _)| window)
            );
        }
    }

    /// Returns the report for the leader at `time`, or `None` if nothing has changed since the last
    /// report.
    pub fn report(&mut self, time: WallMillis) -> Option<UsageReport> {
        let current = self.windows.at(time);
        let oldest_pending = self.pending.keys().next().copied();
        let open_from = oldest_pending.map_or(current, |oldest| oldest.min(current));
        if self.unreported.is_empty() && open_from == self.reported_open_from {
            return None;
        }
        self.reported_open_from = open_from;
        let unreported = std::mem::take(&mut self.unreported);
        let counts = unreported.into_iter().filter_map(|window| {
            let counts = self.counts.get(&window)?;
            Some((window, counts.clone()))
        });
        Some(UsageReport {
            windows: counts.collect(),
            open_from,
        })
    }

    /// Includes all counts in the next report. Called when there is a new leader, which knows none
    /// of them.
    pub fn report_all(&mut self) {
        self.unreported = self.counts.keys().copied().collect();
        self.reported_open_from = 0;
    }

    /// Drops the counts of all windows up to `through`, which the leader has closed.
    pub fn closed(&mut self, through: WindowNumber) {
        self.counts = self.counts.split_off(&(through + 1));
        self.unreported = self.unreported.split_off(&(through + 1));
    }
}
