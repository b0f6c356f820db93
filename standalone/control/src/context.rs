//! State of the node that all components read, and the actions that they emit.

use crate::event::{Action, Reply, RequestId};
use crate::parameters::Parameters;
use brasspond_membership::{Member, Membership};
use brasspond_protocol::{Envelope, PROTOCOL_VERSION, PeerMessage, Sender};
use brasspond_resource::Catalogue;
use brasspond_routing::rank;
use brasspond_types::{NodeName, Timestamp};
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::Arc;

/// Members that accept work, cached between changes of membership.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkingMembers {
    /// The members, this node included while it accepts work.
    pub(crate) members: Vec<Member>,
    /// The node that collects the reports of all nodes.
    pub(crate) collector: Option<NodeName>,
    /// Whether this node is one of the store readers.
    pub(crate) reads_store: bool,
}

impl WorkingMembers {
    /// Derives the collector and the store readers from the members.
    pub(crate) fn new(members: Vec<Member>, node_name: &NodeName, store_readers: usize) -> Self {
        let references: Vec<&Member> = members.iter().collect();
        let collector = rank("fleet", None, &references, 1);
        let collector = collector.first().map(|member| member.name.clone());
        let readers = rank("store-reader", None, &references, store_readers);
        let reads_store = readers.iter().any(|member| member.name == *node_name);
        Self {
            members,
            collector,
            reads_store,
        }
    }

    pub(crate) fn references(&self) -> Vec<&Member> {
        self.members.iter().collect()
    }
}

/// State of the node that is passed to a component with each event.
pub(crate) struct Context<'a> {
    pub(crate) now: Timestamp,
    pub(crate) node_name: &'a NodeName,
    pub(crate) instance: u64,
    pub(crate) parameters: &'a Parameters,
    pub(crate) membership: &'a Membership,
    pub(crate) working: &'a WorkingMembers,
    pub(crate) catalogue: &'a Arc<Catalogue>,
    pub(crate) random: &'a mut ChaCha8Rng,
    pub(crate) actions: &'a mut Vec<Action>,
    /// Messages from this node to itself, handled after the current event.
    pub(crate) loopback: &'a mut Vec<PeerMessage>,
}

impl Context<'_> {
    /// Sends a message to a known node or to this node; drops it if the node is unknown.
    pub(crate) fn send(&mut self, to: &NodeName, message: PeerMessage) {
        if to == self.node_name {
            self.loopback.push(message);
            return;
        }
        let address = self.membership.get(to).map(|member| member.address);
        if let Some(address) = address {
            self.send_to_address(to, address, message);
        }
    }

    /// Sends a message to an address.
    pub(crate) fn send_to_address(
        &mut self,
        to: &NodeName,
        address: SocketAddr,
        message: PeerMessage,
    ) {
        let includes_address = matches!(message, PeerMessage::Membership(_));
        let sender = Sender {
            node: self.node_name.clone(),
            instance: self.instance,
            address: includes_address.then(|| self.membership.local().address),
        };
        let envelope = Envelope {
            version: PROTOCOL_VERSION,
            sender,
            revision: self.catalogue.revision,
            message,
        };
        let to = to.clone();
        let envelope = Box::new(envelope);
        self.actions.push(Action::Send {
            to,
            address,
            envelope,
        });
    }

    /// Sends a message to [`Parameters::gossip_fanout`] random working peers.
    pub(crate) fn gossip(&mut self, message: &PeerMessage) {
        let peers: Vec<NodeName> = self
            .working
            .members
            .iter()
            .map(|member| member.name.clone())
            .filter(|name| name != self.node_name)
            .collect();
        let chosen: Vec<&NodeName> = peers
            .choose_multiple(self.random, self.parameters.gossip_fanout)
            .collect();
        for peer in chosen {
            self.send(peer, message.clone());
        }
    }

    /// Answers an external request.
    pub(crate) fn reply(&mut self, request: RequestId, reply: Reply) {
        self.actions.push(Action::Reply { request, reply });
    }
}
