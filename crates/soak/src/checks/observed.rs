//! Observations of a run, and values derived from them.

use crate::history::{CallRecord, EndRecord, PageRecord, Reread};
use std::collections::{BTreeMap, BTreeSet};

/// Observations of one replica over all its successive processes.
#[derive(Clone, Debug, Default)]
pub struct ObservedReplica {
    /// Number of runs of each request, by request id.
    pub runs: BTreeMap<String, u32>,
    /// Orders that each process received, in order of arrival: the sender and its fencing token.
    pub orders: Vec<Vec<(String, u64)>>,
    /// Id and time of each request that arrived, in ms from the start of the run.
    pub arrivals: Vec<(String, u64)>,
    /// When the replica first sent the last event of each item's text, in ms from the start of the
    /// run, by item id.
    pub completed_at: BTreeMap<String, u64>,
}

/// A configuration write.
#[derive(Clone, Copy, Debug)]
pub struct ConfigWrite {
    /// Version of the configuration.
    pub version: u64,
    /// When it was written, in ms from the start of the run.
    pub at: u64,
}

/// Largest resident memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemoryPeak {
    /// Size, in KB.
    pub kb: u64,
    /// When it was first observed, in ms from the start of the run.
    pub at: u64,
}

/// The exit of a process that no fault caused.
#[derive(Clone, Debug)]
pub struct UnexpectedExit {
    /// Name of the machine.
    pub name: String,
    /// When it was observed, in ms from the start of the run.
    pub at: u64,
    /// Last lines of the process's log.
    pub last_lines: Vec<String>,
}

/// All observations of a run.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// Finished calls.
    pub calls: Vec<CallRecord>,
    /// Pages of results that trainers read.
    pub pages: Vec<PageRecord>,
    /// Item ids of each submitted job, by job id.
    pub jobs: BTreeMap<String, Vec<String>>,
    /// Calls that request the end of a job, with their answers.
    pub end_calls: Vec<EndRecord>,
    /// Id of the scoring call of each item, by item id.
    pub score_calls: BTreeMap<String, String>,
    /// Oldest version of the weights that each job allows, by job id.
    pub oldest_versions: BTreeMap<String, u64>,
    /// Newest published version of the weights.
    pub newest_version: u64,
    /// Text that each item must have when it is completed, by item id.
    pub expected_texts: BTreeMap<String, String>,
    /// Observations of each replica, by its name.
    pub replicas: BTreeMap<String, ObservedReplica>,
    /// Number of runs of the request that makes the replica that runs it exit.
    pub crashes: usize,
    /// Configuration writes, in order.
    pub config_writes: Vec<ConfigWrite>,
    /// Version of the configuration that added the route of a call, by id of the call.
    pub new_routes: BTreeMap<String, u64>,
    /// Processes that exited without a fault.
    pub unexpected_exits: Vec<UnexpectedExit>,
    /// Largest resident memory of each process, by its machine and start.
    pub memory: BTreeMap<String, MemoryPeak>,
    /// Results of all accepted jobs as read again after the last fault.
    pub rereads: Vec<Reread>,
}

impl Observed {
    /// Returns the number of jobs whose end was acknowledged.
    pub fn ended_jobs(&self) -> usize {
        acknowledged_ends(self).len()
    }

    /// Returns the largest resident memory of any storage process, in KB.
    pub fn storage_memory_kb(&self) -> u64 {
        let processes = self.memory.iter();
        let storage = processes.filter(|(process, _)| process.starts_with("storage-"));
        storage.map(|(_, memory)| memory.kb).max().unwrap_or(0)
    }

    /// Returns the size of the texts of all results that were read, in bytes; each counts once.
    pub fn result_bytes(&self) -> usize {
        let results = self.pages.iter().flat_map(|page| &page.results);
        let texts: BTreeMap<&String, usize> =
            results.map(|one| (&one.id, one.text.len())).collect();
        texts.values().sum()
    }

    /// Returns the number of scoring calls that reached replicas.
    pub fn scoring_calls(&self) -> usize {
        let calls: BTreeSet<&String> = self.score_calls.values().collect();
        let replicas = self.replicas.values();
        let arrivals = replicas.flat_map(|one| &one.arrivals);
        arrivals.filter(|(id, _)| calls.contains(id)).count()
    }
}

/// Returns when the end of each job was first acknowledged, by job id.
pub(super) fn acknowledged_ends(observed: &Observed) -> BTreeMap<&str, u64> {
    let mut ends: BTreeMap<&str, u64> = BTreeMap::new();
    let acknowledged = observed.end_calls.iter().filter(|end| end.status == 200);
    for end in acknowledged {
        let first = ends.entry(&end.job).or_insert(end.ended_at);
        *first = end.ended_at.min(*first);
    }
    ends
}

/// Returns how often all replicas together ran a request.
pub(super) fn runs_of(observed: &Observed, id: &str) -> u32 {
    let replicas = observed.replicas.values();
    replicas.filter_map(|one| one.runs.get(id)).sum()
}
