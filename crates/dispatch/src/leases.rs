//! Leases that keep two holders from giving orders on one subject.

use brasspond_units::Millis;
use std::collections::BTreeMap;

/// Until when another holder's lease may forbid orders.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrderLeases {
    /// On any subject.
    pub all_until: Millis,
    /// On single subjects, by name; a replica's is its id, whichever its life.
    pub until: BTreeMap<String, Millis>,
}

impl OrderLeases {
    /// Whether another holder's lease forbids orders on a subject.
    pub fn is_leased(&self, subject: &str, now: Millis) -> bool {
        // 0: no lease on this subject.
        let own = self.until.get(subject).copied().unwrap_or(0);
        now < own.max(self.all_until)
    }
}
