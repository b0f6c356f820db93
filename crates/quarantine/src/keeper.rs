//! What the leader decides: which reported ends count, when a held content is tried again,
//! when a content is forgotten.

use crate::case::QUARANTINED_AFTER;
use crate::fingerprint::Fingerprint;
use crate::ledger::{Change, Ledger};
use crate::recorder::EndReport;
use brasspond_units::Millis;
use std::collections::BTreeMap;

/// Time for which a content is held at first, in ms; it doubles with each more end. Each
/// trial may cost a replica: with this and the doubling, four in the first hour.
pub const FIRST_HOLD: Millis = 120_000;
/// Longest time for which a content is held, in ms.
const LONGEST_HOLD: Millis = 3_600_000;
/// Time after which a content that is not held is forgotten, in ms.
const LIFE: Millis = 600_000;
/// Time by which reports of edges may be off, in ms: their way to the leader.
const SLACK: Millis = 10;

/// A case as it was when the leader last saw it change.
#[derive(Clone, Copy, Debug)]
struct Seen {
    ends: usize,
    is_quarantined: bool,
    since: Millis,
}

/// The leader's part. Times begin anew with each leader, so that a content is held for
/// longer then, never for less.
#[derive(Debug, Default)]
pub struct Keeper {
    seen: BTreeMap<Fingerprint, Seen>,
    /// When a replica last ended under a content, of the ends that count.
    last_ends: BTreeMap<Fingerprint, Millis>,
}

impl Keeper {
    /// Takes what an edge reported. An end counts if its run began after the last end
    /// that counts: replicas that end together, as hosts or a whole service do, say little
    /// of what each of them happened to run.
    pub fn reported(
        &mut self,
        reports: Vec<EndReport>,
        ledger: &Ledger,
        now: Millis,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        for report in reports {
            let case = ledger.case(report.content);
            if case.is_some_and(|case| case.has_ended(&report.replica)) {
                continue;
            }
            let ended_at = now.saturating_sub(report.ago_ms);
            let begun_at = ended_at.saturating_sub(report.ran_ms);
            let last = self.last_ends.get(&report.content);
            if last.is_some_and(|last| begun_at + SLACK < *last) {
                continue;
            }
            self.last_ends.insert(report.content, ended_at);
            changes.push(Change::Ended(report.content, report.replica));
        }
        changes
    }

    /// A replica answered a content.
    pub fn answered(&mut self, content: Fingerprint, ledger: &Ledger) -> Option<Change> {
        self.last_ends.remove(&content);
        ledger.case(content).map(|_| Change::Answered(content))
    }

    /// Lets time pass.
    pub fn tick(&mut self, ledger: &Ledger, now: Millis) -> Vec<Change> {
        self.seen
            .retain(|content, _| ledger.case(*content).is_some());
        let seen = &self.seen;
        self.last_ends.retain(|content, at| {
            let is_known = seen.contains_key(content);
            is_known || now < *at + LIFE
        });
        let mut changes = Vec::new();
        for (content, case) in ledger.cases() {
            let present = Seen {
                ends: case.ends(),
                is_quarantined: case.is_quarantined(),
                since: now,
            };
            let seen = self.seen.entry(content).or_insert(present);
            if seen.ends != present.ends || seen.is_quarantined != present.is_quarantined {
                *seen = present;
            }
            let age = now.saturating_sub(seen.since);
            if case.is_quarantined() && age >= hold_time(case.ends()) {
                changes.push(Change::Try(content));
            } else if !case.is_quarantined() && age >= LIFE {
                changes.push(Change::Forget(content));
            }
        }
        changes
    }
}

/// Time for which a content is held under which so many replicas ended.
fn hold_time(ends: usize) -> Millis {
    let doublings = u32::try_from(ends.saturating_sub(QUARANTINED_AFTER)).unwrap_or(u32::MAX);
    let factor = 1_u64.checked_shl(doublings).unwrap_or(u64::MAX);
    FIRST_HOLD.saturating_mul(factor).min(LONGEST_HOLD)
}
