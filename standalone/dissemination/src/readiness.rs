//! Readiness of a starting node to accept work.

use brasspond_resource::Revision;
use brasspond_types::NodeName;
use std::collections::BTreeSet;

/// The answers that a starting node needs before it accepts work.
///
/// A node is ready once its revision is at least the newest reported one, and
/// either the store or every working peer has answered. A fleet in which no node
/// knows a revision waits for the store.
#[derive(Debug, Default)]
pub struct Readiness {
    store_answered: bool,
    answered_peers: BTreeSet<NodeName>,
    newest_reported: Revision,
    ready: bool,
}

impl Readiness {
    /// Creates the state of a node that is ready without any answer. Used for the deliberate fault
    /// that trusts the configuration saved on disk.
    pub fn ready() -> Self {
        Self {
            ready: true,
            ..Self::default()
        }
    }

    /// Whether the node may accept work. It then stays ready.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Records the revision that the store reported.
    pub fn record_store(&mut self, revision: Revision) {
        self.store_answered = true;
        self.newest_reported = self.newest_reported.max(revision);
    }

    /// Records the newest revision that a peer knows. A peer that knows none does not count as
    /// having answered.
    pub fn record_peer(&mut self, peer: &NodeName, known: Revision) {
        if known > Revision::default() {
            self.answered_peers.insert(peer.clone());
        }
        self.newest_reported = self.newest_reported.max(known);
    }

    /// Peers that have not answered yet. Empty once the node is ready.
    pub fn pending_peers<'a>(
        &'a self,
        peers: &'a [NodeName],
    ) -> impl Iterator<Item = &'a NodeName> {
        peers
            .iter()
            .filter(|peer| !self.ready && !self.answered_peers.contains(*peer))
    }

    /// Updates the readiness. `revision` is the one in force at this node and `peers` are its
    /// working peers. `is_synced` must be false while there may be zones whose nodes are not known.
    pub fn update(&mut self, revision: Revision, is_synced: bool, peers: &[NodeName]) {
        if self.ready || revision < self.newest_reported || revision == Revision::default() {
            return;
        }
        let has_answered = |peer: &NodeName| self.answered_peers.contains(peer);
        let all_peers_answered = is_synced && !peers.is_empty() && peers.iter().all(has_answered);
        self.ready = self.store_answered || all_peers_answered;
    }
}
