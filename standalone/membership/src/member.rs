//! Members, their states and the messages of the membership protocol.

use brasspond_types::{Locality, NodeName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Identity of a process, which distinguishes a restarted process from its predecessor.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Instance(pub u64);

/// State of a member in a node's view. Of two updates with equal incarnations, the one with the
/// later variant supersedes the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member announced that it drains. It still answers probes.
    Leaving,
    /// The member did not acknowledge a probe in time. It may refute the suspicion.
    Suspect,
    /// The member was suspected and did not refute the suspicion in time.
    Dead,
}

/// A node as its peers know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Unique name of the node.
    pub name: NodeName,
    /// Address of its peer protocol.
    pub address: SocketAddr,
    /// Region and zone of the node.
    pub locality: Locality,
    /// Process that runs under the member's name.
    pub instance: Instance,
    /// Version of the member's state. Only the member itself raises it, when it leaves or refutes
    /// an update.
    pub incarnation: u64,
    /// State of the member.
    pub state: MemberState,
}

impl Member {
    /// Whether the member accepts new work.
    pub(crate) fn accepts_work(&self) -> bool {
        self.state == MemberState::Alive
    }

    /// Whether `other`, a state of the same member, replaces `self`.
    pub(crate) fn is_superseded_by(&self, other: &Self) -> bool {
        (other.incarnation, other.state) > (self.incarnation, self.state)
    }
}

/// State of one member, as piggybacked on probes or listed in a synchronisation.
pub type Update = Member;

/// Messages of the membership protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Direct probe.
    Ping {
        /// Number that the acknowledgement repeats.
        sequence: u64,
        /// Piggybacked updates.
        updates: Vec<Update>,
    },
    /// Answer to a probe.
    Ack {
        /// Sequence number of the probe.
        sequence: u64,
        /// Piggybacked updates.
        updates: Vec<Update>,
    },
    /// Asks the receiver to probe `target` on the sender's behalf.
    PingRequest {
        /// Number that the forwarded acknowledgement repeats.
        sequence: u64,
        /// Member to probe.
        target: NodeName,
    },
    /// Sends the sender's full list of members and asks for the receiver's.
    SyncRequest {
        /// All members that the sender knows, including itself.
        members: Vec<Update>,
    },
    /// Answer to [`Message::SyncRequest`].
    SyncResponse {
        /// All members that the sender knows, including itself.
        members: Vec<Update>,
    },
}
