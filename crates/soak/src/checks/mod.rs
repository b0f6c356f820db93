//! The promises, judged by what callers, replicas and the store have seen.
//!
//! Each check is a pure function of a [`Seen`] and the schedule; its tests give it one that breaks
//! its promise.

mod cluster;
mod jobs;
mod requests;
mod seen;

pub use seen::{ReplicaSeen, Seen, Written};

use crate::schedule::Schedule;
use cluster::{configuration_in_force, one_holder, recovery};
use jobs::{
    ended_jobs_begin_nothing, jobs_are_kept, results_stay, scores_are_own, texts_are_whole,
    versions_are_allowed,
};
use requests::{at_most_once, own_answer, planned_stops_cut_nothing, refusals_are_true};
use seen::{acknowledged_ends, runs_of};
use serde::Serialize;

/// Bound for a configuration to be in force after it was written, in ms, without faults.
pub const CONFIGURATION_DUE_MS: u64 = 3_000;
/// Time after a fault until no effect of it is left, in ms: calls under way have ended by then. Not
/// measured.
const AFTERMATH: u64 = 6_000;
/// Most replicas that may end under one content: three until it is quarantined, and three more by
/// requests that are under way at other edges or during an election.
const MOST_TOLERATED_ENDS: usize = 6;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Broken {
    /// Name of the check.
    pub check: &'static str,
    /// When, in ms from the begin of the run.
    pub at: u64,
    /// What was seen.
    pub what: String,
}

/// Name and function of each check.
type Check = (&'static str, fn(&Seen, &Schedule) -> Vec<(u64, String)>);

/// All checks.
const CHECKS: [Check; 13] = [
    ("own_answer", own_answer),
    ("at_most_once", at_most_once),
    ("refusals_are_true", refusals_are_true),
    ("planned_stops_cut_nothing", planned_stops_cut_nothing),
    ("jobs_are_kept", jobs_are_kept),
    ("results_stay", results_stay),
    ("texts_are_whole", texts_are_whole),
    ("ended_jobs_begin_nothing", ended_jobs_begin_nothing),
    ("scores_are_own", scores_are_own),
    ("versions_are_allowed", versions_are_allowed),
    ("one_holder", one_holder),
    ("configuration_in_force", configuration_in_force),
    ("recovery", recovery),
];

/// Every promise that was broken, by time.
pub fn check(seen: &Seen, schedule: &Schedule) -> Vec<Broken> {
    let mut broken = Vec::new();
    for (check, run) in CHECKS {
        let found = run(seen, schedule).into_iter();
        broken.extend(found.map(|(at, what)| Broken { check, at, what }));
    }
    if seen.ends > MOST_TOLERATED_ENDS {
        broken.push(Broken {
            check: "contents_are_held",
            at: schedule.length,
            what: format!("{} replicas ended under one content", seen.ends),
        });
    }
    for name in &seen.ended_alone {
        broken.push(Broken {
            check: "processes_run",
            at: schedule.length,
            what: format!("{name} ended by itself"),
        });
    }
    broken.sort_by_key(|one| one.at);
    broken
}
