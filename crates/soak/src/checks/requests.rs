//! Checks of single requests.

use super::{FAULT_EFFECT_MS, Observed, runs_of};
use crate::history::{CallKind, Outcome};
use crate::schedule::{Fault, FaultKind, Process, ProxiedLink, Schedule};
use brasspond_platform_standin::processes::region_of_edge;

/// Time after the send of a request within which the edge may close the connection without having
/// read the request, in ms.
const CONNECTION_RACE_MS: u64 = 200;

/// Time by which a call may end before the scheduled start of a fault and still be excused by the
/// fault, in ms.
const FAULT_START_TOLERANCE_MS: u64 = 500;

/// Checks that the id and the body of each successful answer match its call.
pub(super) fn answers_match_calls(observed: &Observed, _: &Schedule) -> Vec<(u64, String)> {
    let mismatched = observed.calls.iter().filter(
        |call| matches!(call.outcome, Outcome::Answered { status, is_own: false } if status < 300),
    );
    mismatched
        .map(|call| {
            let what = format!(
                "{} at edge {} received an answer that is not its own",
                call.id, call.edge
            );
            (call.ended_at, what)
        })
        .collect()
}

/// Checks that requests that must not be repeated run at most once.
pub(super) fn writes_run_at_most_once(observed: &Observed, _: &Schedule) -> Vec<(u64, String)> {
    let writes = observed
        .calls
        .iter()
        .filter(|call| call.kind == CallKind::Write);
    writes
        .filter(|call| runs_of(observed, &call.id) > 1)
        .map(|call| (call.ended_at, format!("{} ran more than once", call.id)))
        .collect()
}

/// Checks that no request ran that was answered with 429 or 503. Submissions of jobs are exempt.
pub(super) fn refused_requests_do_not_run(observed: &Observed, _: &Schedule) -> Vec<(u64, String)> {
    let refused = observed.calls.iter().filter(|call| {
        let is_refusal = matches!(
            call.outcome,
            Outcome::Answered {
                status: 429 | 503,
                ..
            }
        );
        is_refusal && call.kind != CallKind::Submit
    });
    refused
        .filter(|call| runs_of(observed, &call.id) > 0)
        .map(|call| (call.ended_at, format!("{} was refused but ran", call.id)))
        .collect()
}

/// Returns whether a fault may break off a request at an edge. Planned stops, SIGHUP, configuration
/// writes, store faults, and faults of single storage processes or other edges may not.
fn may_break_request(fault: &Fault, edge: usize) -> bool {
    match fault.kind {
        FaultKind::Terminate(Process::Edge(_))
        | FaultKind::HangUp(_)
        | FaultKind::Roll
        | FaultKind::Configuration
        | FaultKind::Terminate(_) => false,
        FaultKind::Freeze(Process::Edge(other)) | FaultKind::Kill(Process::Edge(other)) => {
            other == edge
        }
        FaultKind::CutRegion(region) => region_of_edge(edge) == region.name(),
        FaultKind::Harm(ProxiedLink::Edge(other), _) => other == edge,
        FaultKind::Freeze(_) | FaultKind::Kill(_) | FaultKind::Wipe(_) => false,
        // An answer that has begun cannot be restarted at another replica.
        FaultKind::Harm(ProxiedLink::Plain(_) | ProxiedLink::Engine(_), _) => true,
        FaultKind::Harm(..) => false,
        FaultKind::StoreDown
        | FaultKind::StoreSilent
        | FaultKind::StoreRefuses
        | FaultKind::StoreLoses(_)
        | FaultKind::StoreSlow(_)
        | FaultKind::PacePlain(..)
        | FaultKind::PaceEngine(..)
        | FaultKind::SlowReader(_)
        | FaultKind::Submissions(_)
        | FaultKind::Burst(..) => false,
        _ => true,
    }
}

/// Checks that a request is broken off only near a fault that may do so ([`may_break_request`]). A
/// request that was neither forwarded to a replica nor open for [`CONNECTION_RACE_MS`] is exempt,
/// as is one that makes its replica exit.
pub(super) fn planned_stops_break_no_requests(
    observed: &Observed,
    schedule: &Schedule,
) -> Vec<(u64, String)> {
    let broken = observed.calls.iter().filter(|call| {
        let is_excused = schedule.faults.iter().any(|fault| {
            let is_near = fault.at <= call.ended_at + FAULT_START_TOLERANCE_MS
                && call.sent_at <= fault.end() + FAULT_EFFECT_MS;
            is_near && may_break_request(fault, call.edge)
        });
        let was_forwarded = runs_of(observed, &call.id) > 0;
        let was_read = call.ended_at >= call.sent_at + CONNECTION_RACE_MS;
        let is_broken = call.outcome == Outcome::Broken && (was_forwarded || was_read);
        is_broken && !is_excused && call.kind != CallKind::Ending
    });
    broken
        .map(|call| {
            let what = format!("{} at edge {} was broken off", call.id, call.edge);
            (call.ended_at, what)
        })
        .collect()
}
