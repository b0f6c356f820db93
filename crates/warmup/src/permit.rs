//! Leave for one request to one replica that warms up.

use brasspond_units::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Time in which a granted request must be sent, in ms. Each ms of it is a thousandth of the
/// budget unused: with 100 ms, 10.9 of 12 requests a second are granted. It must hold a message
/// from the leader and a new connection, also on a busy edge.
pub const PERMIT_MS: Millis = 100;

/// Leave for one request to one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// Id of the replica: the permit is over before its next life matters.
    pub replica: Arc<str>,
    /// The request may be sent before this moment, by the clock of the process that sends it.
    pub send_by: Millis,
}

impl Permit {
    /// [`Permit::send_by`] of a permit without an end: who granted it takes the replica for
    /// warm, so no budget counts it.
    pub const FOR_GOOD: Millis = Millis::MAX;

    /// Whether it is good without end. Then it holds only where who granted it knows what
    /// the process that sends knows of the replica.
    pub fn is_for_good(&self) -> bool {
        self.send_by == Self::FOR_GOOD
    }

    /// Whether it lets a request go to a replica at `now`, by the same clock.
    pub fn allows(&self, replica: &str, now: Millis) -> bool {
        *self.replica == *replica && now < self.send_by
    }
}
