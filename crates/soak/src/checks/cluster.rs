//! Promises on the cluster as a whole: one holder of orders, configurations, recovery.

use super::{AFTERMATH, CONFIGURATION_DUE_MS, Seen};
use crate::history::{Kind, Outcome};
use crate::schedule::{Fault, Schedule};
use std::collections::BTreeMap;

/// Time after the last fault from which everything has to serve again, in ms: less than the calm
/// time at the end of a schedule.
const RECOVERY: u64 = 12_000;

/// A fence has one holder, and a replica sees none lower than one before.
pub(super) fn one_holder(seen: &Seen, schedule: &Schedule) -> Vec<(u64, String)> {
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

/// Whether no fault, nor its aftermath, was between two times.
fn is_calm(schedule: &Schedule, from: u64, to: u64) -> bool {
    let mut faults = schedule.faults.iter();
    !faults.any(|fault| fault.at <= to && from <= fault.end() + AFTERMATH)
}

/// A route of a configuration is served `CONFIGURATION_DUE_MS` after it was written, without faults.
pub(super) fn configuration_in_force(seen: &Seen, schedule: &Schedule) -> Vec<(u64, String)> {
    let mut late = Vec::new();
    for call in &seen.calls {
        let Some(version) = seen.new_routes.get(&call.id) else {
            continue;
        };
        let written = seen.written.iter().find(|one| one.version == *version);
        let Some(written) = written else {
            continue;
        };
        let is_due = call.sent_at >= written.at + CONFIGURATION_DUE_MS;
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

/// Everything serves `RECOVERY` after the last fault.
pub(super) fn recovery(seen: &Seen, schedule: &Schedule) -> Vec<(u64, String)> {
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
