//! Checks of the cluster as a whole: fencing tokens, configurations and recovery.

use super::{CONFIGURATION_DUE_MS, FAULT_EFFECT_MS, Observed};
use crate::history::{CallKind, Outcome};
use crate::schedule::{Fault, Schedule};
use std::collections::BTreeMap;

/// Time after the last fault within which every edge must serve again, in ms. It is shorter than
/// [`COOLDOWN_MS`](crate::schedule::COOLDOWN_MS).
const RECOVERY_MS: u64 = 12_000;

/// Checks that each fencing token has one holder, and that no process of a replica receives a lower
/// token than before.
pub(super) fn fences_have_one_holder(
    observed: &Observed,
    schedule: &Schedule,
) -> Vec<(u64, String)> {
    let mut violations = Vec::new();
    let mut holders: BTreeMap<u64, String> = BTreeMap::new();
    for (name, replica) in &observed.replicas {
        for orders in &replica.orders {
            let fences: Vec<u64> = orders.iter().map(|(_, fence)| *fence).collect();
            if !fences.is_sorted() {
                let what = format!("{name} received orders with decreasing fences {fences:?}");
                violations.push((schedule.length, what));
            }
            for (holder, fence) in orders {
                let known = holders.entry(*fence).or_insert_with(|| holder.clone());
                if known != holder {
                    let what = format!("fence {fence} is held by both {known} and {holder}");
                    violations.push((schedule.length, what));
                }
            }
        }
    }
    violations
}

/// Returns whether, at every time from `from` to `to`, no fault was active and none that had ended
/// may still have affected calls.
fn is_undisturbed(schedule: &Schedule, from: u64, to: u64) -> bool {
    let mut faults = schedule.faults.iter();
    !faults.any(|fault| fault.at <= to && from <= fault.end() + FAULT_EFFECT_MS)
}

/// Checks that the route that a configuration adds is served from [`CONFIGURATION_DUE_MS`] after
/// its write, unless a fault interferes.
pub(super) fn new_routes_are_served(
    observed: &Observed,
    schedule: &Schedule,
) -> Vec<(u64, String)> {
    let mut violations = Vec::new();
    for call in &observed.calls {
        let Some(version) = observed.new_routes.get(&call.id) else {
            continue;
        };
        let write = observed
            .config_writes
            .iter()
            .find(|one| one.version == *version);
        let Some(write) = write else {
            continue;
        };
        let is_due = call.sent_at >= write.at + CONFIGURATION_DUE_MS;
        let is_served = matches!(call.outcome, Outcome::Answered { status: 200, .. });
        if is_due && !is_served && is_undisturbed(schedule, write.at, call.ended_at) {
            let what = format!(
                "{} on a route of version {version}, written {} ms before, at edge {}: {:?}",
                call.id,
                call.sent_at - write.at,
                call.edge,
                call.outcome
            );
            violations.push((call.ended_at, what));
        }
    }
    violations
}

/// Checks that all reads and writes succeed that are sent [`RECOVERY_MS`] after the last fault or
/// later.
pub(super) fn edges_recover(observed: &Observed, schedule: &Schedule) -> Vec<(u64, String)> {
    let last_fault_end = schedule.faults.iter().map(Fault::end).max().unwrap_or(0);
    let due = observed.calls.iter().filter(|call| {
        let is_plain = matches!(call.kind, CallKind::Read | CallKind::Write);
        is_plain && call.sent_at >= last_fault_end + RECOVERY_MS
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
