//! Envelope of the messages between nodes.

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

/// Version of the protocol between nodes. A node accepts its own version, the one before and the
/// one after, so that two releases can run together during a rolling restart.
pub const PROTOCOL_VERSION: u16 = 1;

/// Sender of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Name of the node.
    pub node: NodeName,
    /// Instance number of the process on the node.
    pub instance: u64,
    /// Reply address. It is set only on messages of the membership protocol, whose receiver may
    /// not know the address yet.
    #[serde(default)]
    pub address: Option<SocketAddr>,
}

/// State of the fleet. One node computes it from the reports of all nodes and
/// distributes it to them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of the summary. It is one higher than that of the newest summary that the author
    /// of this one knew.
    pub made: u64,
    /// Number of live nodes according to the membership protocol.
    pub nodes: u32,
    /// Oldest configuration revision active on any of these nodes; zero if a node has not
    /// reported its revision.
    pub oldest_revision: Revision,
    /// Usage of each group, summed over the reports of all nodes.
    pub usage: Vec<GroupUsage>,
    /// Load of all engines whose owners have reported.
    pub load: PoolLoad,
}

/// Content of a message between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Failure detection and membership.
    Membership(membership::Message),
    /// Dissemination of the configuration.
    Configuration(dissemination::Message),
    /// Admission of requests to engines.
    Admission(AdmissionMessage),
    /// Execution and replication of training steps.
    Step(StepMessage),
    /// Votes on idempotency keys.
    Claim(idempotency::Message),
    /// Report of a node to the node that computes the summary.
    Report {
        /// Configuration revision active on the node.
        revision: Revision,
        /// Usage of each group on this node since it started.
        usage: Vec<GroupUsage>,
        /// Shards of idempotency keys that the node votes on, each with its epoch.
        voting: Vec<(u32, u64)>,
        /// Load of the engines that the node owns.
        load: PoolLoad,
    },
    /// State of the fleet, distributed to all nodes.
    Summary(Summary),
}

/// A message between nodes with its header.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Protocol version of the sender.
    pub version: u16,
    /// Sender of the message.
    pub sender: Sender,
    /// Configuration revision active on the sender.
    pub revision: Revision,
    /// Content of the message.
    pub message: PeerMessage,
}
