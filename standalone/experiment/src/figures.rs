//! What an experiment found.

use serde::Serialize;
use std::collections::BTreeMap;

/// Figures of one group under one policy, over all repetitions.
#[derive(Clone, Debug, Default, Serialize)]
pub struct GroupReport {
    /// Part of the trainer's time it waited for a batch.
    pub idle_fraction: f64,
    /// The same for a clairvoyant schedule.
    pub idle_fraction_bound: f64,
    /// Time the trainer waited, a step, in seconds.
    pub wait_seconds: Vec<f64>,
    /// Time from the later of a step's opening and the end of the step before,
    /// to its last sample, in seconds.
    pub makespan_seconds: Vec<f64>,
    /// Mean of makespan over the lower bound.
    pub makespan_ratio: f64,
    /// Samples by versions behind the newest at hand-over.
    pub staleness_versions: BTreeMap<u64, u64>,
    /// Staleness at hand-over in versions: median, 99th percentile, largest.
    pub staleness_quantiles: [u64; 3],
    /// Time since the oldest version was superseded, 99th percentile, in
    /// seconds.
    pub staleness_seconds_p99: f64,
    /// Samples over the bound.
    pub stale: u64,
    /// Steps finished of those wanted.
    pub steps: [u64; 2],
    /// Declared part of the pool.
    pub share_declared: f64,
    /// Part of all tokens generated.
    pub share_received: f64,
}

/// Figures of one policy.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PolicyReport {
    /// Groups by name.
    pub groups: BTreeMap<String, GroupReport>,
    /// Part of engine time spent on work.
    pub occupancy: f64,
    /// Part of generated tokens that reached nobody.
    pub wasted_fraction: f64,
    /// Largest distance of a group's share from its entitlement over a minute
    /// in which all groups had work waiting, relative to the entitlement; none
    /// where there was no such minute.
    pub share_error_most: Option<f64>,
    /// Part of the tokens of each group, by 10 s of simulated time, of the
    /// first repetition.
    pub share_over_time: Vec<BTreeMap<String, f64>>,
    /// Control bytes a second and node, mean.
    pub control_bytes: f64,
    /// Control bytes a second and node by class, mean.
    pub control_bytes_by_class: BTreeMap<String, f64>,
    /// Callers' time to a whole answer, 99th percentile, in milliseconds.
    pub caller_p99: Option<f64>,
    /// The same without rollouts beside.
    pub caller_alone_p99: Option<f64>,
    /// Broken guarantees.
    pub violations: Vec<String>,
    /// Simulated time of all repetitions, in seconds.
    pub simulated_seconds: f64,
}

/// Everything an experiment found.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ExperimentReport {
    /// Name of the experiment.
    pub name: String,
    /// Seed of the first repetition.
    pub seed: u64,
    /// Repetitions.
    pub repetitions: u64,
    /// Policies by name.
    pub policies: BTreeMap<String, PolicyReport>,
}

/// The value at a part of the sorted values.
pub(crate) fn quantile(values: &[f64], part: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = (sorted.len() as f64 * part).ceil() as usize;
    let last = sorted.len().saturating_sub(1);
    sorted
        .get(index.saturating_sub(1).min(last))
        .copied()
        .unwrap_or(0.0)
}

/// The number at a part of counted numbers.
pub(crate) fn counted_quantile(counts: &BTreeMap<u64, u64>, part: f64) -> u64 {
    let all: u64 = counts.values().sum();
    let wanted = (all as f64 * part).ceil() as u64;
    let mut seen = 0;
    for (number, count) in counts {
        seen += count;
        if seen >= wanted {
            return *number;
        }
    }
    0
}
