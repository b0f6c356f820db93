//! Promises on single requests.

use super::{AFTERMATH, Seen, runs_of};
use crate::history::{Kind, Outcome};
use crate::schedule::{Fault, Process, Schedule, Trouble, Way};
use brasspond_platform_standin::processes::region_of_edge;

/// Time after its last byte was sent in which a request may cross the end of its connection on the
/// way, in ms. Not measured.
const CROSSING_TIME: u64 = 200;

/// Longest time from the begin of a fault in the schedule until it is inflicted, in ms. Not
/// measured.
const SIGNAL_DELAY: u64 = 500;

/// A success is the whole answer to one's own call.
pub(super) fn own_answer(seen: &Seen, _: &Schedule) -> Vec<(u64, String)> {
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
pub(super) fn at_most_once(seen: &Seen, _: &Schedule) -> Vec<(u64, String)> {
    let writes = seen.calls.iter().filter(|call| call.kind == Kind::Write);
    writes
        .filter(|call| runs_of(seen, &call.id) > 1)
        .map(|call| (call.ended_at, format!("{} ran more than once", call.id)))
        .collect()
}

/// 429 and 503 say that a request did not run, and never will.
pub(super) fn refusals_are_true(seen: &Seen, _: &Schedule) -> Vec<(u64, String)> {
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

/// Whether a fault may cut off a request at an edge. Planned stops may not.
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
        // An answer that has begun cannot begin again at another replica.
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

/// A planned stop of an edge cuts off no request that it had passed on, and no other that was sent
/// more than [`CROSSING_TIME`] before: one that crossed the end of the connection was not read.
pub(super) fn planned_stops_cut_nothing(seen: &Seen, schedule: &Schedule) -> Vec<(u64, String)> {
    let cut = seen.calls.iter().filter(|call| {
        let excused = schedule.faults.iter().any(|fault| {
            let is_near =
                fault.at <= call.ended_at + SIGNAL_DELAY && call.sent_at <= fault.end() + AFTERMATH;
            is_near && may_cut(fault, call.edge)
        });
        let was_passed_on = runs_of(seen, &call.id) > 0;
        let was_read = call.ended_at >= call.sent_at + CROSSING_TIME;
        let is_cut = call.outcome == Outcome::Broken && (was_passed_on || was_read);
        is_cut && !excused && call.kind != Kind::Ending
    });
    cut.map(|call| {
        let what = format!("{} at edge {} was cut off", call.id, call.edge);
        (call.ended_at, what)
    })
    .collect()
}
