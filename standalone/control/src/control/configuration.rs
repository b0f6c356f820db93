//! Configuration of a node from the store and from peers, and its readiness.

use super::{Control, REVISION_QUERY_PERIOD};
use crate::context::Context;
use crate::event::{Action, StoreEvent};
use brasspond_dissemination::{self as dissemination, Readiness};
use brasspond_protocol::PeerMessage;
use brasspond_resource::Revision;
use brasspond_types::{Mutation, NodeName, Timestamp};

impl Control {
    pub(super) fn handle_store_event(&mut self, event: StoreEvent, now: Timestamp) {
        match event {
            StoreEvent::Listed(catalogue) => {
                self.store_reader.record_success();
                self.readiness.record_store(catalogue.revision);
                let outputs = self.replica.apply_store_snapshot(*catalogue);
                self.apply_replica_outputs(outputs, now);
            }
            StoreEvent::Changed(changes) => {
                self.store_reader.record_success();
                let has_other_zones = self.has_other_zones();
                let outputs = self
                    .replica
                    .apply_store_changes(changes, has_other_zones, now);
                self.apply_replica_outputs(outputs, now);
            }
            StoreEvent::ReadFailed => with_context!(self, now, |context| {
                self.store_reader.record_failure(context);
            }),
            StoreEvent::Written { write, result } => with_context!(self, now, |context| {
                self.writes.handle_result(write, result, context);
            }),
            StoreEvent::Found { write, object } => with_context!(self, now, |context| {
                self.writes.handle_read_back(write, object, context);
            }),
        }
    }

    pub(super) fn apply_replica_outputs(
        &mut self,
        outputs: Vec<dissemination::Output>,
        now: Timestamp,
    ) {
        for output in outputs {
            match output {
                dissemination::Output::Send(to, message) => with_context!(self, now, |context| {
                    context.send(&to, PeerMessage::Configuration(message));
                }),
                dissemination::Output::Push(changes) => with_context!(self, now, |context| {
                    let push = dissemination::Message::Push(changes);
                    context.gossip(&PeerMessage::Configuration(push));
                }),
                dissemination::Output::Offer(changes) => with_context!(self, now, |context| {
                    let offer = dissemination::Message::Offer(changes);
                    context.gossip(&PeerMessage::Configuration(offer));
                }),
                dissemination::Output::InForce(revision) => {
                    self.actions.push(Action::InForce(revision));
                    self.reconfigure(now);
                }
            }
        }
    }

    /// Whether a node is known and in another zone than this one.
    pub(super) fn is_other_zone(&self, node: &NodeName) -> bool {
        let zone = &self.membership.local().locality.zone;
        let member = self.membership.get(node);
        member.is_some_and(|member| member.locality.zone != *zone)
    }

    /// Whether any working node is in another zone.
    pub(super) fn has_other_zones(&self) -> bool {
        let mut working = self.working.members.iter();
        working.any(|member| self.is_other_zone(&member.name))
    }

    pub(super) fn reconfigure(&mut self, now: Timestamp) {
        self.versions.update(self.replica.catalogue(), now);
        with_context!(self, now, |context| {
            self.owners.reconfigure(&mut self.engines, context);
        });
    }

    /// Writes an updated list of voters if this node is the collector and the list has to change.
    pub(super) fn review_voters(&mut self, now: Timestamp) {
        if self.writes.has_internal() {
            return;
        }
        let operation = with_context!(self, now, |context| {
            let is_collector = context.working.collector.as_ref() == Some(context.node_name);
            let fleet = &self.fleet;
            let voting = |voter: &_, shard, epoch| fleet.is_voting(voter, shard, epoch);
            is_collector
                .then(|| self.claims.review_voters(&voting, context))
                .flatten()
        });
        let Some(operation) = operation else {
            return;
        };
        let expected = match &operation {
            crate::event::WriteOperation::Put(object) => object.metadata.resource_version,
            crate::event::WriteOperation::Remove(_) => Revision::default(),
        };
        with_context!(self, now, |context| {
            self.writes.begin(None, operation, Some(expected), context);
        });
    }

    /// Queries the revisions of peers and updates the readiness, until this node is ready.
    pub(super) fn update_readiness(&mut self, now: Timestamp) {
        if self.readiness.is_ready() {
            return;
        }
        let trusts_saved = self
            .parameters
            .mutations
            .is_on(Mutation::TrustKeptConfiguration);
        if trusts_saved && self.revision() > Revision::default() {
            self.readiness = Readiness::ready();
        }
        let peers: Vec<NodeName> = self
            .working
            .members
            .iter()
            .map(|member| member.name.clone())
            .filter(|name| *name != self.node_name)
            .collect();
        if now >= self.query_due {
            self.query_due = now + REVISION_QUERY_PERIOD;
            let pending_peers: Vec<NodeName> =
                self.readiness.pending_peers(&peers).cloned().collect();
            for peer in pending_peers {
                with_context!(self, now, |context| {
                    let query = dissemination::Message::RevisionQuery;
                    context.send(&peer, PeerMessage::Configuration(query));
                });
            }
        }
        // A node that sees only its own zone may be partitioned from other zones.
        let is_only_node = self.membership.knows_all_seeds() && !self.has_other_zones();
        if peers.is_empty() || self.is_confirmed || is_only_node {
            let knows_zones = is_only_node || self.has_other_zones();
            let is_synced = self.membership.is_synced() && knows_zones;
            self.readiness
                .update(self.replica.revision(), is_synced, &peers);
        }
    }
}
