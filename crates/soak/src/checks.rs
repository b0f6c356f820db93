//! The promises, judged by what callers, replicas and the store have seen.
//!
//! Each check is a pure function of a [`Seen`]; its tests give it one that breaks its promise.

use crate::history::{CallRecord, EndRecord, Kind, Outcome, PageRecord};
use crate::schedule::{Fault, Process, Schedule, Trouble, Way};
use brasspond_platform_standin::caller::score_of;
use brasspond_platform_standin::processes::region_of_edge;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Time after the last fault in which everything serves again, in ms.
const RECOVERY: u64 = 12_000;
/// Time after a configuration in which it is in force, in ms, where nothing is wrong.
pub const CONFIGURATION_TIME: u64 = 3_000;
/// Time after a fault until nothing of it is left, in ms.
const AFTERMATH: u64 = 6_000;
/// Time after its last byte was sent in which a request may meet the end of its connection, in
/// ms.
const CROSSING_TIME: u64 = 200;
/// Replicas that may end under one content: three make it known, three more may be under way
/// at other edges or in an election.
const MOST_ENDS: usize = 6;
/// Time after a job's end was acknowledged from which nothing of it reaches a replica, in ms:
/// what the pages name where the settings' `bounds.cancel_ms` is not set, as here.
const CANCEL_TIME: u64 = 3_000;

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
    if seen.ends > MOST_ENDS {
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

fn runs_of(seen: &Seen, id: &str) -> u32 {
    let replicas = seen.replicas.values();
    replicas.filter_map(|one| one.runs.get(id)).sum()
}

/// A success is the whole answer to one's own call.
fn own_answer(seen: &Seen, _: &Schedule) -> Vec<(u64, String)> {
    let foreign = seen.calls.iter().filter(
        |call| matches!(call.outcome, Outcome::Answered { status, is_own: false } if status < 300),
    );
    foreign
        .map(|call| {
            let what = format!("{} at edge {} got another's answer", call.id, call.edge);
            (call.ended_at, what)
        })
        .collect()
}

/// What may not be repeated runs at most once.
fn at_most_once(seen: &Seen, _: &Schedule) -> Vec<(u64, String)> {
    let writes = seen.calls.iter().filter(|call| call.kind == Kind::Write);
    writes
        .filter(|call| runs_of(seen, &call.id) > 1)
        .map(|call| (call.ended_at, format!("{} ran more than once", call.id)))
        .collect()
}

/// 429 and 503 say that a request did not run, and never will.
fn refusals_are_true(seen: &Seen, _: &Schedule) -> Vec<(u64, String)> {
    let refused = seen.calls.iter().filter(|call| {
        let is_refusal = matches!(
            call.outcome,
            Outcome::Answered {
                status: 429 | 503,
                ..
            }
        );
        is_refusal && call.kind != Kind::Submit
    });
    refused
        .filter(|call| runs_of(seen, &call.id) > 0)
        .map(|call| (call.ended_at, format!("{} was refused and ran", call.id)))
        .collect()
}

/// Whether a fault may cut a request at an edge, other than registration it to stop.
fn may_cut(fault: &Fault, edge: usize) -> bool {
    match fault.trouble {
        Trouble::Terminate(Process::Edge(_))
        | Trouble::HangUp(_)
        | Trouble::Roll
        | Trouble::Configuration
        | Trouble::Terminate(_) => false,
        Trouble::Freeze(Process::Edge(other)) | Trouble::Kill(Process::Edge(other)) => {
            other == edge
        }
        Trouble::CutRegion(region) => region_of_edge(edge) == region.name(),
        Trouble::Harm(Way::Edge(other), _) => other == edge,
        Trouble::Freeze(_) | Trouble::Kill(_) | Trouble::Wipe(_) => false,
        // An answer that was begun cannot be begun anew elsewhere.
        Trouble::Harm(Way::Plain(_) | Way::Engine(_), _) => true,
        Trouble::Harm(..) => false,
        Trouble::StoreDown
        | Trouble::StoreSilent
        | Trouble::StoreRefuses
        | Trouble::StoreLoses(_)
        | Trouble::StoreSlow(_) => false,
        _ => true,
    }
}

/// Where an edge is told to stop, or anything else is done to it that is planned, no request
/// is cut off that it had passed on, nor any other more than [`CROSSING_TIME`] after it was
/// sent: one that crosses the end of a connection was not read.
fn planned_stops_cut_nothing(seen: &Seen, schedule: &Schedule) -> Vec<(u64, String)> {
    let cut = seen.calls.iter().filter(|call| {
        let excused = schedule.faults.iter().any(|fault| {
            let is_near =
                fault.at <= call.ended_at + 500 && call.sent_at <= fault.end() + AFTERMATH;
            is_near && may_cut(fault, call.edge)
        });
        let was_passed_on = runs_of(seen, &call.id) > 0;
        let was_held = call.ended_at >= call.sent_at + CROSSING_TIME;
        let is_cut = call.outcome == Outcome::Broken && (was_passed_on || was_held);
        is_cut && !excused && call.kind != Kind::Ending
    });
    cut.map(|call| {
        let what = format!("{} at edge {} was cut off", call.id, call.edge);
        (call.ended_at, what)
    })
    .collect()
}

/// Items of a job by position, as far as any page told.
fn listed(seen: &Seen, job: &str) -> BTreeMap<usize, String> {
    let pages = seen.pages.iter().filter(|page| page.job == job);
    let results = pages.flat_map(|page| {
        let positions = page.since..;
        positions.zip(page.results.iter().map(|one| one.id.clone()))
    });
    results.collect()
}

/// A job that was taken and that nobody ended is finished, with each of its items at one
/// position.
fn jobs_are_kept(seen: &Seen, schedule: &Schedule) -> Vec<(u64, String)> {
    let mut lost = Vec::new();
    for (job, items) in &seen.jobs {
        let was_taken = seen.calls.iter().any(|call| {
            let is_taken = matches!(call.outcome, Outcome::Answered { status: 202, .. });
            call.id == *job && is_taken
        });
        let is_ended = seen.job_ends.iter().any(|end| end.job == *job);
        if !was_taken || is_ended {
            continue;
        }
        let listed = listed(seen, job);
        let ids: BTreeSet<&String> = listed.values().collect();
        if ids.len() != listed.len() {
            lost.push((schedule.length, format!("{job} lists an item twice")));
        }
        if ids.len() < items.len() {
            let what = format!("{job} was taken, {} of {} listed", ids.len(), items.len());
            lost.push((schedule.length, what));
        }
    }
    lost
}

/// A result once read stays at its position, as it is.
fn results_stay(seen: &Seen, _: &Schedule) -> Vec<(u64, String)> {
    let mut changed = Vec::new();
    let mut known = BTreeMap::new();
    for page in &seen.pages {
        for (position, result) in (page.since..).zip(&page.results) {
            let first = known
                .entry((page.job.clone(), position))
                .or_insert_with(|| result.clone());
            if first != result {
                changed.push((page.at, format!("{} changed at {position}", page.job)));
            }
        }
    }
    changed
}

/// A completed result is the whole output of its item.
fn texts_are_whole(seen: &Seen, _: &Schedule) -> Vec<(u64, String)> {
    let mut wrong = Vec::new();
    for page in &seen.pages {
        for result in page.results.iter().filter(|one| one.is_completed) {
            if seen.texts.get(&result.id) != Some(&result.text) {
                wrong.push((page.at, format!("the text of {} is not whole", result.id)));
            }
        }
    }
    wrong
}

/// When each job's end was first acknowledged.
fn acknowledged_ends(seen: &Seen) -> BTreeMap<&str, u64> {
    let mut ends: BTreeMap<&str, u64> = BTreeMap::new();
    let acknowledged = seen.job_ends.iter().filter(|end| end.status == 200);
    for end in acknowledged {
        let first = ends.entry(&end.job).or_insert(end.ended_at);
        *first = end.ended_at.min(*first);
    }
    ends
}

/// Neither an item nor its scoring call reaches a replica more than [`CANCEL_TIME`] after the
/// end of its job was acknowledged.
fn ended_jobs_begin_nothing(seen: &Seen, _: &Schedule) -> Vec<(u64, String)> {
    let ends = acknowledged_ends(seen);
    let mut end_of: BTreeMap<&str, (&str, u64)> = BTreeMap::new();
    for (job, items) in &seen.jobs {
        let Some(ended_at) = ends.get(job.as_str()) else {
            continue;
        };
        for item in items {
            end_of.insert(item, (job, *ended_at));
            if let Some(call) = seen.scores.get(item) {
                end_of.insert(call, (job, *ended_at));
            }
        }
    }
    let mut late = Vec::new();
    for (name, replica) in &seen.replicas {
        for (id, at) in &replica.arrivals {
            let Some((job, ended_at)) = end_of.get(id.as_str()) else {
                continue;
            };
            if *at > ended_at + CANCEL_TIME {
                let after = at - ended_at;
                let what = format!("{id} reached {name} {after} ms after the end of {job}");
                late.push((*at, what));
            }
        }
    }
    late
}

/// A result's score is the answer to its own call, and no such call is made before the text's
/// last event was sent.
fn scores_are_own(seen: &Seen, _: &Schedule) -> Vec<(u64, String)> {
    let mut whole_at: BTreeMap<&str, u64> = BTreeMap::new();
    let mut asked: BTreeSet<&str> = BTreeSet::new();
    for replica in seen.replicas.values() {
        for (item, at) in &replica.whole_at {
            let first = whole_at.entry(item).or_insert(*at);
            *first = (*at).min(*first);
        }
        asked.extend(replica.arrivals.iter().map(|(id, _)| id.as_str()));
    }
    let mut wrong = Vec::new();
    let items: BTreeMap<&str, &str> = seen
        .scores
        .iter()
        .map(|(item, call)| (call.as_str(), item.as_str()))
        .collect();
    for replica in seen.replicas.values() {
        for (id, at) in &replica.arrivals {
            let Some(item) = items.get(id.as_str()) else {
                continue;
            };
            if whole_at.get(item).is_none_or(|whole_at| at < whole_at) {
                wrong.push((
                    *at,
                    format!("{id} came before the text of {item} was whole"),
                ));
            }
        }
    }
    for page in &seen.pages {
        for result in page.results.iter().filter(|one| one.is_completed) {
            let Some(call) = seen.scores.get(&result.id) else {
                continue;
            };
            let is_own = result.score.as_deref() == Some(score_of(call).as_str());
            if !is_own || !asked.contains(call.as_str()) {
                let what = format!("{} has the score {:?}", result.id, result.score);
                wrong.push((page.at, what));
            }
        }
    }
    wrong
}

/// A result names versions that its job allows and that were named.
fn versions_are_allowed(seen: &Seen, _: &Schedule) -> Vec<(u64, String)> {
    let mut wrong = Vec::new();
    for page in &seen.pages {
        let oldest = seen.versions.get(&page.job).copied().unwrap_or(0);
        for result in page.results.iter().filter(|one| one.is_completed) {
            let allowed = oldest..=seen.newest_version;
            let is_allowed = result.versions.iter().all(|one| allowed.contains(one));
            if result.versions.is_empty() || !is_allowed {
                let what = format!("{} names versions {:?}", result.id, result.versions);
                wrong.push((page.at, what));
            }
        }
    }
    wrong
}

/// A fence has one holder, and a replica sees none lower than one before.
fn one_holder(seen: &Seen, schedule: &Schedule) -> Vec<(u64, String)> {
    let mut wrong = Vec::new();
    let mut holders: BTreeMap<u64, String> = BTreeMap::new();
    for (name, replica) in &seen.replicas {
        for orders in &replica.orders {
            let fences: Vec<u64> = orders.iter().map(|(_, fence)| *fence).collect();
            if !fences.is_sorted() {
                let what = format!("{name} was ordered with fences {fences:?}");
                wrong.push((schedule.length, what));
            }
            for (holder, fence) in orders {
                let known = holders.entry(*fence).or_insert_with(|| holder.clone());
                if known != holder {
                    let what = format!("fence {fence} is {known}'s and {holder}'s");
                    wrong.push((schedule.length, what));
                }
            }
        }
    }
    wrong
}

/// Whether nothing is wrong, nor was just now.
fn is_calm(schedule: &Schedule, from: u64, to: u64) -> bool {
    let mut faults = schedule.faults.iter();
    !faults.any(|fault| fault.at <= to && from <= fault.end() + AFTERMATH)
}

/// A route of a configuration is served some time after it was written, where all is calm.
fn configuration_in_force(seen: &Seen, schedule: &Schedule) -> Vec<(u64, String)> {
    let mut late = Vec::new();
    for call in &seen.calls {
        let Some(version) = seen.new_routes.get(&call.id) else {
            continue;
        };
        let written = seen.written.iter().find(|one| one.version == *version);
        let Some(written) = written else {
            continue;
        };
        let is_due = call.sent_at >= written.at + CONFIGURATION_TIME;
        let is_served = matches!(call.outcome, Outcome::Answered { status: 200, .. });
        if is_due && !is_served && is_calm(schedule, written.at, call.ended_at) {
            let what = format!(
                "{} by version {version}, {} ms old, at edge {}: {:?}",
                call.id,
                call.sent_at - written.at,
                call.edge,
                call.outcome
            );
            late.push((call.ended_at, what));
        }
    }
    late
}

/// Everything serves some time after the last fault.
fn recovery(seen: &Seen, schedule: &Schedule) -> Vec<(u64, String)> {
    let last = schedule.faults.iter().map(Fault::end).max().unwrap_or(0);
    let due = seen.calls.iter().filter(|call| {
        let is_plain = matches!(call.kind, Kind::Read | Kind::Write);
        is_plain && call.sent_at >= last + RECOVERY
    });
    let failed = due
        .filter(|call| !matches!(call.outcome, Outcome::Answered { status, .. } if status < 300));
    failed
        .map(|call| {
            let what = format!("{} at edge {}: {:?}", call.id, call.edge, call.outcome);
            (call.ended_at, what)
        })
        .collect()
}
