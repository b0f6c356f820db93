//! What no schedule could beat.
//!
//! A step of a group needs at least the time of its longest answer on an
//! otherwise empty engine, and at least its whole work over the capacity of
//! all engines with full batches. A clairvoyant schedule that has the engines
//! to itself needs the larger of the two.

use crate::file::{Experiment, Group};
use brasspond_emulator::{EngineParameters, answer_length};
use brasspond_simulation::step_prompt;
use brasspond_types::{GroupName, SampleId, StepId, stable_hash};

/// Lower bound of the time a step takes, in seconds.
pub(crate) fn step_bound(
    experiment: &Experiment,
    group: &Group,
    step: u64,
    engine: &EngineParameters,
) -> f64 {
    let (longest, total) = lengths(group, step, engine);
    let alone = engine.step_base.as_secs_f64() + engine.step_per_sequence_nanos as f64 / 1e9;
    let batch = f64::from(engine.max_running);
    let full = engine.step_base.as_secs_f64() + batch * engine.step_per_sequence_nanos as f64 / 1e9;
    let capacity = experiment.fleet.engines as f64 * batch / full;
    (longest * alone).max(total / capacity)
}

/// Longest answer and sum of all answers of a step, in tokens.
fn lengths(group: &Group, step: u64, engine: &EngineParameters) -> (f64, f64) {
    let mut longest = 0.0f64;
    let mut total = 0.0;
    for slot in 0..group.prompts * group.samples_per_prompt {
        let id = SampleId {
            step: StepId {
                group: GroupName::new(&group.name),
                step,
            },
            slot,
        };
        let prompt = step_prompt(
            &group.name,
            slot / group.samples_per_prompt,
            group.prompt_bytes,
        );
        let seed = stable_hash(&[id.to_string().as_bytes()]);
        let length = answer_length(&engine.lengths, &prompt, seed, group.max_tokens);
        longest = longest.max(f64::from(length));
        total += f64::from(length);
    }
    (longest, total)
}

/// Least time a trainer waits in all, in seconds, when step `k` takes at least
/// `bounds[k]` and is opened as step `k - ahead` begins to be collected.
pub(crate) fn least_wait(bounds: &[f64], ahead: usize, training: f64) -> f64 {
    let mut starts: Vec<f64> = Vec::new();
    let mut start = 0.0;
    let mut waited = 0.0;
    for (step, bound) in bounds.iter().enumerate() {
        starts.push(start);
        let opened = starts[step.saturating_sub(ahead)];
        let wait = (opened + bound - start).max(0.0);
        waited += wait;
        start += wait + training;
    }
    waited
}
