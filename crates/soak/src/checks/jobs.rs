//! Checks of jobs, their results and their scores.

use super::{Observed, REREAD_DUE_MS, acknowledged_ends};
use crate::history::{CallKind, Outcome, Reread, ResultRecord};
use crate::schedule::Schedule;
use brasspond_platform_standin::caller::score_of;
use std::collections::{BTreeMap, BTreeSet};

/// Time after the acknowledged end of a job in which its calls may still reach a replica, in ms. It
/// equals the default of `bounds.cancel_ms`, which is in effect because the stand-in's settings
/// file does not set it.
const CANCEL_LIMIT_MS: u64 = 3_000;
/// Time from the submission of a job in which its results can be read, in ms. It equals
/// `bounds.status_s` in the settings file that the stand-in writes.
const RETENTION_MS: u64 = 120_000;

/// Returns the id of the item at each position of a job's results. Where pages differ, the page
/// that was read last applies.
fn listed_ids(observed: &Observed, job: &str) -> BTreeMap<usize, String> {
    let pages = observed.pages.iter().filter(|page| page.job == job);
    let results = pages.flat_map(|page| {
        let positions = page.since..;
        positions.zip(page.results.iter().map(|one| one.id.clone()))
    });
    results.collect()
}

/// Checks that the results of each accepted job contain no item twice, and that they contain at
/// least as many items as the job has. Jobs that a caller asked to end are exempt.
pub(super) fn accepted_jobs_complete(
    observed: &Observed,
    schedule: &Schedule,
) -> Vec<(u64, String)> {
    let mut violations = Vec::new();
    for (job, items) in &observed.jobs {
        let was_accepted = observed.calls.iter().any(|call| {
            let is_accepted = matches!(call.outcome, Outcome::Answered { status: 202, .. });
            call.id == *job && is_accepted
        });
        let end_was_requested = observed.end_calls.iter().any(|end| end.job == *job);
        if !was_accepted || end_was_requested {
            continue;
        }
        let id_at_position = listed_ids(observed, job);
        let ids: BTreeSet<&String> = id_at_position.values().collect();
        if ids.len() != id_at_position.len() {
            violations.push((schedule.length, format!("{job} lists an item twice")));
        }
        if ids.len() < items.len() {
            let what = format!(
                "{job} was accepted, but only {} of {} items are listed",
                ids.len(),
                items.len()
            );
            violations.push((schedule.length, what));
        }
    }
    violations
}

/// Checks that all reads of a position of a job's results return the same result.
pub(super) fn results_do_not_change(observed: &Observed, _: &Schedule) -> Vec<(u64, String)> {
    let mut violations = Vec::new();
    let mut first_reads = BTreeMap::new();
    for page in &observed.pages {
        for (position, result) in (page.since..).zip(&page.results) {
            let first = first_reads
                .entry((page.job.clone(), position))
                .or_insert_with(|| result.clone());
            if first != result {
                violations.push((
                    page.at,
                    format!("the result of {} at position {position} changed", page.job),
                ));
            }
        }
    }
    violations
}

/// Checks that each accepted job, also one that a caller ended, is answered by the edges that are
/// asked again after the last fault, and that they list each result that was read before with the
/// same content. Jobs that are older than [`RETENTION_MS`] are exempt.
pub(super) fn read_results_stay_readable(
    observed: &Observed,
    schedule: &Schedule,
) -> Vec<(u64, String)> {
    let due = schedule.last_fault_end() + REREAD_DUE_MS;
    let submits = observed.calls.iter();
    let submits =
        submits.filter(|call| matches!(call.kind, CallKind::Submit | CallKind::SubmitOnce));
    let is_kept = |job: &str| {
        let mut of_job = submits.clone().filter(|call| call.id == job);
        of_job.any(|call| due < call.sent_at + RETENTION_MS)
    };
    let mut violations = Vec::new();
    for reread in observed.rereads.iter().filter(|one| is_kept(&one.job)) {
        let known = results_before(observed, reread);
        let lost = known
            .iter()
            .filter(|(position, result)| reread.results.get(**position) != Some(*result));
        let lost = lost.count();
        if !reread.is_answered || lost > 0 {
            let what = format!(
                "edge {} answers for {}: {}; {lost} of {} results read before are missing or differ",
                reread.edge,
                reread.job,
                reread.is_answered,
                known.len()
            );
            violations.push((due, what));
        }
    }
    violations
}

/// Returns the results of a job that were read before a reread began, by position.
fn results_before<'a>(
    observed: &'a Observed,
    reread: &Reread,
) -> BTreeMap<usize, &'a ResultRecord> {
    let pages = observed.pages.iter();
    let pages = pages.filter(|page| page.job == reread.job && page.at <= reread.started_at);
    pages
        .flat_map(|page| (page.since..).zip(&page.results))
        .collect()
}

