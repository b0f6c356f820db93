//! Leave to send one request to one replica.

use brasspond_units::Millis;
use std::net::SocketAddr;
use std::sync::Arc;

/// Leave to send a request to a replica. Whoever opens a connection for a request asks for
/// one, so that no way to a replica passes by the question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Clearance {
    replica: Arc<str>,
    address: SocketAddr,
    /// Before which moment the request must leave; none: whenever it does.
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

    /// The same for a request that must leave before a moment.
    #[must_use]
    pub fn sent_by(self, send_by: Option<Millis>) -> Self {
        Self { send_by, ..self }
    }

    /// Whether the request may leave at `now`: to be asked right before it is sent, when
    /// its connection is there.
    pub fn is_in_time(&self, now: Millis) -> bool {
        self.send_by.is_none_or(|send_by| now < send_by)
    }

    /// Leave that the leader gave: it asked when it placed the run, and this process knows
    /// nothing newer of the replica.
    pub fn of_leader(replica: &str, address: SocketAddr) -> Self {
        Self::new(replica.into(), address)
    }

    /// Identity of the replica.
    pub fn replica(&self) -> &Arc<str> {
        &self.replica
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
