//! The cases that an edge knows: cases received from the leader, and cases that the edge itself
//! made from the ends that it detected. An *end* is the loss of a replica while it runs a request.

use crate::case::Case;
use crate::fingerprint::Fingerprint;
use brasspond_units::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Time for which an edge retains the ends that it detected, in ms. It exceeds the duration of an
/// election, so that a leader can add the ends to the replicated log before the edge drops them.
const LOCAL_RETENTION_MS: Millis = 60_000;
/// Maximum number of contents for which an edge retains the ends that it detected. Ends of further
/// contents are neither recorded nor reported. If a replica ends while it runs several requests, an
/// end is recorded for the content of each.
const MAX_LOCAL_CASES: usize = 512;

/// The end of a replica while it ran a request, as detected by an edge.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndReport {
    /// Content of the request.
    pub content: Fingerprint,
    /// Id and life of the replica.
    pub replica: Arc<str>,
    /// Time from when the replica started to run the request until the end, in ms.
    pub ran_ms: Millis,
    /// Time from the end until this report is sent, in ms.
    pub ago_ms: Millis,
}

/// Cases that the leader sends to edges: either all cases that edges need, or those that changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CasesUpdate {
    /// Whether the update contains all cases that edges need, so that edges remove all others.
    pub is_whole: bool,
    /// Contents with their cases. The case is `None` if it was removed.
    pub cases: Vec<(Fingerprint, Option<Case>)>,
}

/// The case of one content, made from the ends that this edge detected.
#[derive(Clone, Debug, Default)]
struct LocalCase {
    case: Case,
    /// Reports of all detected ends, each with the time of the end.
    reports: Vec<(EndReport, Millis)>,
    /// Time of the last end that is recorded in `case`.
    ended_at: Millis,
}

/// Records the ends that an edge detects, and decides which contents are quarantined.
#[derive(Debug, Default)]
pub struct QuarantineRecorder {
    /// Cases received from the leader.
    received: BTreeMap<Fingerprint, Case>,
    /// Cases of the ends that this edge detected recently.
    local: BTreeMap<Fingerprint, LocalCase>,
}

impl QuarantineRecorder {
    /// Whether this edge knows no cases, so that callers need not compute fingerprints.
    pub fn is_idle(&self) -> bool {
        self.received.is_empty() && self.local.is_empty()
    }

    /// Whether a content is quarantined according to the leader's cases or to this edge's own
    /// cases. The edge's own cases protect replicas while no leader can be reached.
    pub fn is_quarantined(&self, content: Fingerprint) -> bool {
        let received = self.received.get(&content);
        let local = self.local.get(&content);
        received.is_some_and(Case::is_quarantined)
            || local.is_some_and(|local| local.case.is_quarantined())
    }

    /// Returns the number of contents that are quarantined according to the leader's cases. This
    /// edge's own cases are not counted.
    pub fn quarantined(&self) -> usize {
        self.received
            .values()
            .filter(|case| case.is_quarantined())
            .count()
    }

    /// Records the end of a replica, and returns whether it must be reported to the leader. An end
    /// counts towards this edge's own quarantine only if the run started after the last end that
    /// counted, but it is reported either way. Returns `false` if an end of the same replica
    /// already counted for the content, and for further contents once `MAX_LOCAL_CASES` is reached.
    pub fn record_end(&mut self, report: EndReport, now: Millis) -> bool {
        let ended_at = now.saturating_sub(report.ago_ms);
        let started_at = ended_at.saturating_sub(report.ran_ms);
        if self.local.len() >= MAX_LOCAL_CASES && !self.local.contains_key(&report.content) {
            return false;
        }
        let local = self.local.entry(report.content).or_default();
        if local.case.includes_end_of(&report.replica) {
            return false;
        }
        if started_at >= local.ended_at {
            local.case.record_end(&report.replica);
            local.ended_at = ended_at;
        }
        local.reports.push((report, ended_at));
        true
    }

    /// Returns the reports of all recent ends that this edge detected, with their ages at `now`.
    /// Edges send them to a new leader.
    pub fn reports(&self, now: Millis) -> Vec<EndReport> {
        let reports = self.local.values().flat_map(|local| &local.reports);
        let aged = reports.map(|(report, ended_at)| EndReport {
            ago_ms: now.saturating_sub(*ended_at),
            ..report.clone()
        });
        aged.collect()
    }

    /// Applies the leader's update to the received cases.
    pub fn apply(&mut self, update: CasesUpdate) {
        if update.is_whole {
            self.received.clear();
        }
        for (content, case) in update.cases {
            match case {
                Some(case) => self.received.insert(content, case),
                None => self.received.remove(&content),
            };
        }
    }

    /// Removes this edge's own case of a content, because a replica responded to the content.
    /// Returns whether the content had a case, from the leader or this edge's own, so that the
    /// response must be reported to the leader.
    pub fn answered(&mut self, content: Fingerprint) -> bool {
        let is_local = self.local.remove(&content).is_some();
        is_local || self.received.contains_key(&content)
    }

    /// Drops the ends of every content whose last counted end is at least `LOCAL_RETENTION_MS` old.
    pub fn tick(&mut self, now: Millis) {
        self.local
            .retain(|_, local| now < local.ended_at + LOCAL_RETENTION_MS);
    }
}
