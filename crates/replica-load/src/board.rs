//! The leader's summary of what edges observe, and the list of deviating replicas.

use crate::merged::Merged;
use crate::{MAX_ENTRIES, ReplicaLoad, ReplicaObservation};
use brasspond_units::Millis;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

/// Interval at which the list is computed, in ms.
const SHARE_INTERVAL: Millis = 500;
/// Interval at which a list that is not empty is sent again, in ms. Edges discard it after 2 s, so
/// that one message may be lost.
const RESEND_INTERVAL: Millis = 1_000;
/// Ratio to the median response time of its service from which a replica is slow.
const SLOW_RATIO: f64 = 1.5;
/// Number of edges at which a failing replica fails. A single edge may have a fault of its own.
const MIN_FAILING_EDGES: usize = 2;
/// Relative change of a mean that is sent before the list is sent again anyway.
const MIN_MEAN_CHANGE: f64 = 0.2;

/// Observations of all edges.
#[derive(Clone, Debug, Default)]
pub struct LoadBoard {
    replicas: HashMap<Arc<str>, Merged>,
    /// The list that edges were sent last.
    shared: Vec<ReplicaLoad>,
    /// When the list was last computed, or 0 if never.
    computed_at: Millis,
    /// When the list was last sent, or 0 if never.
    sent_at: Millis,
}

/// Replicas that entered or left the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BoardChange {
    /// Replicas that entered the list, or began or ceased to fail.
    pub entered: Vec<ReplicaLoad>,
    /// Replicas that left the list.
    pub left: Vec<Arc<str>>,
}

/// A deviating replica with its place in the list.
struct Candidate {
    failing_edges: usize,
    /// Ratio to the median of its service in percent; 0 without answers.
    percent: u64,
    load: ReplicaLoad,
}

impl LoadBoard {
    /// Adds a report of an edge. Entries beyond [`MAX_ENTRIES`] are ignored.
    pub fn observe(&mut self, edge: &Arc<str>, report: &[ReplicaObservation], now: Millis) {
        for observation in report.iter().take(MAX_ENTRIES) {
            let replica = Arc::clone(&observation.replica);
            let merged = self.replicas.entry(replica).or_default();
            merged.add(edge, observation, now);
        }
    }

    /// Discards what edges observed at a replica that has restarted since.
    pub fn forget(&mut self, replica: &str) {
        self.replicas.remove(replica);
    }

    /// The list that edges were sent last.
    pub fn shared(&self) -> &[ReplicaLoad] {
        &self.shared
    }

    /// Computes the list when it is due. Returns the change if the list must be sent to edges.
    /// `service_of` returns the service of a replica, or `None` if there is no such replica.
    pub fn tick<'a>(
        &mut self,
        service_of: impl Fn(&str) -> Option<&'a str>,
        now: Millis,
    ) -> Option<BoardChange> {
        if now < self.computed_at + SHARE_INTERVAL {
            return None;
        }
        self.computed_at = now;
        self.replicas
            .retain(|replica, merged| merged.expire(now) && service_of(replica).is_some());
        let list = self.deviating(service_of);
        let change = change(&self.shared, &list);
        let has_changed = change != BoardChange::default() || has_moved(&self.shared, &list);
        let is_resend_due = !list.is_empty() && now >= self.sent_at + RESEND_INTERVAL;
        if !has_changed && !is_resend_due {
            return None;
        }
        self.shared = list;
        self.sent_at = now;
        Some(change)
    }

    /// The deviating replicas, the worst first.
    fn deviating<'a>(&self, service_of: impl Fn(&str) -> Option<&'a str>) -> Vec<ReplicaLoad> {
        let medians = self.medians(&service_of);
        let mut candidates: Vec<Candidate> = self
            .replicas
            .iter()
            .filter_map(|(replica, merged)| {
                let median_ms = medians.get(service_of(replica)?).copied();
                Candidate::new(replica, merged, median_ms)
            })
            .collect();
        candidates.sort_unstable_by(|one, other| one.key().cmp(&other.key()));
        candidates.truncate(MAX_ENTRIES);
        candidates
            .into_iter()
            .map(|candidate| candidate.load)
            .collect()
    }

    /// Median response time in ms of the replicas of each service, the lower one of two.
    fn medians<'a>(&self, service_of: impl Fn(&str) -> Option<&'a str>) -> HashMap<&'a str, u32> {
        let mut times: HashMap<&str, Vec<u32>> = HashMap::new();
        for (replica, merged) in &self.replicas {
            if let (Some(service), Some(mean_ms)) = (service_of(replica), merged.mean_ms()) {
                times.entry(service).or_default().push(mean_ms);
            }
        }
        let medians = times.into_iter().map(|(service, mut times)| {
            let middle = (times.len() - 1) / 2;
            let (_, median, _) = times.select_nth_unstable(middle);
            (service, *median)
        });
        medians.collect()
    }
}

impl Candidate {
    /// Returns `None` if the replica does not deviate.
    fn new(replica: &Arc<str>, merged: &Merged, median_ms: Option<u32>) -> Option<Self> {
        let mean_ms = merged.mean_ms();
        let ratio = match (mean_ms, median_ms) {
            (Some(mean_ms), Some(median_ms)) => f64::from(mean_ms) / f64::from(median_ms.max(1)),
            _ => 0.0,
        };
        let failing_edges = merged.failing_edges();
        let is_failing = failing_edges >= MIN_FAILING_EDGES;
        let load = ReplicaLoad {
            replica: Arc::clone(replica),
            mean_ms,
            is_failing,
        };
        (is_failing || ratio >= SLOW_RATIO).then_some(Self {
            failing_edges: if is_failing { failing_edges } else { 0 },
            percent: (ratio * 100.0) as u64,
            load,
        })
    }

    /// Sorting key: failing replicas before slow ones, then the worst, then by id.
    fn key(&self) -> (Reverse<usize>, Reverse<u64>, &str) {
        (
            Reverse(self.failing_edges),
            Reverse(self.percent),
            &self.load.replica,
        )
    }
}

/// Replicas that entered or left the list, or began or ceased to fail.
fn change(before: &[ReplicaLoad], after: &[ReplicaLoad]) -> BoardChange {
    let known: HashMap<&str, bool> = before
        .iter()
        .map(|load| (&*load.replica, load.is_failing))
        .collect();
    let listed: HashMap<&str, bool> = after
        .iter()
        .map(|load| (&*load.replica, load.is_failing))
        .collect();
    let entered = after
        .iter()
        .filter(|load| known.get(&*load.replica) != Some(&load.is_failing));
    let left = before
        .iter()
        .filter(|load| !listed.contains_key(&*load.replica));
    BoardChange {
        entered: entered.cloned().collect(),
        left: left.map(|load| Arc::clone(&load.replica)).collect(),
    }
}

/// Whether a mean differs much from the one that was sent. Both lists have the same replicas.
fn has_moved(before: &[ReplicaLoad], after: &[ReplicaLoad]) -> bool {
    let sent: HashMap<&str, Option<u32>> = before
        .iter()
        .map(|load| (&*load.replica, load.mean_ms))
        .collect();
    after.iter().any(|load| {
        let sent_ms = sent.get(&*load.replica).copied().flatten();
        match (sent_ms, load.mean_ms) {
            (Some(sent_ms), Some(mean_ms)) => {
                let difference = f64::from(mean_ms.abs_diff(sent_ms));
                difference > f64::from(sent_ms) * MIN_MEAN_CHANGE
            }
            (sent_ms, mean_ms) => sent_ms != mean_ms,
        }
    })
}
