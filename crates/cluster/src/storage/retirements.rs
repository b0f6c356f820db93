//! Which retirement of a machine is reported next: a pure decision.

use brasspond_consensus::Member;
use brasspond_fleet::Retirement;
use std::collections::HashMap;

/// A report on a retirement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetirementReport {
    /// The machine.
    pub machine: String,
    /// Its vote is gone, so that it may be removed; else its retirement has begun.
    pub completed: bool,
}

/// The next report: that a machine which votes is being emptied, once; that a machine without a
/// vote may be removed, once.
///
/// `is_settled` says that no change of voters is under way: before that a machine without a vote
/// may still be needed for the commit. `reported` holds what this process reported (whether it
/// was completed), by machine; what it lacks is taken from the store's own status, so that a new
/// leader repeats nothing that its view shows.
pub fn next_report<'a>(
    retirements: impl IntoIterator<Item = &'a Retirement>,
    voters: &[Member],
    is_settled: bool,
    reported: &HashMap<String, bool>,
) -> Option<RetirementReport> {
    retirements.into_iter().find_map(|retirement| {
        let machine = &retirement.machine;
        let votes = voters.iter().any(|voter| voter.machine == *machine);
        let known = reported.get(machine).copied();
        let known = known.or(retirement.completed.then_some(true));
        let known = known.or(retirement.begun.then_some(false));
        let is_due = if votes {
            known.is_none()
        } else {
            is_settled && known != Some(true)
        };
        is_due.then(|| RetirementReport {
            machine: machine.clone(),
            completed: !votes,
        })
    })
}
