//! Whether a replica whose connection broke off has ended.
//!
//! A connection breaks for many reasons. Only where the replica's address refuses new
//! ones right after has its process ended, and the requests that it ran may be why.

use super::forward::{Failed, Forwarded, Lost};
use super::process::Edge;
use crate::upstream::{Look, look};
use brasspond_quarantine::Fingerprint;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Pauses before an address is looked at: a process that ends closes its connections a
/// moment before its listener, and none is back sooner than a second.
const LOOK_PAUSES: [Duration; 2] = [Duration::from_millis(15), Duration::from_millis(200)];

/// A request that a replica may have been running as its connection broke.
pub(super) struct Break {
    pub request: String,
    pub content: Fingerprint,
    pub replica: String,
    pub address: SocketAddr,
}

impl Forwarded {
    /// Looks whether a replica has ended, if its connection broke under this request.
    pub(super) fn look_after_break(&self, replica: &str, failed: &Failed) {
        if !matches!(failed, Failed::MayHaveRun(Lost::Broken)) {
            return;
        }
        let Some(address) = self.edge.balance.borrow().address(replica) else {
            return;
        };
        let broke = Break {
            request: self.id.clone(),
            content: self.content(),
            replica: replica.to_string(),
            address,
        };
        let edge = Rc::clone(&self.edge);
        tokio::task::spawn_local(async move { edge.look_for_end(broke).await });
    }
}

impl Edge {
    /// Looks at a replica's address until it is known whether its process has ended.
    async fn look_for_end(&self, broke: Break) {
        let mut seen = Look::Accepted;
        for pause in LOOK_PAUSES {
            tokio::time::sleep(pause).await;
            seen = look(broke.address).await;
            if seen != Look::Accepted {
                break;
            }
        }
        log::info!(
            "event=replica_looked_at replica={} request={} content={} ended={} seen={}",
            broke.replica,
            broke.request,
            broke.content,
            seen == Look::Refused,
            seen.name()
        );
    }
}
