//! Typed specifications of all resource kinds.

use crate::Kind;
use brasspond_types::{GroupName, Locality, ModelName, NodeName, WeightVersion};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// How an engine treats running samples when it loads new weights.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SwapPolicy {
    /// The engine swaps between two decoding steps. Running samples continue and
    /// record one span per version.
    #[default]
    MidStream,
    /// The engine admits no new samples of the model, finishes the running ones
    /// on the old version, then swaps.
    Drain,
}

/// Limits on the work of one group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default, deny_unknown_fields)]
pub struct GroupLimits {
    /// Maximum number of steps of the group that one node runs at the same time.
    pub open_steps: u32,
    /// Maximum number of samples per step.
    pub samples_per_step: u32,
    /// Maximum number of tokens per sample.
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

/// Specification of a research group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ResearchGroupSpec {
    /// Weight in fair sharing, relative to the other groups.
    pub share: f64,
    /// Models that the group trains.
    pub models: BTreeSet<ModelName>,
    /// Maximum number of versions by which a sample may be older than the newest version when
    /// it is delivered.
    pub max_staleness: u64,
    /// How engines treat running samples when they load new weights.
    #[serde(default)]
    pub swap_policy: SwapPolicy,
    /// Limits on the work of the group.
    #[serde(default)]
    pub limits: GroupLimits,
    /// Name of the caller that may open steps for the group.
    pub trainer: String,
}

/// Specification of a model or adapter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ModelSpec {
    /// Group that trains the model.
    pub group: GroupName,
    /// Maximum length of a completion, in tokens.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
}

fn default_max_tokens() -> u32 {
    4_096
}

/// Specification of a published weight version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct WeightVersionSpec {
    /// Model that the weights belong to.
    pub model: ModelName,
    /// Version number; higher is newer.
    pub version: WeightVersion,
    /// Size of the weights in megabytes.
    #[serde(default)]
    pub megabytes: u32,
}

/// Specification of a set of engines that serve the same models.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct EnginePoolSpec {
    /// Models that the pool serves; an empty set means all models.
    #[serde(default)]
    pub models: BTreeSet<ModelName>,
    /// Intended maximum number of requests queued for one engine. The value is validated but not
    /// enforced.
    #[serde(default = "default_queue_bound")]
    pub queue_bound: u32,
}

fn default_queue_bound() -> u32 {
    4_096
}

/// A replica of a plain HTTP service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Backend {
    /// Name of the replica.
    pub name: String,
    /// IP address and port that it listens on.
    pub address: std::net::SocketAddr,
    /// Region and zone that it runs in.
    pub locality: Locality,
}

/// Specification of a plain HTTP service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ServiceSpec {
    /// Path prefixes that are routed to the service.
    pub routes: Vec<String>,
    /// Replicas of the service.
    pub backends: Vec<Backend>,
    /// HTTP methods that are safe to repeat. Nodes ignore idempotency keys of such requests.
    #[serde(default = "default_repeatable_methods")]
    pub repeatable_methods: BTreeSet<String>,
    /// Maximum time to wait for the response headers of a replica, in milliseconds.
    #[serde(default = "default_timeout_milliseconds")]
    pub timeout_milliseconds: u64,
    /// Maximum number of concurrent requests from one node to one replica.
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

/// Permissions of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// May run training steps of its group, and call models and services.
    Trainer,
    /// May call models and services.
    Application,
    /// May read and write resources.
    Operator,
    /// May read resources.
    Viewer,
}

/// Specification of a client that may call the API.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct CallerSpec {
    /// BLAKE3 digest of the bearer token, in hexadecimal.
    pub token_digest: String,
    /// Permissions of the caller.
    pub role: Role,
    /// Group that the caller belongs to.
    #[serde(default)]
    pub group: Option<GroupName>,
}

/// Kind of process that a machine runs.
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

/// Specification of a machine. The platform's list of machines is its source and may lag behind
/// the actual state of the machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct MachineSpec {
    /// Kind of process that the machine runs.
    pub role: MachineRole,
    /// IP address and port that it listens on.
    pub address: std::net::SocketAddr,
    /// Region and zone that it runs in.
    pub locality: Locality,
    /// Name of the engine pool that the machine belongs to.
    #[serde(default)]
    pub pool: Option<String>,
    /// Whether the machine is about to stop.
    #[serde(default)]
    pub leaving: bool,
}

/// A process that votes on idempotency keys. The instance number distinguishes a restarted
/// process, which has lost its votes, from its predecessor.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct VoterIdentity {
    /// Name of the node.
    pub node: NodeName,
    /// Instance number of the process.
    pub instance: u64,
}

/// Voters of one shard of idempotency keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ClaimShard {
    /// Counter that each change of the voters increments.
    pub epoch: u64,
    /// Current voters.
    pub voters: Vec<VoterIdentity>,
    /// Voters of the preceding epoch, from which new voters copy their state.
    pub previous: Vec<VoterIdentity>,
}

/// Specification of the voters of all shards of idempotency keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct ClaimShardsSpec {
    /// One entry per shard, indexed by shard number.
    pub shards: Vec<ClaimShard>,
}

/// Specification of a resource of any kind.
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
    /// Returns the resource kind of this specification.
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
