//! The replicated cases of all contents.
//!
//! Members that have applied the same changes have the same cases. A content stays quarantined
//! until a change for this content lifts the quarantine. There are at most [`MAX_CASES`] cases.

use crate::case::Case;
use crate::fingerprint::Fingerprint;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum number of cases. It bounds the memory of the ledger, and the size of an update with all
/// cases to about 100 KB.
const MAX_CASES: usize = 1_024;

/// A change to a case.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CaseChange {
    /// Records that a replica, named by its id and life, ended while running the content.
    Ended(Fingerprint, Arc<str>),
    /// Removes the case of a content, because a replica responded to it.
    Answered(Fingerprint),
    /// Lifts the quarantine of the content until one more end is recorded.
    Try(Fingerprint),
    /// Removes the case of a content, because it has expired.
    Forget(Fingerprint),
}

impl CaseChange {
    /// Returns the content whose case changes.
    pub fn content(&self) -> Fingerprint {
        match self {
            Self::Ended(content, _)
            | Self::Answered(content)
            | Self::Try(content)
            | Self::Forget(content) => *content,
        }
    }
}

/// The replicated cases, by content.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineLedger {
    cases: BTreeMap<Fingerprint, Case>,
    /// Quarantined contents. This index saves a scan of `cases` to find whether any content is
    /// quarantined, and how many are.
    held: BTreeSet<Fingerprint>,
}

impl QuarantineLedger {
    /// Applies a change.
    pub fn apply(&mut self, change: CaseChange) {
        let content = change.content();
        match change {
            CaseChange::Ended(_, replica) => {
                self.cases.entry(content).or_default().record_end(&replica);
                self.evict_excess();
            }
            CaseChange::Answered(_) | CaseChange::Forget(_) => {
                self.cases.remove(&content);
            }
            CaseChange::Try(_) => {
                if let Some(case) = self.cases.get_mut(&content) {
                    case.start_trial();
                }
            }
        }
        if self.case(content).is_some_and(Case::is_quarantined) {
            self.held.insert(content);
        } else {
            self.held.remove(&content);
        }
    }

    /// Evicts cases until at most [`MAX_CASES`] remain. Cases that are not quarantined and have the
    /// fewest ends are evicted first.
    fn evict_excess(&mut self) {
        while self.cases.len() > MAX_CASES {
            let least = self
                .cases
                .iter()
                .min_by_key(|(_, case)| (case.is_quarantined(), case.end_count()));
            let Some(content) = least.map(|(content, _)| *content) else {
                return;
            };
            self.cases.remove(&content);
            self.held.remove(&content);
        }
    }

    /// Returns the case of a content, or `None` if it has no case.
    pub fn case(&self, content: Fingerprint) -> Option<&Case> {
        self.cases.get(&content)
    }

    /// Returns all cases, in ascending order of fingerprint.
    pub fn cases(&self) -> impl Iterator<Item = (Fingerprint, &Case)> {
        self.cases.iter().map(|(content, case)| (*content, case))
    }

    /// Whether a content is quarantined, so that requests with it are not sent to replicas.
    pub fn is_quarantined(&self, content: Fingerprint) -> bool {
        self.held.contains(&content)
    }

    /// Returns the number of quarantined contents.
    pub fn quarantined(&self) -> usize {
        self.held.len()
    }
}
