//! Messages between brasspond and an inference engine, independent of the transport.
//!
//! The HTTP client of the node, the stand-in for engines and the simulation share these types, so
//! that the same decision code runs in production, in tests and in the simulation.
#![forbid(unsafe_code)]

use brasspond_fairness::Priority;
use brasspond_resource::SwapPolicy;
use brasspond_rollout::Partial;
use brasspond_routing::CacheEvent;
use brasspond_types::{EngineName, FinishReason, ModelName, NodeName, WeightVersion};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// A request to generate one completion.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineCall {
    /// Model to sample from.
    pub model: ModelName,
    /// Text of the prompt.
    pub prompt: Arc<str>,
    /// Hashes of the prompt's blocks, which the prefix cache uses as keys.
    pub prefix: Arc<[u64]>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Maximum length of the completion in tokens, including the resumed part.
    pub max_tokens: u32,
    /// Seed of the sampler.
    pub seed: u64,
    /// Priority of the request.
    pub priority: Priority,
    /// Output of an earlier attempt; the engine continues after it.
    pub resume: Partial,
}

/// State of an engine as the engine reports it. Some values may be out of date.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Highest epoch among the orders that the engine accepted.
    pub epoch: u64,
    /// Node that sent the orders of this epoch.
    pub holder: Option<NodeName>,
    /// Number of requests in the batch.
    pub running: u32,
    /// Number of requests waiting inside the engine.
    pub waiting: u32,
    /// Maximum number of requests in the batch.
    pub max_running: u32,
    /// Version of each model that the engine serves.
    pub models: BTreeMap<ModelName, WeightVersion>,
    /// Version of each model that the engine is loading.
    pub loading: BTreeMap<ModelName, WeightVersion>,
    /// Whether the engine is about to stop.
    pub leaving: bool,
    /// Changes of the prefix cache since the last report. The oldest changes may be missing.
    pub cache_events: Vec<CacheEvent>,
}

/// Source from which an engine loads weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WeightSource {
    /// The platform's rate-limited weight store.
    Store,
    /// Another engine that already has the weights.
    Peer {
        /// Name of the engine.
        engine: EngineName,
        /// Address of the engine.
        address: SocketAddr,
    },
}

/// Command that an order gives to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// The engine accepts only orders of this epoch or a later one from now on.
    Claim,
    /// The engine loads a version of a model or adapter and serves it.
    Load {
        /// Model to load.
        model: ModelName,
        /// Version to load.
        version: WeightVersion,
        /// Source of the weights.
        source: WeightSource,
        /// How the engine treats running samples when it loads the weights.
        swap: SwapPolicy,
    },
}

/// An order with its fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing token. The engine rejects an epoch below the highest that it accepted, and the
    /// highest accepted epoch from another holder.
    pub epoch: u64,
    /// Node that sends the order.
    pub holder: NodeName,
    /// Command to execute.
    pub command: Command,
}

/// Outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The engine has executed the order or has started to execute it.
    Accepted,
    /// The engine rejected the order, because it accepted a higher epoch or the same epoch from
    /// another holder.
    Fenced {
        /// Highest epoch that the engine accepted.
        epoch: u64,
    },
    /// The source of the weights does not have them or has no free capacity.
    SourceBusy,
    /// The source of the weights does not exist or does not respond correctly.
    SourceGone,
    /// The engine did not respond, and may or may not have executed the order.
    Unreachable,
}

/// Progress of an attempt to run a request on an engine.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptUpdate {
    /// The engine generated tokens with a version that differs from the one before.
    Progress {
        /// Version that the engine now reports.
        oldest: WeightVersion,
    },
    /// The completion is finished.
    Finished {
        /// Complete output, including the output of earlier attempts.
        generated: Partial,
        /// Why generation ended.
        reason: FinishReason,
    },
    /// The attempt ended before the completion was finished.
    Failed {
        /// Output up to the failure, including the output of earlier attempts.
        generated: Partial,
        /// Whether the engine certainly did not start the request.
        not_run: bool,
    },
}

/// Appends tokens and their text to the output of an attempt.
pub fn append_tokens(generated: &mut Partial, version: WeightVersion, tokens: u32, text: &str) {
    brasspond_types::push_span(&mut generated.spans, version, tokens);
    generated.text.push_str(text);
}
