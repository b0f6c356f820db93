//! Specifications of each kind, as typed values.

use crate::Kind;
use brasspond_types::{GroupName, Locality, ModelName, NodeName, WeightVersion};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// How running samples meet new weights.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SwapPolicy {
    /// The engine swaps between two decoding steps; samples go on and carry
    /// one span a version.
    #[default]
    MidStream,
    /// The engine takes no new samples of the model, ends the running ones on
    /// the old version, then swaps.
    Drain,
}

/// Bounds on what a group may have in the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default, deny_unknown_fields)]
pub struct GroupLimits {
    /// Steps open at a time.
    pub open_steps: u32,
    /// Samples a step.
    pub samples_per_step: u32,
    /// Tokens of an answer.
    pub tokens_per_sample: u32,
}

impl Default for GroupLimits {
    fn default() -> Self {
        Self {
            open_steps: 4,
            samples_per_step: 8_192,
            tokens_per_sample: 32_768,
        }
    }
}

/// A research group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ResearchGroupSpec {
    /// Weight in fair sharing, relative to the other groups.
    pub share: f64,
    /// Models the group trains.
    pub models: BTreeSet<ModelName>,
    /// Versions a sample may be behind the newest when handed over.
    pub max_staleness: u64,
    /// How running samples meet new weights.
    #[serde(default)]
    pub swap_policy: SwapPolicy,
    /// Bounds.
    #[serde(default)]
    pub limits: GroupLimits,
    /// Caller that may open steps for the group.
    pub trainer: String,
}

/// A model or adapter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ModelSpec {
    /// Group that trains it.
    pub group: GroupName,
    /// Longest answer in tokens.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
}

fn default_max_tokens() -> u32 {
    4_096
}

/// A published version of weights.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct WeightVersionSpec {
    /// Model the weights belong to.
    pub model: ModelName,
    /// Number of the version.
    pub version: WeightVersion,
    /// Size of the weights in megabytes.
    #[serde(default)]
    pub megabytes: u32,
}

/// A set of engines that serve some models.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct EnginePoolSpec {
    /// Models the pool serves; all models where empty.
    #[serde(default)]
    pub models: BTreeSet<ModelName>,
    /// Requests waiting for one engine at most.
    #[serde(default = "default_queue_bound")]
    pub queue_bound: u32,
}

fn default_queue_bound() -> u32 {
    4_096
}

/// A replica of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Backend {
    /// Name of the replica.
    pub name: String,
    /// IP address and port.
    pub address: std::net::SocketAddr,
    /// Region and zone.
    pub locality: Locality,
}

/// A plain HTTP service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ServiceSpec {
    /// Path prefixes that lead to it.
    pub routes: Vec<String>,
    /// Replicas.
    pub backends: Vec<Backend>,
    /// Methods that may be sent again.
    #[serde(default = "default_repeatable_methods")]
    pub repeatable_methods: BTreeSet<String>,
    /// Whole time for a request, in milliseconds.
    #[serde(default = "default_timeout_milliseconds")]
    pub timeout_milliseconds: u64,
    /// Requests at a time to one replica at most.
    #[serde(default = "default_concurrency")]
    pub max_concurrency: u32,
}

fn default_repeatable_methods() -> BTreeSet<String> {
    let methods = ["GET", "HEAD", "OPTIONS"];
    methods.into_iter().map(str::to_owned).collect()
}

fn default_timeout_milliseconds() -> u64 {
    10_000
}

fn default_concurrency() -> u32 {
    256
}

/// What a caller may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Open steps and fetch samples of its group.
    Trainer,
    /// Call models and services.
    Application,
    /// Write resources.
    Operator,
    /// Read resources.
    Viewer,
}

/// Somebody who may call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct CallerSpec {
    /// BLAKE3 digest of the bearer token, in hexadecimal.
    pub token_digest: String,
    /// What the caller may do.
    pub role: Role,
    /// Group the caller belongs to.
    #[serde(default)]
    pub group: Option<GroupName>,
}

/// What a machine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MachineRole {
    /// A model engine.
    Engine,
    /// A brasspond node.
    Node,
    /// A replica of a plain service.
    Service,
}

/// A machine, as the platform's list has it, with the platform's lag.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct MachineSpec {
    /// What it runs.
    pub role: MachineRole,
    /// IP address and port.
    pub address: std::net::SocketAddr,
    /// Region and zone.
    pub locality: Locality,
    /// Engine pool it belongs to.
    #[serde(default)]
    pub pool: Option<String>,
    /// Whether it is about to stop.
    #[serde(default)]
    pub leaving: bool,
}

/// A process that votes on idempotency keys: a node's name and the instance
/// number of the process, since a restarted process has forgotten.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct VoterIdentity {
    /// Name of the node.
    pub node: NodeName,
    /// Instance of the process.
    pub instance: u64,
}

/// Voters of one shard of idempotency keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ClaimShard {
    /// Raised with every change of the voters.
    pub epoch: u64,
    /// Voters in force.
    pub voters: Vec<VoterIdentity>,
    /// Voters of the epoch before, from which new voters learn.
    pub previous: Vec<VoterIdentity>,
}

/// Voters of all shards.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ClaimShardsSpec {
    /// One entry a shard.
    pub shards: Vec<ClaimShard>,
}

/// Specification of any kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Spec {
    /// See [`ResearchGroupSpec`].
    ResearchGroup(ResearchGroupSpec),
    /// See [`ModelSpec`].
    Model(ModelSpec),
    /// See [`WeightVersionSpec`].
    WeightVersion(WeightVersionSpec),
    /// See [`EnginePoolSpec`].
    EnginePool(EnginePoolSpec),
    /// See [`ServiceSpec`].
    Service(ServiceSpec),
    /// See [`CallerSpec`].
    Caller(CallerSpec),
    /// See [`MachineSpec`].
    Machine(MachineSpec),
    /// See [`ClaimShardsSpec`].
    ClaimShards(ClaimShardsSpec),
}

impl Spec {
    /// Kind of this specification.
    pub(crate) fn kind(&self) -> Kind {
        match self {
            Self::ResearchGroup(_) => Kind::ResearchGroup,
            Self::Model(_) => Kind::Model,
            Self::WeightVersion(_) => Kind::WeightVersion,
            Self::EnginePool(_) => Kind::EnginePool,
            Self::Service(_) => Kind::Service,
            Self::Caller(_) => Kind::Caller,
            Self::Machine(_) => Kind::Machine,
            Self::ClaimShards(_) => Kind::ClaimShards,
        }
    }
}
