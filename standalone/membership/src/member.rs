//! Members, their states, and the messages nodes exchange about them.

use brasspond_types::{Locality, NodeName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Number drawn at random when a process starts; tells a restarted process
/// from the one before it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Instance(pub u64);

/// What is believed of a member. Order matters: with equal incarnations the
/// later state wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Said itself that it is draining and will stop; still answers.
    Leaving,
    /// Missed a direct and all indirect probes; may yet refute.
    Suspect,
    /// Declared failed, or gone after leaving.
    Dead,
}

/// A node as its peers know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Unique name of the node.
    pub name: NodeName,
    /// Address of its inner protocol.
    pub address: SocketAddr,
    /// Region and zone it runs in.
    pub locality: Locality,
    /// The process behind the name.
    pub instance: Instance,
    /// Raised by the member itself to refute a suspicion.
    pub incarnation: u64,
    /// Believed state.
    pub state: MemberState,
}

impl Member {
    /// Whether new work may be given to this member.
    pub(crate) fn takes_work(&self) -> bool {
        self.state == MemberState::Alive
    }

    /// Whether what `other` says of the same member replaces what `self` says.
    pub(crate) fn is_superseded_by(&self, other: &Self) -> bool {
        (other.incarnation, other.state) > (self.incarnation, self.state)
    }
}

/// News of one member, spread by piggybacking on probes.
pub type Update = Member;

/// Messages of the membership protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Direct probe.
    Ping {
        /// Echoed by the acknowledgement.
        sequence: u64,
        /// Piggybacked news.
        updates: Vec<Update>,
    },
    /// Answer to a probe.
    Ack {
        /// Sequence of the probe.
        sequence: u64,
        /// Piggybacked news.
        updates: Vec<Update>,
    },
    /// Asks the receiver to probe `target` on the sender's behalf.
    PingRequest {
        /// Echoed by the forwarded acknowledgement.
        sequence: u64,
        /// Member to probe.
        target: NodeName,
    },
    /// Asks for the receiver's whole list and gives the sender's.
    SyncRequest {
        /// The sender's whole list.
        members: Vec<Update>,
    },
    /// Answer to [`Message::SyncRequest`].
    SyncResponse {
        /// The sender's whole list.
        members: Vec<Update>,
    },
}
