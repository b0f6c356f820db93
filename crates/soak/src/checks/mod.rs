//! Checks of the product's guarantees against what callers, replicas and the store observed.
//!
//! Each check depends only on [`Observed`] and the schedule, so that tests can pass it observations
//! that violate its guarantee.

mod cluster;
mod jobs;
mod observed;
mod requests;

pub use observed::{ConfigWrite, MemoryPeak, Observed, ObservedReplica, UnexpectedExit};

use crate::schedule::Schedule;
use cluster::{edges_recover, fences_have_one_holder, new_routes_are_served};
use jobs::{
    accepted_jobs_complete, ended_jobs_send_no_late_calls, read_results_stay_readable,
    results_do_not_change, scores_match_calls, texts_are_complete, versions_are_allowed,
};
use observed::{acknowledged_ends, runs_of};
use requests::{
    answers_match_calls, planned_stops_break_no_requests, refused_requests_do_not_run,
    writes_run_at_most_once,
};
use serde::Serialize;

/// Time after the write of a configuration within which every edge must apply it if there are no
/// faults, in ms.
pub const CONFIGURATION_DUE_MS: u64 = 3_000;
/// Time after the last fault within which each result that was read before must be readable at each
/// edge, in ms.
pub const REREAD_DUE_MS: u64 = 15_000;
/// Time after the end of a fault in which it may still affect calls, in ms.
const FAULT_EFFECT_MS: u64 = 6_000;
/// Maximum number of replica exits that one request body may cause: three until the cluster
/// quarantines it, and three more by requests in progress at other edges or during an election.
const MAX_CRASHES: usize = 6;

/// Limit on the resident memory of a process, in KB: the 256 MB that a node may use for control.
const MAX_MEMORY_KB: u64 = 256 * 1_000;

/// A violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Name of the check.
    pub check: &'static str,
    /// When it was observed, in ms from the start of the run. It is the length of the run if the
    /// check cannot tell the time.
    pub at: u64,
    /// Description of the observation.
    pub what: String,
}

/// Name and function of a check. The function returns the time and the description of each
/// violation.
type Check = (&'static str, fn(&Observed, &Schedule) -> Vec<(u64, String)>);

/// Checks that have a function of their own, by the names that reports show.
const CHECKS: [Check; 14] = [
    ("own_answer", answers_match_calls),
    ("at_most_once", writes_run_at_most_once),
    ("refusals_are_true", refused_requests_do_not_run),
    ("planned_stops_cut_nothing", planned_stops_break_no_requests),
    ("jobs_are_kept", accepted_jobs_complete),
    ("results_stay", results_do_not_change),
    ("results_are_readable", read_results_stay_readable),
    ("texts_are_whole", texts_are_complete),
    ("ended_jobs_begin_nothing", ended_jobs_send_no_late_calls),
    ("scores_are_own", scores_match_calls),
    ("versions_are_allowed", versions_are_allowed),
    ("one_holder", fences_have_one_holder),
    ("configuration_in_force", new_routes_are_served),
    ("recovery", edges_recover),
];

/// Runs all checks, including those of crashes and process exits, which have no function of their
/// own. Returns the violations, ordered by time.
pub fn check(observed: &Observed, schedule: &Schedule) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (check, run) in CHECKS {
        let found = run(observed, schedule).into_iter();
        violations.extend(found.map(|(at, what)| Violation { check, at, what }));
    }
    if observed.crashes > MAX_CRASHES {
        violations.push(Violation {
            check: "contents_are_held",
            at: schedule.length,
            what: format!(
                "one request body made replicas exit {} times",
                observed.crashes
            ),
        });
    }
    for exit in &observed.unexpected_exits {
        let last_lines = exit.last_lines.join("\n    ");
        violations.push(Violation {
            check: "processes_run",
            at: exit.at,
            what: format!("{} exited without a fault\n    {last_lines}", exit.name),
        });
    }
    for (process, memory) in &observed.memory {
        let limit_kb = memory_limit_kb(process, schedule);
        if memory.kb > limit_kb {
            violations.push(Violation {
                check: "memory_is_bounded",
                at: memory.at,
                what: format!("{process} used {} of {limit_kb} KB of memory", memory.kb),
            });
        }
    }
    violations.sort_by_key(|one| one.at);
    violations
}

/// Returns the limit on the resident memory of a process, in KB of 1,024 bytes as `/proc` reports
/// them.
fn memory_limit_kb(process: &str, schedule: &Schedule) -> u64 {
    match process.starts_with("storage-") {
        true => schedule.storage_memory_mb * 1_000_000 / 1_024,
        false => MAX_MEMORY_KB,
    }
}
