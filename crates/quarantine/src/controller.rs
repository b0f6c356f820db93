//! The leader's decisions: which reported ends count, when a quarantined content is retried, and
//! when a case expires.

use crate::case::QUARANTINE_THRESHOLD;
use crate::fingerprint::Fingerprint;
use crate::ledger::{CaseChange, QuarantineLedger};
use crate::recorder::EndReport;
use brasspond_units::Millis;
use std::collections::BTreeMap;

/// Duration of the first quarantine of a content, in ms. Each further end doubles the duration,
/// because each retry may crash another replica. With these durations, the retries of a
/// harmful content crash four replicas in the first hour.
pub const FIRST_QUARANTINE_MS: Millis = 120_000;
/// Maximum duration of a quarantine, in ms. After a release that fixes the crash, the content is
/// served again within this time.
const MAX_QUARANTINE_MS: Millis = 3_600_000;
/// Time without a change after which a case expires, in ms. Cases of quarantined contents do not
/// expire.
const CASE_EXPIRY_MS: Millis = 600_000;
/// Assumed maximum delay of a report on its way to the leader, in ms. The leader computes the times
/// of ends from the arrival of reports, so these times may be late by this delay.
const MAX_REPORT_DELAY_MS: Millis = 10;

/// State of a case when the leader last observed a change of it.
#[derive(Clone, Copy, Debug)]
struct ObservedCase {
    ends: usize,
    is_quarantined: bool,
    /// Time at which the leader observed the change.
    since: Millis,
}

/// Decides which changes of cases the leader proposes. A new leader starts without this state and
/// measures each quarantine from its own start, so a change of leader can prolong a quarantine but
/// not shorten it.
#[derive(Debug, Default)]
pub struct QuarantineController {
    observed: BTreeMap<Fingerprint, ObservedCase>,
    /// Time of the last end that counted, by content.
    last_ends: BTreeMap<Fingerprint, Millis>,
}

impl QuarantineController {
    /// Handles ends that an edge reported at `now` and returns the changes to propose to the log.
    /// Skips ends that the ledger already contains, and ends that do not count (see
    /// `is_independent_end`).
    pub fn reported(
        &mut self,
        reports: Vec<EndReport>,
        ledger: &QuarantineLedger,
        now: Millis,
    ) -> Vec<CaseChange> {
        let mut changes = Vec::new();
        for report in reports {
            let case = ledger.case(report.content);
            if case.is_some_and(|case| case.includes_end_of(&report.replica)) {
                continue;
            }
            let ended_at = now.saturating_sub(report.ago_ms);
            let started_at = ended_at.saturating_sub(report.ran_ms);
            let last_end = self.last_ends.get(&report.content);
            if !is_independent_end(started_at, last_end.copied()) {
                continue;
            }
            self.last_ends.insert(report.content, ended_at);
            changes.push(CaseChange::Ended(report.content, report.replica));
        }
        changes
    }

    /// Handles a replica's response to a content. Returns the change to propose to the log, or
    /// `None` if the content has no case.
    pub fn answered(
        &mut self,
        content: Fingerprint,
        ledger: &QuarantineLedger,
    ) -> Option<CaseChange> {
        self.last_ends.remove(&content);
        ledger.case(content).map(|_| CaseChange::Answered(content))
    }

    /// Returns the changes that are due at `now`: retries of quarantined contents and the expiry of
    /// cases.
    pub fn tick(&mut self, ledger: &QuarantineLedger, now: Millis) -> Vec<CaseChange> {
        self.observed
            .retain(|content, _| ledger.case(*content).is_some());
        let observed = &self.observed;
        self.last_ends.retain(|content, at| {
            let has_case = observed.contains_key(content);
            has_case || now < *at + CASE_EXPIRY_MS
        });
        let mut changes = Vec::new();
        for (content, case) in ledger.cases() {
            let current = ObservedCase {
                ends: case.end_count(),
                is_quarantined: case.is_quarantined(),
                since: now,
            };
            let observed = self.observed.entry(content).or_insert(current);
            if observed.ends != current.ends || observed.is_quarantined != current.is_quarantined {
                *observed = current;
            }
            let age = now.saturating_sub(observed.since);
            if case.is_quarantined() && age >= quarantine_duration(case.end_count()) {
                changes.push(CaseChange::Try(content));
            } else if !case.is_quarantined() && age >= CASE_EXPIRY_MS {
                changes.push(CaseChange::Forget(content));
            }
        }
        changes
    }
}

/// Whether an end counts: no end has counted yet, or the run started after the last end that
/// counted. Replicas that end together are more likely lost to a failure of their host or service
/// than to the contents that they ran. Times are in ms of the leader's clock.
fn is_independent_end(started_at: Millis, last_end: Option<Millis>) -> bool {
    last_end.is_none_or(|last_end| started_at + MAX_REPORT_DELAY_MS >= last_end)
}

/// Returns the duration of a quarantine after a number of ends, in ms.
fn quarantine_duration(ends: usize) -> Millis {
    let doublings = u32::try_from(ends.saturating_sub(QUARANTINE_THRESHOLD)).unwrap_or(u32::MAX);
    let factor = 1_u64.checked_shl(doublings).unwrap_or(u64::MAX);
    FIRST_QUARANTINE_MS
        .saturating_mul(factor)
        .min(MAX_QUARANTINE_MS)
}
