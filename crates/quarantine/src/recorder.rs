//! What an edge knows of contents under which replicas ended.

use crate::case::Case;
use crate::fingerprint::Fingerprint;
use brasspond_units::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Time for which an edge keeps what it saw itself, in ms: elections are over by then, and
/// a leader has it in the log.
const OWN_LIFE: Millis = 60_000;
/// Contents of which an edge keeps what it saw itself. A replica that ends takes all that
/// it ran with it, so that one end brings some tens.
const MOST_OWN: usize = 512;

/// A replica that ended while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndReport {
    /// What it ran.
    pub content: Fingerprint,
    /// Name of the replica's id and life.
    pub replica: Arc<str>,
    /// Time from the beginning of the run to its end, in ms.
    pub ran_ms: Millis,
    /// Time from that end until this report, in ms.
    pub ago_ms: Millis,
}

/// What a leader tells of contents: all that it tells of, or what changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CasesUpdate {
    /// It names all.
    pub is_whole: bool,
    /// Contents by what is known of them now; none: nothing any more.
    pub cases: Vec<(Fingerprint, Option<Case>)>,
}

/// Ends under one content that this edge saw.
#[derive(Clone, Debug, Default)]
struct Own {
    case: Case,
    /// Reports, with the time of the end of each.
    reports: Vec<(EndReport, Millis)>,
    ended_at: Millis,
}

/// An edge's part.
#[derive(Debug, Default)]
pub struct Recorder {
    told: BTreeMap<Fingerprint, Case>,
    own: BTreeMap<Fingerprint, Own>,
}

impl Recorder {
    /// Whether nothing is known of any content, so that none needs to be looked up.
    pub fn is_idle(&self) -> bool {
        self.told.is_empty() && self.own.is_empty()
    }

    /// Whether a content is not to be sent to any replica: a leader says so, or this edge
    /// saw enough itself.
    pub fn is_quarantined(&self, content: Fingerprint) -> bool {
        let told = self.told.get(&content);
        let own = self.own.get(&content);
        told.is_some_and(Case::is_quarantined) || own.is_some_and(|own| own.case.is_quarantined())
    }

    /// Contents that are held, as far as a leader told.
    pub fn held(&self) -> usize {
        self.told
            .values()
            .filter(|case| case.is_quarantined())
            .count()
    }

    /// A replica ended under a content. Returns whether anything new was seen.
    pub fn note_end(&mut self, report: EndReport, now: Millis) -> bool {
        let ended_at = now.saturating_sub(report.ago_ms);
        let begun_at = ended_at.saturating_sub(report.ran_ms);
        if self.own.len() >= MOST_OWN && !self.own.contains_key(&report.content) {
            return false;
        }
        let own = self.own.entry(report.content).or_default();
        if own.case.has_ended(&report.replica) {
            return false;
        }
        if begun_at >= own.ended_at {
            own.case.note_end(&report.replica);
            own.ended_at = ended_at;
        }
        own.reports.push((report, ended_at));
        true
    }

    /// All ends that this edge saw lately, for a new leader.
    pub fn reports(&self, now: Millis) -> Vec<EndReport> {
        let reports = self.own.values().flat_map(|own| &own.reports);
        let aged = reports.map(|(report, ended_at)| EndReport {
            ago_ms: now.saturating_sub(*ended_at),
            ..report.clone()
        });
        aged.collect()
    }

    /// Takes what a leader tells.
    pub fn take(&mut self, told: CasesUpdate) {
        if told.is_whole {
            self.told.clear();
        }
        for (content, case) in told.cases {
            match case {
                Some(case) => self.told.insert(content, case),
                None => self.told.remove(&content),
            };
        }
    }

    /// A replica answered a content. Returns whether that is news to the leader.
    pub fn answered(&mut self, content: Fingerprint) -> bool {
        let is_own = self.own.remove(&content).is_some();
        is_own || self.told.contains_key(&content)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Millis) {
        self.own.retain(|_, own| now < own.ended_at + OWN_LIFE);
    }
}
