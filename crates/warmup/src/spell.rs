//! Whether a replica warms up, as one process sees it.

use brasspond_units::Millis;

/// The newest spell of a replica's warming up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Spell {
    /// Time left that its entry told last, in ms.
    told_ms: Millis,
    /// Revision of that entry.
    revision: u64,
    until: Millis,
}

impl Spell {
    /// Takes the time left that the replica's entry of a revision tells, in ms; 0: it is warm.
    /// The same time again is no news while the spell lasts: other parts of the entry changed.
    /// After its end it is a new spell, of which the entries between were not seen: without
    /// that 50 items went to such a replica at once (8 s after its first spell of 3 s). A time
    /// that was told is counted from when it was first seen, which is later than true.
    pub fn observe(&mut self, told_ms: Millis, revision: u64, now: Millis) {
        let is_anew = revision != self.revision && !self.is_on(now);
        if told_ms != self.told_ms || is_anew {
            self.told_ms = told_ms;
            self.until = now.saturating_add(told_ms);
        }
        self.revision = revision;
    }

    /// When the replica is warm, in ms.
    pub fn until(&self) -> Millis {
        self.until
    }

    /// Whether it warms up.
    pub fn is_on(&self, now: Millis) -> bool {
        now < self.until
    }
}
