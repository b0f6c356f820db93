//! What a simulated fleet is made of.

use crate::callers::CallerConfig;
use crate::faults::Fault;
use brasspond_control::Parameters;
use brasspond_emulator::EngineParameters;
use brasspond_resource::SwapPolicy;
use std::time::Duration;

/// Delays and losses between processes.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConfig {
    /// One-way delay inside a zone.
    pub zone_delay: Duration,
    /// One-way delay between zones of a region.
    pub region_delay: Duration,
    /// One-way delay between regions.
    pub far_delay: Duration,
    /// Probability that a message between nodes is lost.
    pub loss: f64,
    /// Probability that it arrives twice.
    pub duplicate: f64,
    /// Probability that it comes late, by up to [`NetworkConfig::late_by`].
    pub late: f64,
    /// Longest lateness.
    pub late_by: Duration,
}

impl Default for NetworkConfig {
    fn default() -> Self {
        Self {
            zone_delay: Duration::from_micros(100),
            region_delay: Duration::from_micros(500),
            far_delay: Duration::from_millis(20),
            loss: 0.0,
            duplicate: 0.0,
            late: 0.0,
            late_by: Duration::from_millis(50),
        }
    }
}

/// A research group and its trainer.
#[derive(Clone, Debug)]
pub struct GroupConfig {
    /// Name; the model has the same name.
    pub name: String,
    /// Declared weight.
    pub share: f64,
    /// Staleness bound, in versions.
    pub max_staleness: u64,
    /// How running samples meet new weights.
    pub swap: SwapPolicy,
    /// Steps to play.
    pub steps: u64,
    /// Prompts a step.
    pub prompts: u32,
    /// Samples a prompt.
    pub samples_per_prompt: u32,
    /// Bytes of a prompt.
    pub prompt_bytes: usize,
    /// Longest answer, in tokens.
    pub max_tokens: u32,
    /// Steps opened ahead of the one being trained on.
    pub steps_ahead: u64,
    /// Time to train on a step.
    pub training_time: Duration,
}

/// Everything about a simulated fleet.
#[derive(Clone, Debug)]
pub struct WorldConfig {
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Regions.
    pub regions: usize,
    /// Zones a region.
    pub zones_per_region: usize,
    /// Nodes, spread over the zones.
    pub nodes: usize,
    /// Engines, spread over the zones.
    pub engines: usize,
    /// Speed and size of the engines.
    pub engine: EngineParameters,
    /// Groups with their trainers.
    pub groups: Vec<GroupConfig>,
    /// Other callers.
    pub callers: CallerConfig,
    /// Time between two writes of the operators; zero for none.
    pub operator_period: Duration,
    /// Settings of the nodes' decisions.
    pub parameters: Parameters,
    /// Network.
    pub network: NetworkConfig,
    /// Transfers the weight store serves at a time.
    pub weight_slots: usize,
    /// Time of a transfer from the weight store or from an engine.
    pub weight_transfer: Duration,
    /// Transfers an engine serves at a time.
    pub upload_slots: usize,
    /// Time between two ticks of a node.
    pub tick: Duration,
    /// Faults.
    pub faults: Vec<Fault>,
}

impl WorldConfig {
    /// Zones in all.
    pub(crate) fn zones(&self) -> usize {
        self.regions * self.zones_per_region
    }
}
