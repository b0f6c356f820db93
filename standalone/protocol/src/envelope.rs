//! What surrounds every message.

use crate::{AdmissionMessage, StepMessage};
use brasspond_dissemination as dissemination;
use brasspond_fairness::GroupUsage;
use brasspond_idempotency as idempotency;
use brasspond_membership as membership;
use brasspond_resource::Revision;
use brasspond_routing::PoolLoad;
use brasspond_types::NodeName;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Version of the inner protocol. A node understands its own version and the
/// one before, so that two releases run side by side in a rolling restart.
pub const PROTOCOL_VERSION: u16 = 1;

/// Who sent a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Node.
    pub node: NodeName,
    /// Process on the node.
    pub instance: u64,
    /// Address to answer to, where the receiver may not know it yet: on
    /// messages of the membership protocol.
    #[serde(default)]
    pub address: Option<SocketAddr>,
}

/// State of the fleet, worked out by one node from the reports of all and
/// spread to all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of the summary, one more than the newest its maker knew.
    pub made: u64,
    /// Nodes that reported lately.
    pub nodes: u32,
    /// Oldest revision in force on any of them.
    pub oldest_revision: Revision,
    /// Usage of each group over all nodes.
    pub usage: Vec<GroupUsage>,
    /// Load of all engines.
    pub load: PoolLoad,
}

/// All messages between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Failure detection and membership.
    Membership(membership::Message),
    /// Spreading of configuration.
    Configuration(dissemination::Message),
    /// Admission to engines.
    Admission(AdmissionMessage),
    /// Steps.
    Step(StepMessage),
    /// Idempotency keys.
    Claim(idempotency::Message),
    /// A node's report to the node that works out the summary.
    Report {
        /// Revision in force.
        revision: Revision,
        /// Usage of each group at this node since it started.
        usage: Vec<GroupUsage>,
        /// Shards of idempotency keys it votes on, with the epoch.
        voting: Vec<(u32, u64)>,
        /// Load of its engines.
        load: PoolLoad,
    },
    /// State of the fleet.
    Summary(Summary),
}

/// A message with its header.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Version of the protocol.
    pub version: u16,
    /// Who sent it.
    pub sender: Sender,
    /// Revision of the configuration in force at the sender.
    pub revision: Revision,
    /// The message.
    pub message: PeerMessage,
}
