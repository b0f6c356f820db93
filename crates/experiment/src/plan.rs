//! Fleets at the size of the letter, and smaller ones of its proportions.

use crate::file::{Experiment, PolicyName};
use brasspond_control::Parameters;
use brasspond_emulator::{EngineParameters, LengthDistribution};
use brasspond_resource::SwapPolicy;
use brasspond_routing::Policy;
use brasspond_simulation::{
    CallerConfig, Fault, FaultKind, GroupConfig, NetworkConfig, WorldConfig,
};
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

/// Settings of the decisions under a policy.
fn policy_parameters(policy: PolicyName) -> Parameters {
    let baseline = |routing: Policy| Parameters {
        policy: routing,
        window_per_engine: f64::INFINITY,
        longest_first: false,
        ..Parameters::default()
    };
    match policy {
        PolicyName::Brasspond => Parameters::default(),
        PolicyName::RoundRobin => baseline(Policy::RoundRobin),
        PolicyName::LeastRequests => baseline(Policy::LeastRequests),
        PolicyName::PowerOfTwo => baseline(Policy::PowerOfTwo),
        PolicyName::WholeBatch => Parameters {
            whole_batch: true,
            ..baseline(Policy::LeastRequests)
        },
    }
}

/// The fleet of an experiment under a policy.
pub(crate) fn experiment_world(
    experiment: &Experiment,
    policy: PolicyName,
    repetition: u64,
) -> WorldConfig {
    let fleet = &experiment.fleet;
    let waits_for_batch = policy == PolicyName::WholeBatch;
    let groups = experiment.group.iter().map(|group| GroupConfig {
        name: group.name.clone(),
        share: group.share,
        max_staleness: group.max_staleness,
        swap: if waits_for_batch {
            SwapPolicy::Drain
        } else {
            group.swap
        },
        steps: group.steps,
        prompts: group.prompts,
        samples_per_prompt: group.samples_per_prompt,
        prompt_bytes: group.prompt_bytes,
        max_tokens: group.max_tokens,
        steps_ahead: if waits_for_batch {
            0
        } else {
            group.steps_ahead
        },
        training_time: Duration::from_secs_f64(group.training_seconds),
        publish_period: Duration::from_secs_f64(group.publish_seconds),
    });
    let faults = experiment.fault.iter().filter_map(|fault| {
        Some(Fault {
            kind: FaultKind::find(&fault.kind)?,
            at: Duration::from_secs_f64(fault.at_seconds),
            lasts: Duration::from_secs_f64(fault.lasts_seconds),
            target: fault.target,
        })
    });
    WorldConfig {
        seed: experiment.seed + repetition,
        regions: fleet.regions,
        zones_per_region: fleet.zones_per_region,
        nodes: fleet.nodes,
        engines: fleet.engines,
        engine: EngineParameters {
            max_running: fleet.max_running,
            swap_failure: fleet.swap_failure,
            lengths: experiment.lengths,
            ..EngineParameters::default()
        },
        groups: groups.collect(),
        callers: CallerConfig {
            model_rate: experiment.callers.rate,
            model_tokens: experiment.callers.tokens,
            prompt_bytes: experiment.callers.prompt_bytes,
            ..CallerConfig::default()
        },
        operator_period: Duration::ZERO,
        parameters: policy_parameters(policy),
        network: NetworkConfig {
            loss: fleet.loss,
            ..NetworkConfig::default()
        },
        weight_slots: fleet.weight_slots,
        weight_transfer: Duration::from_millis(fleet.weight_transfer_milliseconds),
        upload_slots: 4,
        tick: Duration::from_millis(50),
        preloaded: true,
        count_bytes: true,
        measure_time: false,
        proof: false,
        faults: faults.collect(),
    }
}
