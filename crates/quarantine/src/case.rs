//! What is known of one content.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Ends under a content after which it is held. One end may be anybody's doing, and a
/// replica that ended takes all that it ran with it: two may strike a bystander's retry too.
pub const QUARANTINED_AFTER: usize = 3;
/// Ends from which edges are told of a content, so that an answer to it is noticed: a
/// content that replicas answer does not end them.
pub const WATCHED_AFTER: usize = 2;
/// Replicas that are kept by name for one content.
const MOST_ENDS: usize = 16;

/// What becomes of requests of a content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
enum Standing {
    /// They are sent on.
    #[default]
    Suspected,
    /// They are not sent to any replica.
    Held,
    /// They are sent on again; one more end, and they are held.
    OnTrial,
}

/// A content under which replicas ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Case {
    /// Lives of replicas, by the name of id and life; each that ended counts.
    ended: BTreeSet<Arc<str>>,
    standing: Standing,
}

impl Case {
    /// Replicas that ended under the content.
    pub fn ends(&self) -> usize {
        self.ended.len()
    }

    /// Whether no replica is to run the content.
    pub fn is_quarantined(&self) -> bool {
        self.standing == Standing::Held
    }

    /// Whether edges are told of it.
    pub fn is_watched(&self) -> bool {
        self.ends() >= WATCHED_AFTER
    }

    /// Whether a replica, by the name of its id and life, is known to have ended under it.
    pub fn has_ended(&self, replica: &str) -> bool {
        self.ended.contains(replica)
    }

    /// A replica ended under the content. An end that is known changes nothing.
    pub(crate) fn note_end(&mut self, replica: &Arc<str>) {
        let is_new = self.ended.len() < MOST_ENDS && self.ended.insert(Arc::clone(replica));
        if !is_new {
            return;
        }
        if self.standing == Standing::OnTrial || self.ends() >= QUARANTINED_AFTER {
            self.standing = Standing::Held;
        }
    }

    /// The content may be sent on again.
    pub(crate) fn try_again(&mut self) {
        if self.is_quarantined() {
            self.standing = Standing::OnTrial;
        }
    }
}
