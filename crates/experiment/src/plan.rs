//! Fleets at the size of the letter, and smaller ones of its proportions.

use brasspond_control::Parameters;
use brasspond_emulator::{EngineParameters, LengthDistribution};
use brasspond_resource::SwapPolicy;
use brasspond_simulation::{CallerConfig, GroupConfig, NetworkConfig, WorldConfig};
use std::time::Duration;

/// Engines for each node at the size of the letter: 820 before 390 nodes.
const ENGINES_PER_NODE: f64 = 820.0 / 390.0;
/// Groups at the size of the letter.
const GROUPS: usize = 6;
/// Tokens a second and engine at the letter's peak are 3 million over 820
/// engines; at 14,000 requests a second that is 214 tokens a request.
const TOKENS_PER_REQUEST: f64 = 214.0;

/// A hollow fleet of the letter's proportions that has been running, without
/// trainers at work and without requests.
pub(crate) fn hollow(nodes: usize, loss: f64) -> WorldConfig {
    let groups = (0..GROUPS).map(|index| GroupConfig {
        name: format!("letter-{index}"),
        share: 1.0 + index as f64,
        max_staleness: 2,
        swap: SwapPolicy::MidStream,
        steps: 0,
        prompts: 0,
        samples_per_prompt: 1,
        prompt_bytes: 512,
        max_tokens: 4_096,
        steps_ahead: 0,
        training_time: Duration::ZERO,
        publish_period: Duration::ZERO,
    });
    WorldConfig {
        seed: 1,
        regions: 2,
        zones_per_region: 3,
        nodes,
        engines: (nodes as f64 * ENGINES_PER_NODE).round() as usize,
        engine: letter_engine(),
        groups: groups.collect(),
        callers: CallerConfig {
            model_rate: 0.0,
            model_tokens: TOKENS_PER_REQUEST as u32 * 2,
            prompt_bytes: 512,
            ..CallerConfig::default()
        },
        operator_period: Duration::ZERO,
        parameters: Parameters::default(),
        network: NetworkConfig {
            loss,
            ..NetworkConfig::default()
        },
        weight_slots: 12,
        weight_transfer: Duration::from_millis(1_200),
        upload_slots: 4,
        tick: Duration::from_millis(50),
        preloaded: true,
        count_bytes: false,
        measure_time: false,
        proof: false,
        faults: Vec::new(),
    }
}

/// An engine that makes the letter's 3,658 tokens a second with a batch of 64.
pub(crate) fn letter_engine() -> EngineParameters {
    EngineParameters {
        max_running: 64,
        lengths: LengthDistribution {
            median: TOKENS_PER_REQUEST * 0.8,
            prompt_sigma: 0.5,
            sample_sigma: 0.4,
        },
        ..EngineParameters::default()
    }
}
