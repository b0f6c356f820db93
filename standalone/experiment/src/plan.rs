//! What an experiment asks of the simulation.

use crate::file::{Experiment, PolicyName};
use brasspond_control::Parameters;
use brasspond_emulator::EngineParameters;
use brasspond_resource::SwapPolicy;
use brasspond_routing::Policy;
use brasspond_simulation::{
    CallerConfig, Fault, FaultKind, GroupConfig, NetworkConfig, WorldConfig,
};
use std::time::Duration;

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
