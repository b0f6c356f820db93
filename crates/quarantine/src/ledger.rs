//! What the log keeps of contents under which replicas ended.
//!
//! Invariants: every member that applied the same changes holds the same cases; a held
//! content stays held until a change says otherwise; there are never more than
//! [`MOST_CASES`].

use crate::case::Case;
use crate::fingerprint::Fingerprint;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Cases that are kept: 100 KB of memory and of a whole list to an edge.
const MOST_CASES: usize = 1_024;

/// A change of what is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A replica, by the name of its id and life, ended under a content.
    Ended(Fingerprint, Arc<str>),
    /// A replica answered a content.
    Answered(Fingerprint),
    /// A held content may be sent on again.
    Try(Fingerprint),
    /// Nothing was heard of a content for long.
    Forget(Fingerprint),
}

impl Change {
    /// The content that changes.
    pub fn content(&self) -> Fingerprint {
        match self {
            Self::Ended(content, _)
            | Self::Answered(content)
            | Self::Try(content)
            | Self::Forget(content) => *content,
        }
    }
}

/// All contents under which replicas ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    cases: BTreeMap<Fingerprint, Case>,
    /// Those of them that are held: asked for with each item that is started.
    held: BTreeSet<Fingerprint>,
}

impl Ledger {
    /// Applies a change.
    pub fn apply(&mut self, change: Change) {
        let content = change.content();
        match change {
            Change::Ended(_, replica) => {
                self.cases.entry(content).or_default().note_end(&replica);
                self.make_room();
            }
            Change::Answered(_) | Change::Forget(_) => {
                self.cases.remove(&content);
            }
            Change::Try(_) => {
                if let Some(case) = self.cases.get_mut(&content) {
                    case.try_again();
                }
            }
        }
        if self.case(content).is_some_and(Case::is_quarantined) {
            self.held.insert(content);
        } else {
            self.held.remove(&content);
        }
    }

    /// Drops what says least: contents that are not held first, of few ends before many.
    fn make_room(&mut self) {
        while self.cases.len() > MOST_CASES {
            let least = self
                .cases
                .iter()
                .min_by_key(|(_, case)| (case.is_quarantined(), case.ends()));
            let Some(content) = least.map(|(content, _)| *content) else {
                return;
            };
            self.cases.remove(&content);
            self.held.remove(&content);
        }
    }

    /// What is known of a content.
    pub fn case(&self, content: Fingerprint) -> Option<&Case> {
        self.cases.get(&content)
    }

    /// All cases by content.
    pub fn cases(&self) -> impl Iterator<Item = (Fingerprint, &Case)> {
        self.cases.iter().map(|(content, case)| (*content, case))
    }

    /// Whether any content is held: else nobody needs to look one up.
    pub fn holds_any(&self) -> bool {
        !self.held.is_empty()
    }

    /// Whether no replica is to run a content.
    pub fn is_quarantined(&self, content: Fingerprint) -> bool {
        self.held.contains(&content)
    }

    /// How many contents are held.
    pub fn held(&self) -> usize {
        self.held.len()
    }
}
