//! The clearance that the eligibility check returns for a request.

use brasspond_units::Millis;
use std::net::SocketAddr;
use std::sync::Arc;

/// Proof that a request to a replica passed the eligibility check. Opening a connection for a
/// request requires a clearance, so that no request bypasses the check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Clearance {
    replica: Arc<str>,
    address: SocketAddr,
    /// The request must be sent before this time, in ms of the sender's clock; `None` if it may be
    /// sent at any time.
    send_by: Option<Millis>,
}

impl Clearance {
    pub(crate) fn new(replica: Arc<str>, address: SocketAddr) -> Self {
        Self {
            replica,
            address,
            send_by: None,
        }
    }

    /// Sets the time before which the request must be sent, in ms of the sender's clock. `None`
    /// removes the limit.
    #[must_use]
    pub fn with_deadline(self, send_by: Option<Millis>) -> Self {
        Self { send_by, ..self }
    }

    /// Whether the request may still be sent at `now`. Callers check this after the connection is
    /// open, right before they send the request.
    pub fn is_in_time(&self, now: Millis) -> bool {
        self.send_by.is_none_or(|send_by| now < send_by)
    }

    /// Creates a clearance for a run that the leader assigned to a replica. The leader has made the
    /// check. Used only if this process does not know the replica yet.
    pub fn from_leader(replica: &str, address: SocketAddr) -> Self {
        Self::new(replica.into(), address)
    }

    /// Returns the id of the replica that may receive the request.
    pub fn replica(&self) -> &Arc<str> {
        &self.replica
    }

    /// Returns the address on which the replica listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
