//! Warm-up period of a replica, as one process observes it.

use brasspond_units::Millis;

/// The latest warm-up period of a replica, computed from its entries in the view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WarmUpPeriod {
    /// Remaining time in the last observed entry, in ms.
    remaining_ms: Millis,
    /// Revision of that entry.
    revision: u64,
    /// End of the period, by this process's clock.
    ends_at: Millis,
}

impl WarmUpPeriod {
    /// Records the remaining time in a revision of the replica's entry, in ms; 0 if the replica is
    /// warm. The period starts when this process first observes that time, so that it ends late
    /// rather than early. If another revision contains the same time, an active period continues,
    /// because other parts of the entry may have changed. After the period, the same time starts a
    /// new one, because this process may have missed the revisions in between.
    pub fn observe(&mut self, remaining_ms: Millis, revision: u64, now: Millis) {
        let is_new_period = revision != self.revision && !self.is_active(now);
        if remaining_ms != self.remaining_ms || is_new_period {
            self.remaining_ms = remaining_ms;
            self.ends_at = now.saturating_add(remaining_ms);
        }
        self.revision = revision;
    }

    /// Returns the time from which the replica is warm, in ms.
    pub fn ends_at(&self) -> Millis {
        self.ends_at
    }

    /// Whether the replica is warming up at `now`.
    pub fn is_active(&self, now: Millis) -> bool {
        now < self.ends_at
    }
}
