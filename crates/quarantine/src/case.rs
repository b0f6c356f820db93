//! The case of one content, and the rule that quarantines the content.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Number of ends after which a content is quarantined. The end of a replica may be recorded for
/// every content that it was running, so a harmless content may have two ends by chance, but hardly
/// three. Callers are promised the same bound.
pub const QUARANTINE_THRESHOLD: usize = 3;
/// Number of ends from which on the leader sends a case to the edges. Edges report responses to the
/// contents of these cases, and a response removes the case.
const WATCH_THRESHOLD: usize = 2;
/// Maximum number of replicas recorded per case, which bounds the memory of a case. Further ends
/// are ignored.
const MAX_ENDS: usize = 16;

/// State of a case. The names of the variants are part of the encoding.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
enum State {
    /// Requests with the content are sent to replicas.
    #[default]
    Suspected,
    /// The content is quarantined: requests with it are not sent to replicas.
    Held,
    /// Requests with the content are sent to replicas again. One more end quarantines the content
    /// again, unless [`MAX_ENDS`] are already recorded.
    OnTrial,
}

/// Replicas that ended while running one content, and whether it is quarantined.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Case {
    /// Id and life of each replica that ended while running the content.
    ended: BTreeSet<Arc<str>>,
    state: State,
}

impl Case {
    /// Returns the number of replicas that ended while running the content.
    pub fn end_count(&self) -> usize {
        self.ended.len()
    }

    /// Whether the content is quarantined, so that requests with it are not sent to replicas.
    pub fn is_quarantined(&self) -> bool {
        self.state == State::Held
    }

    /// Whether the leader sends the case to edges.
    pub fn is_sent_to_edges(&self) -> bool {
        self.end_count() >= WATCH_THRESHOLD
    }

    /// Whether the end of this replica, named by its id and life, is recorded.
    pub fn includes_end_of(&self, replica: &str) -> bool {
        self.ended.contains(replica)
    }

    /// Records the end of a replica and quarantines the content if the case has enough ends. Has no
    /// effect if the end of the replica is already recorded.
    pub(crate) fn record_end(&mut self, replica: &Arc<str>) {
        let is_new = self.ended.len() < MAX_ENDS && self.ended.insert(Arc::clone(replica));
        if !is_new {
            return;
        }
        if self.state == State::OnTrial || self.end_count() >= QUARANTINE_THRESHOLD {
            self.state = State::Held;
        }
    }

    /// Lifts the quarantine, if any, until one more end is recorded.
    pub(crate) fn start_trial(&mut self) {
        if self.is_quarantined() {
            self.state = State::OnTrial;
        }
    }
}