/// Checks that each completed result contains the complete text of its item.
pub(super) fn texts_are_complete(observed: &Observed, _: &Schedule) -> Vec<(u64, String)> {
    let mut violations = Vec::new();
    for page in &observed.pages {
        for result in page.results.iter().filter(|one| one.is_completed) {
            if observed.expected_texts.get(&result.id) != Some(&result.text) {
                violations.push((
                    page.at,
                    format!("the text of {} is incomplete or wrong", result.id),
                ));
            }
        }
    }
    violations
}

/// Checks that no request for an item and no scoring call reaches a replica more than
/// [`CANCEL_LIMIT_MS`] after the end of its job was acknowledged.
pub(super) fn ended_jobs_send_no_late_calls(
    observed: &Observed,
    _: &Schedule,
) -> Vec<(u64, String)> {
    let ends = acknowledged_ends(observed);
    let mut end_of: BTreeMap<&str, (&str, u64)> = BTreeMap::new();
    for (job, items) in &observed.jobs {
        let Some(ended_at) = ends.get(job.as_str()) else {
            continue;
        };
        for item in items {
            end_of.insert(item, (job, *ended_at));
            if let Some(call) = observed.score_calls.get(item) {
                end_of.insert(call, (job, *ended_at));
            }
        }
    }
    let mut violations = Vec::new();
    for (name, replica) in &observed.replicas {
        for (id, at) in &replica.arrivals {
            let Some((job, ended_at)) = end_of.get(id.as_str()) else {
                continue;
            };
            if *at > ended_at + CANCEL_LIMIT_MS {
                let after = at - ended_at;
                let what = format!("{id} reached {name} {after} ms after the end of {job}");
                violations.push((*at, what));
            }
        }
    }
    violations
}

/// Checks that the score of each completed item is the answer to the item's own scoring call, and
/// that no scoring call reaches a replica before the text is complete.
pub(super) fn scores_match_calls(observed: &Observed, _: &Schedule) -> Vec<(u64, String)> {
    let mut violations = early_scoring_calls(observed);
    violations.extend(mismatched_scores(observed));
    violations
}

/// Finds scoring calls that reached a replica before the last event of the text was sent.
fn early_scoring_calls(observed: &Observed) -> Vec<(u64, String)> {
    let mut completed_at: BTreeMap<&str, u64> = BTreeMap::new();
    for (item, at) in observed.replicas.values().flat_map(|one| &one.completed_at) {
        let first = completed_at.entry(item).or_insert(*at);
        *first = (*at).min(*first);
    }
    let score_calls = observed.score_calls.iter();
    let item_of_call: BTreeMap<&str, &str> = score_calls
        .map(|(item, call)| (call.as_str(), item.as_str()))
        .collect();
    let mut violations = Vec::new();
    for (id, at) in observed.replicas.values().flat_map(|one| &one.arrivals) {
        let Some(item) = item_of_call.get(id.as_str()) else {
            continue;
        };
        if completed_at
            .get(item)
            .is_none_or(|completed_at| at < completed_at)
        {
            let what = format!("{id} arrived before the text of {item} was complete");
            violations.push((*at, what));
        }
    }
    violations
}

/// Finds completed results whose score is not the answer to their own scoring call, or whose call
/// reached no replica.
fn mismatched_scores(observed: &Observed) -> Vec<(u64, String)> {
    let arrivals = observed.replicas.values().flat_map(|one| &one.arrivals);
    let arrived: BTreeSet<&str> = arrivals.map(|(id, _)| id.as_str()).collect();
    let mut violations = Vec::new();
    for page in &observed.pages {
        for result in page.results.iter().filter(|one| one.is_completed) {
            let Some(call) = observed.score_calls.get(&result.id) else {
                continue;
            };
            let is_own = result.score.as_deref() == Some(score_of(call).as_str());
            if !is_own || !arrived.contains(call.as_str()) {
                let what = format!(
                    "{} has the score {:?}, which is not the answer to its scoring call, or the call reached no replica",
                    result.id, result.score
                );
                violations.push((page.at, what));
            }
        }
    }
    violations
}

/// Checks that each completed result lists at least one version of the weights, none of them older
/// than its job allows or newer than the newest published one.
pub(super) fn versions_are_allowed(observed: &Observed, _: &Schedule) -> Vec<(u64, String)> {
    let mut violations = Vec::new();
    for page in &observed.pages {
        let oldest = observed
            .oldest_versions
            .get(&page.job)
            .copied()
            .unwrap_or(0);
        for result in page.results.iter().filter(|one| one.is_completed) {
            let allowed = oldest..=observed.newest_version;
            let is_allowed = result.versions.iter().all(|one| allowed.contains(one));
            if result.versions.is_empty() || !is_allowed {
                let what = format!(
                    "{} lists the versions {:?}; it must list at least one, and only versions in {allowed:?}",
                    result.id, result.versions
                );
                violations.push((page.at, what));
            }
        }
    }
    violations
}
