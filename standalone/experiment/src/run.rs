//! Runs of an experiment.

use crate::bound::{least_wait, step_bound};
use crate::figures::{ExperimentReport, GroupReport, PolicyReport, counted_quantile, quantile};
use crate::file::{Experiment, PolicyName};
use crate::plan::experiment_world;
use brasspond_simulation::World;
use brasspond_types::{ModelName, Timestamp};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Time between two looks at shares.
const LOOK: Duration = Duration::from_secs(10);
/// Largest fleet whose callers are also run without rollouts, since that run
/// costs as much again.
const MOST_NODES_ALONE: usize = 50;
/// Looks that make the window in which shares are judged.
const LOOKS_PER_WINDOW: usize = 6;

/// One run: a policy and a seed.
#[derive(Clone, Copy)]
struct Job {
    policy: PolicyName,
    repetition: u64,
    alone: bool,
}

/// What one run found.
#[derive(Default)]
struct RunResult {
    report: PolicyReport,
    waits_of: BTreeMap<String, (f64, f64, f64)>,
    staleness_seconds: BTreeMap<String, Vec<f64>>,
    caller_milliseconds: Vec<f64>,
}

/// Runs all policies and repetitions, a few at a time.
pub fn run_experiment(
    experiment: &Experiment,
    threads: usize,
    progress: impl Fn(&str) + Sync,
) -> ExperimentReport {
    let mut jobs = Vec::new();
    for policy in &experiment.policies {
        for repetition in 0..experiment.repetitions {
            jobs.push(Job {
                policy: *policy,
                repetition,
                alone: false,
            });
        }
        if experiment.callers.rate > 0.0 && experiment.fleet.nodes <= MOST_NODES_ALONE {
            jobs.push(Job {
                policy: *policy,
                repetition: 0,
                alone: true,
            });
        }
    }
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<(usize, RunResult)>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, jobs.len().max(1)) {
            scope.spawn(|| {
                while let Some(job) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let index = jobs.iter().position(|other| std::ptr::eq(other, job));
                    let result = run_one(experiment, *job);
                    let name = job.policy.as_str();
                    let seconds = result.report.simulated_seconds;
                    progress(&format!(
                        "{}: {name}, {seconds:.0} s simulated",
                        experiment.name
                    ));
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    results.push((index.unwrap_or(0), result));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|(index, _)| *index);
    let mut report = ExperimentReport {
        name: experiment.name.clone(),
        seed: experiment.seed,
        repetitions: experiment.repetitions,
        policies: BTreeMap::new(),
    };
    for policy in &experiment.policies {
        let of_policy = results
            .iter()
            .filter(|(index, _)| jobs[*index].policy == *policy);
        let (alone, beside): (Vec<_>, Vec<_>) =
            of_policy.partition(|(index, _)| jobs[*index].alone);
        let mut joined = join(&beside.iter().map(|(_, result)| result).collect::<Vec<_>>());
        if let Some((_, alone)) = alone.first() {
            joined.caller_alone_p99 = Some(quantile(&alone.caller_milliseconds, 0.99));
        }
        report.policies.insert(policy.as_str().to_owned(), joined);
    }
    report
}

fn run_one(experiment: &Experiment, job: Job) -> RunResult {
    let mut config = experiment_world(experiment, job.policy, job.repetition);
    if job.alone {
        for group in &mut config.groups {
            group.steps = 0;
        }
    }
    let engine = config.engine.clone();
    let mut world = World::new(config);
    let longest = if job.alone {
        Duration::from_secs(60)
    } else {
        Duration::from_secs(experiment.longest_seconds)
    };
    let mut shares = ShareWatch::default();
    while world.now().since(Timestamp::ZERO) < longest && (job.alone || !world.trainers_done()) {
        let next = world.now() + LOOK;
        world.run_until(next);
        shares.look(experiment, &world);
    }
    let mut result = RunResult::default();
    collect(experiment, &world, &engine, &mut result);
    result.report.share_over_time = shares.over_time;
    result.report.share_error_most = shares.error_most;
    result
}

/// Follows the groups' shares.
#[derive(Default)]
struct ShareWatch {
    before: BTreeMap<ModelName, u64>,
    window: Vec<BTreeMap<String, f64>>,
    over_time: Vec<BTreeMap<String, f64>>,
    error_most: Option<f64>,
}

impl ShareWatch {
    fn look(&mut self, experiment: &Experiment, world: &World) {
        let totals = world.engine_totals().by_model;
        let made: BTreeMap<String, f64> = experiment
            .group
            .iter()
            .map(|group| {
                let model = ModelName::new(&group.name);
                let now = totals.get(&model).copied().unwrap_or(0);
                let before = self.before.get(&model).copied().unwrap_or(0);
                (group.name.clone(), (now - before) as f64)
            })
            .collect();
        self.before = totals;
        let all: f64 = made.values().sum();
        let parts = made
            .iter()
            .map(|(name, tokens)| (name.clone(), tokens / all.max(1.0)));
        self.over_time.push(parts.collect());
        let all_wait = world
            .trainers_with_waiting_slots()
            .iter()
            .all(|waits| *waits);
        if !all_wait {
            self.window.clear();
            return;
        }
        self.window.push(made);
        if self.window.len() > LOOKS_PER_WINDOW {
            self.window.remove(0);
        }
        if self.window.len() == LOOKS_PER_WINDOW && experiment.group.len() > 1 {
            self.judge(experiment);
        }
    }

    fn judge(&mut self, experiment: &Experiment) {
        let weights: f64 = experiment.group.iter().map(|group| group.share).sum();
        let sum = |name: &str| -> f64 { self.window.iter().map(|made| made[name]).sum() };
        let all: f64 = experiment.group.iter().map(|group| sum(&group.name)).sum();
        for group in &experiment.group {
            let entitled = group.share / weights;
            let error = (sum(&group.name) / all.max(1.0) - entitled).abs() / entitled;
            self.error_most = Some(self.error_most.unwrap_or(0.0).max(error));
        }
    }
}

fn collect(
    experiment: &Experiment,
    world: &World,
    engine: &brasspond_emulator::EngineParameters,
    result: &mut RunResult,
) {
    let seconds = world.now().as_secs_f64();
    let report = &mut result.report;
    report.simulated_seconds = seconds;
    let totals = world.engine_totals();
    report.occupancy =
        totals.busy.as_secs_f64() / (experiment.fleet.engines as f64 * seconds).max(1e-9);
    let delivered: u64 = world
        .trainer_totals()
        .iter()
        .map(|totals| totals.tokens)
        .sum();
    let useful = delivered + world.caller_tokens();
    report.wasted_fraction = 1.0 - (useful as f64 / totals.tokens.max(1) as f64).min(1.0);
    let weights: f64 = experiment.group.iter().map(|group| group.share).sum();
    for (group, trainer) in experiment.group.iter().zip(world.trainer_totals()) {
        let bounds: Vec<f64> = (1..=trainer.makespans.len() as u64)
            .map(|step| step_bound(experiment, group, step, engine))
            .collect();
        let ratios = trainer
            .makespans
            .iter()
            .zip(&bounds)
            .map(|(makespan, bound)| makespan / bound);
        let count = trainer.makespans.len().max(1) as f64;
        let ahead = group.steps_ahead as usize;
        let least = least_wait(&bounds, ahead, group.training_seconds);
        let training = group.training_seconds * trainer.steps as f64;
        let tokens = totals
            .by_model
            .get(&ModelName::new(&group.name))
            .copied()
            .unwrap_or(0);
        let idle = trainer.idle.as_secs_f64();
        let total = trainer.total.as_secs_f64();
        result
            .waits_of
            .insert(group.name.clone(), (idle, total, least));
        result
            .staleness_seconds
            .insert(group.name.clone(), trainer.staleness_seconds.clone());
        let behind = &trainer.staleness_versions;
        let stale = behind
            .iter()
            .filter(|(behind, _)| **behind > group.max_staleness);
        report.groups.insert(
            group.name.clone(),
            GroupReport {
                idle_fraction: idle / total.max(1e-9),
                idle_fraction_bound: least / (least + training).max(1e-9),
                wait_seconds: trainer.waits.clone(),
                makespan_seconds: trainer.makespans.clone(),
                makespan_ratio: ratios.sum::<f64>() / count,
                staleness_versions: behind.clone(),
                staleness_quantiles: [
                    counted_quantile(behind, 0.5),
                    counted_quantile(behind, 0.99),
                    counted_quantile(behind, 1.0),
                ],
                staleness_seconds_p99: quantile(&trainer.staleness_seconds, 0.99),
                stale: stale.map(|(_, count)| count).sum(),
                steps: [trainer.steps, group.steps],
                share_declared: group.share / weights,
                share_received: tokens as f64 / totals.tokens.max(1) as f64,
            },
        );
    }
    let nodes = experiment.fleet.nodes as f64;
    for meter in world.meters() {
        report.control_bytes += meter.control_bytes() as f64 / nodes / seconds;
        for (class, traffic) in &meter.sent {
            let entry = report
                .control_bytes_by_class
                .entry(format!("{class:?}"))
                .or_insert(0.0);
            *entry += traffic.bytes as f64 / nodes / seconds;
        }
    }
    result.caller_milliseconds = world.caller_totals().2.to_vec();
    if experiment.callers.rate > 0.0 {
        report.caller_p99 = Some(quantile(&result.caller_milliseconds, 0.99));
    }
    let broken = world.oracle().violations().iter();
    report.violations = broken
        .take(5)
        .map(|violation| format!("{}: {}", violation.guarantee, violation.detail))
        .collect();
}

/// Joins the repetitions of one policy.
fn join(results: &[&RunResult]) -> PolicyReport {
    let Some(first) = results.first() else {
        return PolicyReport::default();
    };
    let count = results.len() as f64;
    let mean = |value: &dyn Fn(&PolicyReport) -> f64| {
        results
            .iter()
            .map(|result| value(&result.report))
            .sum::<f64>()
            / count
    };
    let mut joined = first.report.clone();
    joined.occupancy = mean(&|report| report.occupancy);
    joined.wasted_fraction = mean(&|report| report.wasted_fraction);
    joined.control_bytes = mean(&|report| report.control_bytes);
    joined.simulated_seconds = mean(&|report| report.simulated_seconds) * count;
    let errors = results
        .iter()
        .filter_map(|result| result.report.share_error_most);
    joined.share_error_most = errors.reduce(f64::max);
    let callers: Vec<f64> = results
        .iter()
        .flat_map(|result| result.caller_milliseconds.clone())
        .collect();
    if joined.caller_p99.is_some() {
        joined.caller_p99 = Some(quantile(&callers, 0.99));
    }
    joined.violations = results
        .iter()
        .flat_map(|result| result.report.violations.clone())
        .collect();
    for (name, group) in &mut joined.groups {
        let parts: Vec<&GroupReport> = results
            .iter()
            .map(|result| &result.report.groups[name])
            .collect();
        join_group(name, group, &parts, results);
    }
    joined
}

fn join_group(name: &str, group: &mut GroupReport, parts: &[&GroupReport], results: &[&RunResult]) {
    let count = parts.len() as f64;
    let sums = results.iter().map(|result| result.waits_of[name]);
    let (idle, total, _) = sums.fold((0.0, 0.0, 0.0), |sum, part| {
        (sum.0 + part.0, sum.1 + part.1, sum.2 + part.2)
    });
    group.idle_fraction = idle / f64::max(total, 1e-9);
    group.idle_fraction_bound = parts
        .iter()
        .map(|part| part.idle_fraction_bound)
        .sum::<f64>()
        / count;
    group.makespan_ratio = parts.iter().map(|part| part.makespan_ratio).sum::<f64>() / count;
    group.share_received = parts.iter().map(|part| part.share_received).sum::<f64>() / count;
    group.stale = parts.iter().map(|part| part.stale).sum();
    group.wait_seconds = parts
        .iter()
        .flat_map(|part| part.wait_seconds.clone())
        .collect();
    group.makespan_seconds = parts
        .iter()
        .flat_map(|part| part.makespan_seconds.clone())
        .collect();
    group.steps = parts.iter().fold([0, 0], |sum, part| {
        [sum[0] + part.steps[0], sum[1] + part.steps[1]]
    });
    let mut behind = BTreeMap::new();
    for part in parts {
        for (versions, samples) in &part.staleness_versions {
            *behind.entry(*versions).or_insert(0) += samples;
        }
    }
    group.staleness_quantiles = [
        counted_quantile(&behind, 0.5),
        counted_quantile(&behind, 0.99),
        counted_quantile(&behind, 1.0),
    ];
    group.staleness_versions = behind;
    let seconds: Vec<f64> = results
        .iter()
        .flat_map(|result| result.staleness_seconds[name].clone())
        .collect();
    group.staleness_seconds_p99 = quantile(&seconds, 0.99);
}
