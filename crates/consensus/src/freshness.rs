//! Freshness of a follower, which decides whether it may answer reads.
//!
//! A confirmed leader sends its commit index with each append as the read index. A follower that
//! has applied the log up to the read index counts as current as of the arrival of that index. For
//! a time window that the reader chooses, it may then answer reads of data that does not change
//! once written, such as job results by position.

use brasspond_units::Millis;

/// Longest gap between two messages of a leader, in which more than two default heartbeat intervals
/// fit. After a longer gap this process or its link may have been suspended, and the next messages
/// may be stale.
const MAX_LEADER_GAP: Millis = 400;
/// Time after such a gap in which messages that arrive may be stale.
const STALE_MESSAGE_WINDOW: Millis = 200;

/// How up to date a follower's applied state is.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Freshness {
    /// Oldest read index that is not applied yet, and when it arrived.
    pending: Option<(u64, Millis)>,
    applied: u64,
    /// All entries that were acknowledged by this time are applied; `None` if unknown.
    current_at: Option<Millis>,
    /// When the last message of a leader arrived; 0 if none has arrived.
    heard_at: Millis,
    /// Read indices that arrive before this time are ignored, since they may be stale.
    trusted_from: Millis,
}

impl Freshness {
    /// Records a message of the leader; `read_index` is `None` if the leader is not confirmed.
    pub fn on_leader_message(&mut self, read_index: Option<u64>, now: Millis) {
        if now > self.heard_at + MAX_LEADER_GAP {
            self.pending = None;
            self.current_at = None;
            self.trusted_from = now + STALE_MESSAGE_WINDOW;
        }
        self.heard_at = now;
        let Some(index) = read_index else {
            return;
        };
        if now < self.trusted_from {
            return;
        }
        self.pending.get_or_insert((index, now));
        self.set_applied(self.applied);
    }

    /// Records that all entries up to this index are applied.
    pub fn set_applied(&mut self, applied: u64) {
        self.applied = applied;
        if let Some((index, arrived_at)) = self.pending
            && applied >= index
        {
            self.pending = None;
            self.current_at = Some(arrived_at);
        }
    }

    /// Whether all entries that were acknowledged up to `window` ms ago are applied; false if
    /// unknown.
    pub fn is_current(&self, window: Millis, now: Millis) -> bool {
        self.current_at.is_some_and(|at| now <= at + window)
    }
}
