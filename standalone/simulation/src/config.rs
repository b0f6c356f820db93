//! Configuration of a simulated fleet.

use crate::callers::CallerConfig;
use crate::faults::Fault;
use brasspond_control::Parameters;
use brasspond_emulator::EngineParameters;
use brasspond_resource::SwapPolicy;
use std::time::Duration;

/// Delays, losses and duplicates of messages between processes.
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
    /// Probability that a message between nodes arrives twice.
    pub duplicate: f64,
    /// Probability that a message between nodes is delayed by up to [`NetworkConfig::late_by`].
    pub late: f64,
    /// Longest additional delay.
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
    /// Name of the group and of its model.
    pub name: String,
    /// Declared weight in fair scheduling.
    pub share: f64,
    /// Staleness bound, in versions.
    pub max_staleness: u64,
    /// Policy for samples that are being generated when new weights arrive.
    pub swap: SwapPolicy,
    /// Number of steps to run.
    pub steps: u64,
    /// Number of prompts per step.
    pub prompts: u32,
    /// Number of samples per prompt.
    pub samples_per_prompt: u32,
    /// Length of a prompt, in bytes.
    pub prompt_bytes: usize,
    /// Longest answer, in tokens.
    pub max_tokens: u32,
    /// Number of steps that are opened ahead of the current one.
    pub steps_ahead: u64,
    /// Training time per step.
    pub training_time: Duration,
}

/// Configuration of a simulated fleet, its clients and its faults.
#[derive(Clone, Debug)]
pub struct WorldConfig {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of regions.
    pub regions: usize,
    /// Number of zones per region.
    pub zones_per_region: usize,
    /// Number of nodes, spread evenly over the zones.
    pub nodes: usize,
    /// Number of engines, spread evenly over the zones.
    pub engines: usize,
    /// Parameters of the emulated engines.
    pub engine: EngineParameters,
    /// Research groups, each with one trainer.
    pub groups: Vec<GroupConfig>,
    /// Request rates of the callers other than trainers.
    pub callers: CallerConfig,
    /// Interval between two configuration writes of the operators. Zero disables the writes.
    pub operator_period: Duration,
    /// Parameters of the nodes.
    pub parameters: Parameters,
    /// Delays and losses of the network.
    pub network: NetworkConfig,
    /// Number of transfers that the weight store serves concurrently.
    pub weight_slots: usize,
    /// Duration of a weight transfer from the weight store or from an engine.
    pub weight_transfer: Duration,
    /// Number of weight transfers that an engine serves concurrently.
    pub upload_slots: usize,
    /// Interval between two ticks of a node.
    pub tick: Duration,
    /// Faults to inject.
    pub faults: Vec<Fault>,
}

impl WorldConfig {
    /// Number of zones in all regions.
    pub(crate) fn zones(&self) -> usize {
        self.regions * self.zones_per_region
    }
}
