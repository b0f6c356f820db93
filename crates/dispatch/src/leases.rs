//! Leases that prevent two holders from sending orders to the same subject, such as a replica.

use brasspond_units::Millis;
use std::collections::BTreeMap;

/// Expiry times of other holders' leases, in ms.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrderLeases {
    /// Expiry for all subjects.
    pub all_until: Millis,
    /// Expiry by subject. For a replica, the subject is its id, so that a lease survives a restart.
    pub until: BTreeMap<String, Millis>,
}

impl OrderLeases {
    /// Whether another holder has a lease on a subject.
    pub fn is_leased(&self, subject: &str, now: Millis) -> bool {
        // An expiry of 0 stands for no lease on this subject.
        let own = self.until.get(subject).copied().unwrap_or(0);
        now < own.max(self.all_until)
    }
}
