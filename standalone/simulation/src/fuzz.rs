//! Fuzzing: seeds, drawn faults, and the shrinking of a failure.

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

/// Time within which faults begin.
const FAULT_SPAN: Duration = Duration::from_secs(20);
/// Time after the faults by which everything must be done; a chosen limit, far above the usual
/// end.
const FINISH_TIME: Duration = Duration::from_secs(240);
/// Steps whose time is contained in [`FINISH_TIME`].
const USUAL_STEPS: u64 = 3;
/// Time for each step beyond those; a chosen limit.
const STEP_TIME: Duration = Duration::from_secs(20);
/// Time without changes after which all nodes must agree: above the bound of 7 s for a
/// configuration.
const CALM_TIME: Duration = Duration::from_secs(20);
/// Time between two checks whether the work is done.
const CHECK_PERIOD: Duration = Duration::from_secs(5);

/// What to fuzz.
#[derive(Clone, Debug)]
pub struct FuzzOptions {
    /// Steps each trainer plays.
    pub steps: u64,
    /// Pairs of faults.
    pub pairs: usize,
    /// Kinds of faults drawn.
    pub kinds: Vec<FaultKind>,
    /// Deliberate faults; none outside tests.
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

/// A seed that broke a guarantee.
#[derive(Clone, Debug)]
pub struct FuzzFailure {
    /// The seed.
    pub seed: u64,
    /// Faults of the run, shrunk if asked for.
    pub faults: Vec<Fault>,
    /// What was broken.
    pub violations: Vec<Violation>,
    /// The run ended before all steps were done: nothing need be broken, but
    /// something took far too long.
    pub out_of_time: bool,
}

/// The fleet of a seed with its faults.
pub fn fuzz_config(seed: u64, options: &FuzzOptions) -> WorldConfig {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let faults = draw_faults(&mut random, options.pairs, FAULT_SPAN, &options.kinds);
    let groups = [("cardiff", 2.0, 2), ("riga", 1.0, 1)]
        .map(|(name, share, bound)| group(name, share, bound, options.steps, &mut random));
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

/// A group whose weights are swapped in a drawn manner.
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

/// Small engines with answers of very different lengths.
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

/// Simulated time by which a run of so many steps must be done.
pub fn run_limit(steps: u64) -> Duration {
    let more = steps.saturating_sub(USUAL_STEPS);
    let more = u32::try_from(more).unwrap_or(u32::MAX);
    FAULT_SPAN + FINISH_TIME + STEP_TIME * more
}

/// How a run ended.
struct Played {
    violations: Vec<Violation>,
    out_of_time: bool,
}

/// Runs one seed with given faults until all work is done and all is quiet.
fn run_config(config: WorldConfig, steps: u64) -> Played {
    let mut world = World::new(config);
    world.run_until(Timestamp::ZERO + FAULT_SPAN);
    world.stop_operators();
    let end = Timestamp::ZERO + run_limit(steps);
    while !world.trainers_done() && world.now() < end {
        let next = world.now() + CHECK_PERIOD;
        world.run_until(next);
        if !world.oracle().violations().is_empty() {
            return Played {
                violations: world.oracle().violations().to_vec(),
                out_of_time: false,
            };
        }
    }
    let out_of_time = !world.trainers_done();
    let quiet = world.now() + CALM_TIME;
    world.run_until(quiet);
    if !out_of_time {
        world.check_all_delivered();
    }
    world.check_everywhere();
    Played {
        violations: world.oracle().violations().to_vec(),
        out_of_time,
    }
}

/// Runs one seed.
///
/// # Errors
/// A guarantee was broken, or the run took too long.
pub fn run_seed(seed: u64, options: &FuzzOptions) -> Result<(), FuzzFailure> {
    let faults = fuzz_config(seed, options).faults;
    run_faults(seed, options, &faults)
}

/// Runs one seed with faults of the caller's choice.
///
/// # Errors
/// A guarantee was broken, or the run took too long.
pub fn run_faults(seed: u64, options: &FuzzOptions, faults: &[Fault]) -> Result<(), FuzzFailure> {
    let mut config = fuzz_config(seed, options);
    config.faults = faults.to_vec();
    let played = run_config(config, options.steps);
    if played.violations.is_empty() && !played.out_of_time {
        return Ok(());
    }
    let faults = faults.to_vec();
    Err(FuzzFailure {
        seed,
        faults,
        violations: played.violations,
        out_of_time: played.out_of_time,
    })
}

/// Leaves out faults, one after the other, as long as the first guarantee
/// broken stays broken.
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
        let still_broken = run_faults(failure.seed, options, &faults)
            .err()
            .filter(|failure| {
                let guarantees = failure
                    .violations
                    .iter()
                    .map(|violation| violation.guarantee);
                guarantees.into_iter().any(|guarantee| guarantee == broken)
            });
        if let Some(smaller) = still_broken {
            smallest = smaller;
        } else {
            index += 1;
        }
    }
    smallest
}
