//! How far behind a follower may be.
//!
//! A confirmed leader says, with what it sends, up to which index everything acknowledged lies
//! (the read index). A follower that has applied so much was current when that arrived; it may
//! answer reads whose answers never change, such as results at their positions, for as long after
//! that as its readers allow.

use brasspond_units::Millis;

/// Longest time between two messages of a leader after which the next ones may be old, since this
/// process or its link was suspended: more than two heartbeats (150 ms each). Not measured.
const LONGEST_LEADER_GAP: Millis = 400;
/// Time after such a gap in which messages may have waited on the way. Not measured.
const OLD_MESSAGES_TIME: Millis = 200;

/// What a follower knows of its own age.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Currency {
    /// The oldest read index that is not applied yet, and when it arrived.
    awaited: Option<(u64, Millis)>,
    applied: u64,
    /// Everything acknowledged at this time is applied here; none: not known.
    current_at: Option<Millis>,
    /// When a leader was last heard.
    heard_at: Millis,
    /// Read indices that arrive before this time count for nothing: they may be old.
    trusted_from: Millis,
}

impl Currency {
    /// A message of the leader arrived; without a read index it is not confirmed.
    pub fn leader_heard(&mut self, read_index: Option<u64>, now: Millis) {
        if now > self.heard_at + LONGEST_LEADER_GAP {
            self.awaited = None;
            self.current_at = None;
            self.trusted_from = now + OLD_MESSAGES_TIME;
        }
        self.heard_at = now;
        let Some(index) = read_index else {
            return;
        };
        if now < self.trusted_from {
            return;
        }
        self.awaited.get_or_insert((index, now));
        self.applied(self.applied);
    }

    /// All entries up to this index are applied.
    pub fn applied(&mut self, applied: u64) {
        self.applied = applied;
        if let Some((index, arrived_at)) = self.awaited
            && applied >= index
        {
            self.awaited = None;
            self.current_at = Some(arrived_at);
        }
    }

    /// Whether everything acknowledged `window` ago is applied; false where that is not known.
    pub fn is_current(&self, window: Millis, now: Millis) -> bool {
        self.current_at.is_some_and(|at| now <= at + window)
    }
}
