//! Decides which retirement of a machine is reported next. The decision is pure.
//!
//! While a change of voters is in progress, a machine that it removes may still be needed to commit
//! the change. The retirement of a machine without a vote is therefore not reported as completed
//! before the change is committed.

use brasspond_consensus::Member;
use brasspond_fleet::Retirement;
use std::collections::HashMap;

/// A report on a retirement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetirementReport {
    /// The retiring machine.
    pub machine: String,
    /// Whether the machine has no vote, so that it may be removed. Otherwise the report says that
    /// the retirement has begun.
    pub completed: bool,
}

/// Returns the next report. Each voting machine is reported once as begun, and each machine without
/// a vote once as completed.
///
/// `is_settled` means that no change of voters is in progress. `reported` contains the reports of
/// this process by machine, with true for completed. For other machines, the status in the registry
/// counts, so that a new leader does not repeat reports.
pub fn next_report<'a>(
    retirements: impl IntoIterator<Item = &'a Retirement>,
    voters: &[Member],
    is_settled: bool,
    reported: &HashMap<String, bool>,
) -> Option<RetirementReport> {
    retirements.into_iter().find_map(|retirement| {
        let machine = &retirement.machine;
        let votes = voters.iter().any(|voter| voter.machine == *machine);
        let last_reported = reported.get(machine).copied();
        let last_reported = last_reported.or(retirement.completed.then_some(true));
        let last_reported = last_reported.or(retirement.begun.then_some(false));
        let is_due = if votes {
            last_reported.is_none()
        } else {
            is_settled && last_reported != Some(true)
        };
        is_due.then(|| RetirementReport {
            machine: machine.clone(),
            completed: !votes,
        })
    })
}
