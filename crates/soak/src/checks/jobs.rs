//! Promises on jobs, their results and their scores.

use super::{Seen, acknowledged_ends};
use crate::history::Outcome;
use crate::schedule::Schedule;
use brasspond_platform_standin::caller::score_of;
use std::collections::{BTreeMap, BTreeSet};

/// Bound after a job's acknowledged end from which nothing of it reaches a replica, in ms: the
/// product's default, which the stand-in's settings leave as it is.
const CANCEL_TIME: u64 = 3_000;

/// Items of a job by position, as far as pages showed them.
fn listed(seen: &Seen, job: &str) -> BTreeMap<usize, String> {
    let pages = seen.pages.iter().filter(|page| page.job == job);
    let results = pages.flat_map(|page| {
        let positions = page.since..;
        positions.zip(page.results.iter().map(|one| one.id.clone()))
    });
    results.collect()
}

/// A job that was accepted and that nobody ended is finished, with each of its items at one
/// position.
pub(super) fn jobs_are_kept(seen: &Seen, schedule: &Schedule) -> Vec<(u64, String)> {
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
pub(super) fn results_stay(seen: &Seen, _: &Schedule) -> Vec<(u64, String)> {
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
pub(super) fn texts_are_whole(seen: &Seen, _: &Schedule) -> Vec<(u64, String)> {
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

/// Neither an item nor its scoring call reaches a replica more than [`CANCEL_TIME`] after the
/// end of its job was acknowledged.
pub(super) fn ended_jobs_begin_nothing(seen: &Seen, _: &Schedule) -> Vec<(u64, String)> {
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
pub(super) fn scores_are_own(seen: &Seen, _: &Schedule) -> Vec<(u64, String)> {
    let mut wrong = early_scoring_calls(seen);
    wrong.extend(foreign_scores(seen));
    wrong
}

/// Scoring calls that reached a replica before any had sent the last event of the text.
fn early_scoring_calls(seen: &Seen) -> Vec<(u64, String)> {
    let mut whole_at: BTreeMap<&str, u64> = BTreeMap::new();
    for (item, at) in seen.replicas.values().flat_map(|one| &one.whole_at) {
        let first = whole_at.entry(item).or_insert(*at);
        *first = (*at).min(*first);
    }
    let scores = seen.scores.iter();
    let items: BTreeMap<&str, &str> = scores
        .map(|(item, call)| (call.as_str(), item.as_str()))
        .collect();
    let mut early = Vec::new();
    for (id, at) in seen.replicas.values().flat_map(|one| &one.arrivals) {
        let Some(item) = items.get(id.as_str()) else {
            continue;
        };
        if whole_at.get(item).is_none_or(|whole_at| at < whole_at) {
            let what = format!("{id} came before the text of {item} was whole");
            early.push((*at, what));
        }
    }
    early
}

/// Results with a score that is not the answer to their own call, or whose call no replica saw.
fn foreign_scores(seen: &Seen) -> Vec<(u64, String)> {
    let arrivals = seen.replicas.values().flat_map(|one| &one.arrivals);
    let asked: BTreeSet<&str> = arrivals.map(|(id, _)| id.as_str()).collect();
    let mut wrong = Vec::new();
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
pub(super) fn versions_are_allowed(seen: &Seen, _: &Schedule) -> Vec<(u64, String)> {
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
