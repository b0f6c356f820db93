//! What was seen in a run, and what follows from it alone.

use crate::history::{CallRecord, EndRecord, PageRecord};
use std::collections::{BTreeMap, BTreeSet};

/// What one replica saw, over all its lives.
#[derive(Clone, Debug, Default)]
pub struct ReplicaSeen {
    /// Runs by the requests' identities.
    pub runs: BTreeMap<String, u32>,
    /// Orders of each life, in order: who gave them, and the fence.
    pub orders: Vec<Vec<(String, u64)>>,
    /// Identity and time of each request that came, in ms from the begin of the run.
    pub arrivals: Vec<(String, u64)>,
    /// When it first sent the last event of an item's text.
    pub whole_at: BTreeMap<String, u64>,
}

/// A configuration as it was written.
#[derive(Clone, Copy, Debug)]
pub struct Written {
    /// Its version.
    pub version: u64,
    /// When, in ms from the begin of the run.
    pub at: u64,
}

/// All that was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Calls.
    pub calls: Vec<CallRecord>,
    /// Pages of results.
    pub pages: Vec<PageRecord>,
    /// Items of each job that was handed in.
    pub jobs: BTreeMap<String, Vec<String>>,
    /// Calls that end jobs.
    pub job_ends: Vec<EndRecord>,
    /// Identity of the scoring call of each item.
    pub scores: BTreeMap<String, String>,
    /// Oldest version that each job allows, and the newest named when it was handed in.
    pub versions: BTreeMap<String, u64>,
    /// The newest version ever named.
    pub newest_version: u64,
    /// Text that each item must have.
    pub texts: BTreeMap<String, String>,
    /// Replicas by name.
    pub replicas: BTreeMap<String, ReplicaSeen>,
    /// Replicas that ended under the content that ends them.
    pub ends: usize,
    /// Configurations.
    pub written: Vec<Written>,
    /// Calls by routes that a configuration brought: identity of the call, and its version.
    pub new_routes: BTreeMap<String, u64>,
    /// Processes that ended though nobody told them to.
    pub ended_alone: Vec<String>,
}

impl Seen {
    /// How many jobs' ends were acknowledged.
    pub fn ended_jobs(&self) -> usize {
        acknowledged_ends(self).len()
    }

    /// How many scoring calls reached replicas.
    pub fn scoring_calls(&self) -> usize {
        let calls: BTreeSet<&String> = self.scores.values().collect();
        let replicas = self.replicas.values();
        let arrivals = replicas.flat_map(|one| &one.arrivals);
        arrivals.filter(|(id, _)| calls.contains(id)).count()
    }
}

/// When each job's end was first acknowledged.
pub(super) fn acknowledged_ends(seen: &Seen) -> BTreeMap<&str, u64> {
    let mut ends: BTreeMap<&str, u64> = BTreeMap::new();
    let acknowledged = seen.job_ends.iter().filter(|end| end.status == 200);
    for end in acknowledged {
        let first = ends.entry(&end.job).or_insert(end.ended_at);
        *first = end.ended_at.min(*first);
    }
    ends
}

/// How often replicas ran a request, together.
pub(super) fn runs_of(seen: &Seen, id: &str) -> u32 {
    let replicas = seen.replicas.values();
    replicas.filter_map(|one| one.runs.get(id)).sum()
}
