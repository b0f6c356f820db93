//! Fuzzing: runs a simulated fleet with random faults drawn from a seed, and shrinks the fault list
//! of a failed run.

use crate::callers::CallerConfig;
use crate::config::{GroupConfig, NetworkConfig, WorldConfig};
use crate::faults::{Fault, FaultKind, draw_faults};
use crate::oracle::Violation;
use crate::world::World;
use brasspond_control::Parameters;
use brasspond_emulator::{EngineParameters, LengthDistribution};
use brasspond_resource::SwapPolicy;
use brasspond_types::{Mutations, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// End of the time span in which the start times of fault pairs are drawn. Each fault of a pair
/// begins up to 1.5 s after the pair's start time.
const FAULT_SPAN: Duration = Duration::from_secs(20);
/// Time limit after [`FAULT_SPAN`] for a run of up to [`BASE_STEPS`] steps per trainer. It is
/// far above the usual duration, so that only a stalled run exceeds it.
const FINISH_LIMIT: Duration = Duration::from_secs(240);
/// Number of steps per trainer that [`FINISH_LIMIT`] covers.
const BASE_STEPS: u64 = 3;
/// Additional time limit for each step beyond [`BASE_STEPS`].
const EXTRA_STEP_LIMIT: Duration = Duration::from_secs(20);
/// Time without configuration changes after which all nodes must agree. It exceeds the propagation
/// bound of 7 s.
const SETTLE_TIME: Duration = Duration::from_secs(20);
/// Interval between two checks for completion and for violations.
const CHECK_PERIOD: Duration = Duration::from_secs(5);

/// Options of a fuzz run.
#[derive(Clone, Debug)]
pub struct FuzzOptions {
    /// Number of steps per trainer.
    pub steps: u64,
    /// Number of pairs of faults.
    pub pairs: usize,
    /// Kinds of faults from which the pairs are drawn.
    pub kinds: Vec<FaultKind>,
    /// Deliberate defects that tests enable in the nodes.
    pub mutations: Mutations,
}

impl Default for FuzzOptions {
    fn default() -> Self {
        Self {
            steps: 3,
            pairs: 2,
            kinds: FaultKind::ALL.to_vec(),
            mutations: Mutations::default(),
        }
    }
}

/// A run that broke a guarantee or did not finish in time.
#[derive(Clone, Debug)]
pub struct FuzzFailure {
    /// Seed of the run.
    pub seed: u64,
    /// Faults of the run. [`shrink`] reduces them.
    pub faults: Vec<Fault>,
    /// Violations that the oracle found.
    pub violations: Vec<Violation>,
    /// Whether the run reached its time limit before all steps were done. The violations may then
    /// be empty.
    pub out_of_time: bool,
}

/// Builds the configuration of the simulated world for a seed, including its random faults.
pub fn fuzz_config(seed: u64, options: &FuzzOptions) -> WorldConfig {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let faults = draw_faults(&mut random, options.pairs, FAULT_SPAN, &options.kinds);
    let groups = [("cardiff", 2.0, 2), ("riga", 1.0, 1)].map(|(name, share, max_staleness)| {
        group(name, share, max_staleness, options.steps, &mut random)
    });
    WorldConfig {
        seed,
        regions: 2,
        zones_per_region: 2,
        nodes: 5,
        engines: 4,
        engine: engine_parameters(),
        groups: groups.into(),
        callers: CallerConfig {
            model_rate: 1.0,
            model_tokens: 60,
            prompt_bytes: 64,
            loan_rate: 2.0,
            stop_after: FAULT_SPAN + Duration::from_secs(10),
        },
        operator_period: Duration::from_secs(3),
        parameters: Parameters {
            store_readers: 2,
            claim_shards: 4,
            weight_roots: 2,
            weight_fanout: 2,
            mutations: options.mutations.clone(),
            ..Parameters::default()
        },
        network: NetworkConfig {
            loss: 0.01,
            duplicate: 0.01,
            late: 0.05,
            ..NetworkConfig::default()
        },
        weight_slots: 1,
        weight_transfer: Duration::from_millis(300),
        upload_slots: 2,
        tick: Duration::from_millis(20),
        faults,
    }
}

/// Builds a group with a randomly chosen swap policy.
fn group(
    name: &str,
    share: f64,
    max_staleness: u64,
    steps: u64,
    random: &mut ChaCha8Rng,
) -> GroupConfig {
    let is_mid_stream = random.random_bool(0.5);
    GroupConfig {
        name: name.to_owned(),
        share,
        max_staleness,
        swap: if is_mid_stream {
            SwapPolicy::MidStream
        } else {
            SwapPolicy::Drain
        },
        steps,
        prompts: 4,
        samples_per_prompt: 4,
        prompt_bytes: 128,
        max_tokens: 400,
        steps_ahead: 1,
        training_time: Duration::from_millis(1_500),
    }
}

/// Parameters of small engines whose answers vary widely in length.
fn engine_parameters() -> EngineParameters {
    EngineParameters {
        max_running: 4,
        lengths: LengthDistribution {
            median: 120.0,
            prompt_sigma: 0.6,
            sample_sigma: 0.5,
        },
        ..EngineParameters::default()
    }
}

/// Simulated time by which a run with `steps` steps per trainer must be done.
pub fn run_limit(steps: u64) -> Duration {
    let extra_steps = steps.saturating_sub(BASE_STEPS);
    let extra_steps = u32::try_from(extra_steps).unwrap_or(u32::MAX);
    FAULT_SPAN + FINISH_LIMIT + EXTRA_STEP_LIMIT * extra_steps
}

/// Result of a run.
struct RunResult {
    violations: Vec<Violation>,
    out_of_time: bool,
}

/// Runs a simulated fleet until its trainers are done, a check finds a violation or the time limit
/// is reached. The first check comes one [`CHECK_PERIOD`] after [`FAULT_SPAN`]; if the trainers are
/// done by then, there is none. Unless a check found a violation, the run continues for
/// [`SETTLE_TIME`] and ends with a check of the nodes' configurations and, if the trainers are
/// done, of the delivered samples.
fn run_config(config: WorldConfig, steps: u64) -> RunResult {
    let mut world = World::new(config);
    world.run_until(Timestamp::ZERO + FAULT_SPAN);
    world.stop_operators();
    let end = Timestamp::ZERO + run_limit(steps);
    while !world.trainers_done() && world.now() < end {
        let next = world.now() + CHECK_PERIOD;
        world.run_until(next);
        if !world.oracle().violations().is_empty() {
            return RunResult {
                violations: world.oracle().violations().to_vec(),
                out_of_time: false,
            };
        }
    }
    let out_of_time = !world.trainers_done();
    let settled = world.now() + SETTLE_TIME;
    world.run_until(settled);
    if !out_of_time {
        world.check_all_delivered();
    }
    world.check_configurations();
    RunResult {
        violations: world.oracle().violations().to_vec(),
        out_of_time,
    }
}

/// Runs a simulated fleet with the random faults of a seed.
///
/// # Errors
/// Fails if a guarantee is broken or the run exceeds its time limit.
pub fn run_seed(seed: u64, options: &FuzzOptions) -> Result<(), FuzzFailure> {
    let faults = fuzz_config(seed, options).faults;
    run_faults(seed, options, &faults)
}

/// Runs a simulated fleet with the configuration of a seed, but with the given faults instead of
/// the random ones.
///
/// # Errors
/// Fails if a guarantee is broken or the run exceeds its time limit.
pub fn run_faults(seed: u64, options: &FuzzOptions, faults: &[Fault]) -> Result<(), FuzzFailure> {
    let mut config = fuzz_config(seed, options);
    config.faults = faults.to_vec();
    let result = run_config(config, options.steps);
    if result.violations.is_empty() && !result.out_of_time {
        return Ok(());
    }
    let faults = faults.to_vec();
    Err(FuzzFailure {
        seed,
        faults,
        violations: result.violations,
        out_of_time: result.out_of_time,
    })
}

/// Removes faults one at a time and keeps each removal after which the run still breaks the
/// guarantee of the first violation. A failure without violations is returned unchanged.
pub fn shrink(failure: &FuzzFailure, options: &FuzzOptions) -> FuzzFailure {
    let mut smallest = failure.clone();
    let Some(broken) = failure
        .violations
        .first()
        .map(|violation| violation.guarantee)
    else {
        return smallest;
    };
    let mut index = 0;
    while index < smallest.faults.len() {
        let mut faults = smallest.faults.clone();
        faults.remove(index);
        let reduced_failure = run_faults(failure.seed, options, &faults)
            .err()
            .filter(|failure| {
                let guarantees = failure
                    .violations
                    .iter()
                    .map(|violation| violation.guarantee);
                guarantees.into_iter().any(|guarantee| guarantee == broken)
            });
        if let Some(smaller) = reduced_failure {
            smallest = smaller;
        } else {
            index += 1;
        }
    }
    smallest
}
