//! Permission to send one request to a replica that is warming up.

use brasspond_units::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Time within which a granted request must be sent, in ms. It covers the delivery of the leader's
/// message and a new connection on a busy edge. A longer time lowers the rate that a replica can
/// reach, because each grant counts against the budget for this time as well. With 100 ms, 10.9 of
/// 12 requests per second are granted.
pub const PERMIT_MS: Millis = 100;

/// The leader's permission to send one request to one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// Id of the replica. The permit does not name a life, because it expires before a restarted
    /// replica serves requests.
    pub replica: Arc<str>,
    /// Time before which the request may be sent, by the sender's clock.
    pub send_by: Millis,
}

impl Permit {
    /// Value of [`Permit::send_by`] in a permit that does not expire. The leader grants such permits
    /// for replicas that it considers warm, which have no budget.
    pub const UNLIMITED: Millis = Millis::MAX;

    /// Whether the permit does not expire. The sender may use such a permit only if the leader knew
    /// the replica's current warm-up period, because the sender may learn of that period first.
    pub fn is_unlimited(&self) -> bool {
        self.send_by == Self::UNLIMITED
    }

    /// Whether a request may be sent to a replica at `now`, by the sender's clock.
    pub fn allows(&self, replica: &str, now: Millis) -> bool {
        *self.replica == *replica && now < self.send_by
    }
}
