//! How far behind a follower may be.
//!
//! A leader that surely leads tells, with what it sends, up to which index
//! everything acknowledged lies. A follower that has applied so much was current
//! when it was told; it may answer reads whose answers never change, such as
//! results at their positions, for as long after that as its readers allow.

use brasspond_units::Millis;

/// Longest time between two words of a leader, in ms, after which what arrives
/// next may be old: this process or its link stood still.
const STANDSTILL: Millis = 400;
/// Time after a standstill in which what arrives may have waited, in ms.
const SETTLING: Millis = 200;

/// What a follower knows of its own age.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Currency {
    /// The oldest index told and not reached yet, and when it was told.
    awaited: Option<(u64, Millis)>,
    applied: u64,
    /// It had applied all that was acknowledged at this time.
    current_at: Option<Millis>,
    /// When a leader last told anything.
    told_at: Millis,
    /// What was told before this time counts for nothing.
    settled_at: Millis,
}

impl Currency {
    pub fn told(&mut self, read_index: Option<u64>, now: Millis) {
        if now > self.told_at + STANDSTILL {
            self.awaited = None;
            self.current_at = None;
            self.settled_at = now + SETTLING;
        }
        self.told_at = now;
        let Some(index) = read_index else {
            return;
        };
        if now < self.settled_at {
            return;
        }
        self.awaited.get_or_insert((index, now));
        self.applied(self.applied);
    }

    pub fn applied(&mut self, applied: u64) {
        self.applied = applied;
        if let Some((index, told_at)) = self.awaited
            && applied >= index
        {
            self.awaited = None;
            self.current_at = Some(told_at);
        }
    }

    pub fn is_current(&self, window: Millis, now: Millis) -> bool {
        self.current_at.is_some_and(|at| now <= at + window)
    }
}
