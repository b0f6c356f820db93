//! Cost of control by the size of the fleet, on a hollow fleet in one process,
//! and the promises that depend on the size: configuration everywhere, failure
//! noticed, weights on all replicas.

use crate::figures::quantile;
use crate::plan::hollow;
use crate::slope::{Fit, fit};
use brasspond_membership::MemberState;
use brasspond_simulation::{Meter, World};
use brasspond_types::{ModelName, Timestamp, WeightVersion};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time a fleet runs before it is measured.
const WARM_UP: Duration = Duration::from_secs(3);
/// Bytes of a page of memory on Linux.
const PAGE_BYTES: f64 = 4_096.0;
/// Step in which a promise is looked at.
const LOOK: Duration = Duration::from_millis(50);

/// What to measure.
#[derive(Clone, Debug)]
pub struct CapacityOptions {
    /// Numbers of nodes; engines keep the letter's proportion.
    pub sizes: Vec<usize>,
    /// Simulated time measured, at each size.
    pub seconds: u64,
    /// Requests a second for each node.
    pub requests_per_node: f64,
}

/// Measurements at one size.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SizeReport {
    /// Nodes.
    pub nodes: usize,
    /// Engines.
    pub engines: usize,
    /// Control bytes sent, a second, mean over the nodes.
    pub bytes_mean: f64,
    /// The same at the busiest node.
    pub bytes_most: f64,
    /// Control messages sent, a second, mean over the nodes.
    pub messages_mean: f64,
    /// Processor time of decisions, in percent of a core, mean over the nodes.
    pub core_percent_mean: f64,
    /// The same at the busiest node.
    pub core_percent_most: f64,
    /// Resident memory of the process for each node, in megabytes, engines,
    /// clients and network included.
    pub megabytes: f64,
    /// Bytes a second by class, mean over the nodes.
    pub bytes_by_class: BTreeMap<String, f64>,
    /// Lists and watches of the store, a second.
    pub store_reads: f64,
    /// Time to a whole answer, 99th percentile, in milliseconds.
    pub answer_p99: f64,
}

/// Measurements at all sizes, and the lines through them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CapacityReport {
    /// By size, without requests.
    pub idle: Vec<SizeReport>,
    /// By size, with requests.
    pub loaded: Vec<SizeReport>,
    /// By size, with as many requests, all to half of the nodes.
    pub uneven: Vec<SizeReport>,
    /// Lines through the measurements by the number of nodes.
    pub fits: BTreeMap<String, Fit>,
}

fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|text| text.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

fn measure(nodes: usize, options: &CapacityOptions, rate: f64, node_part: f64) -> SizeReport {
    let memory_before = resident_bytes();
    let mut config = hollow(nodes, 0.0);
    config.callers.model_rate = rate * nodes as f64;
    config.callers.node_part = node_part;
    config.count_bytes = true;
    config.measure_time = true;
    let engines = config.engines;
    let mut world = World::new(config);
    world.run_until(Timestamp::ZERO + WARM_UP);
    world.reset_meters();
    let reads = world.store_reads();
    world.run_until(Timestamp::ZERO + WARM_UP + Duration::from_secs(options.seconds));
    let memory = (resident_bytes() - memory_before).max(0.0);
    let seconds = options.seconds as f64;
    let meters = world.meters();
    let mean = |value: &dyn Fn(&Meter) -> f64| {
        meters.iter().map(|meter| value(meter)).sum::<f64>() / nodes as f64 / seconds
    };
    let most = |value: &dyn Fn(&Meter) -> f64| {
        meters.iter().map(|meter| value(meter)).fold(0.0, f64::max) / seconds
    };
    let bytes = |meter: &Meter| meter.control_bytes() as f64;
    let core = |meter: &Meter| meter.busy.as_secs_f64() * 100.0;
    let mut bytes_by_class = BTreeMap::new();
    for meter in &meters {
        for (class, traffic) in &meter.sent {
            let entry = bytes_by_class.entry(format!("{class:?}")).or_insert(0.0);
            *entry += traffic.bytes as f64 / nodes as f64 / seconds;
        }
    }
    SizeReport {
        nodes,
        engines,
        bytes_mean: mean(&bytes),
        bytes_most: most(&bytes),
        messages_mean: mean(&|meter| meter.control_messages() as f64),
        core_percent_mean: mean(&core),
        core_percent_most: most(&core),
        megabytes: memory / nodes as f64 / 1e6,
        bytes_by_class,
        store_reads: (world.store_reads() - reads) as f64 / seconds,
        answer_p99: quantile(world.caller_totals().2, 0.99),
    }
}

/// Measures all sizes, idle and loaded.
pub fn measure_capacity(options: &CapacityOptions, progress: impl Fn(&str)) -> CapacityReport {
    let mut report = CapacityReport::default();
    for nodes in &options.sizes {
        report.idle.push(measure(*nodes, options, 0.0, 1.0));
        progress(&format!("{nodes} nodes idle"));
        report
            .loaded
            .push(measure(*nodes, options, options.requests_per_node, 1.0));
        progress(&format!("{nodes} nodes loaded"));
        report
            .uneven
            .push(measure(*nodes, options, options.requests_per_node, 0.5));
        progress(&format!("{nodes} nodes loaded unevenly"));
    }
    let mut line = |name: &str, sizes: &[SizeReport], value: &dyn Fn(&SizeReport) -> f64| {
        let points = sizes.iter().map(|size| (size.nodes as f64, value(size)));
        let points: Vec<(f64, f64)> = points.collect();
        report.fits.insert(name.to_owned(), fit(&points));
    };
    let idle = report.idle.clone();
    let loaded = report.loaded.clone();
    line("idle bytes/s, mean", &idle, &|size| size.bytes_mean);
    line("idle bytes/s, busiest node", &idle, &|size| size.bytes_most);
    line("idle core %, mean", &idle, &|size| size.core_percent_mean);
    line("idle core %, busiest node", &idle, &|size| {
        size.core_percent_most
    });
    line("idle megabytes", &idle, &|size| size.megabytes);
    let uneven = report.uneven.clone();
    line("uneven bytes/s, mean", &uneven, &|size| size.bytes_mean);
    line("uneven bytes/s, busiest node", &uneven, &|size| {
        size.bytes_most
    });
    line("loaded bytes/s, mean", &loaded, &|size| size.bytes_mean);
    line("loaded bytes/s, busiest node", &loaded, &|size| {
        size.bytes_most
    });
    line("loaded core %, mean", &loaded, &|size| {
        size.core_percent_mean
    });
    line("loaded core %, busiest node", &loaded, &|size| {
        size.core_percent_most
    });
    report
}

/// Times that the letter bounds, measured at one size.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Promises {
    /// Nodes.
    pub nodes: usize,
    /// Engines.
    pub engines: usize,
    /// Changes of configuration made, with 2% of messages lost.
    pub changes: usize,
    /// Time until a change is in force on a node, 99.9th percentile over all
    /// changes and nodes, in seconds.
    pub in_force_p999: f64,
    /// The longest such time, in seconds.
    pub in_force_most: f64,
    /// Control bytes a second meanwhile, mean over the nodes.
    pub bytes_mean: f64,
    /// Nodes killed.
    pub kills: usize,
    /// Longest time until some node noticed, in seconds.
    pub noticed_most: f64,
    /// Longest time until no node gave it new work, in seconds.
    pub no_work_most: f64,
    /// Simulated time without any failure, with 1% loss, in seconds.
    pub calm_seconds: f64,
    /// Nodes wrongly declared dead in that time.
    pub false_deaths: usize,
    /// Time until a published version was on all engines, in seconds.
    pub weights_everywhere: f64,
}

/// Fleets, each with a seed of its own, over which the calm time is spread.
const CALM_FLEETS: u32 = 4;

/// Measures the promises on hollow fleets, one thread for each fleet.
pub fn measure_promises(
    nodes: usize,
    changes: usize,
    calm: Duration,
    progress: impl Fn(&str) + Sync,
) -> Promises {
    let empty = Promises {
        nodes,
        changes,
        ..Promises::default()
    };
    let mut configuration = empty.clone();
    let mut failures = empty.clone();
    let mut weights = empty;
    let calms = std::thread::scope(|scope| {
        scope.spawn(|| {
            measure_configuration(&mut configuration);
            progress("configuration measured");
        });
        scope.spawn(|| {
            measure_failures(&mut failures);
            measure_weights(&mut weights);
            progress("failures and weights measured");
        });
        let progress = &progress;
        let calms: Vec<_> = (1..=CALM_FLEETS)
            .map(|seed| {
                scope.spawn(move || {
                    let dead = false_deaths(nodes, u64::from(seed), calm / CALM_FLEETS);
                    progress("calm measured");
                    dead
                })
            })
            .collect();
        let joined = calms
            .into_iter()
            .map(|calm| calm.join().unwrap_or(usize::MAX));
        joined.collect::<Vec<usize>>()
    });
    Promises {
        kills: failures.kills,
        noticed_most: failures.noticed_most,
        no_work_most: failures.no_work_most,
        calm_seconds: calm.as_secs_f64(),
        false_deaths: calms.into_iter().fold(0, usize::saturating_add),
        weights_everywhere: weights.weights_everywhere,
        ..configuration
    }
}

fn measure_configuration(promises: &mut Promises) {
    const GAP: Duration = Duration::from_secs(4);
    let mut config = hollow(promises.nodes, 0.02);
    config.count_bytes = true;
    promises.engines = config.engines;
    let mut world = World::new(config);
    world.run_until(Timestamp::ZERO + WARM_UP);
    world.reset_meters();
    let mut times = Vec::new();
    let model = ModelName::new("letter-0");
    for change in 0..promises.changes {
        let begun = world.now();
        world.publish(&model, change as u64 + 2);
        let wanted = world.store_revision();
        let mut behind: Vec<usize> = (0..promises.nodes).collect();
        while !behind.is_empty() && world.now().since(begun) < GAP {
            let next = world.now() + LOOK;
            world.run_until(next);
            let controls = world.controls();
            let waited = world.now().since(begun).as_secs_f64();
            behind.retain(|index| {
                let is_there = controls[*index].revision() >= wanted;
                if is_there {
                    times.push(waited);
                }
                !is_there
            });
        }
        times.extend(behind.iter().map(|_| f64::INFINITY));
        world.run_until(begun + GAP);
    }
    times.sort_by(f64::total_cmp);
    let index = ((times.len() as f64 * 0.999).ceil() as usize).clamp(1, times.len()) - 1;
    promises.in_force_p999 = times[index];
    promises.in_force_most = times[times.len() - 1];
    let seconds = GAP.as_secs_f64() * promises.changes as f64;
    let bytes: u64 = world
        .meters()
        .iter()
        .map(|meter| meter.control_bytes())
        .sum();
    promises.bytes_mean = bytes as f64 / promises.nodes as f64 / seconds;
}

fn measure_failures(promises: &mut Promises) {
    const KILLS: usize = 10;
    const PATIENCE: Duration = Duration::from_secs(20);
    let mut world = World::new(hollow(promises.nodes, 0.01));
    world.run_until(Timestamp::ZERO + WARM_UP);
    promises.kills = KILLS.min(promises.nodes / 4);
    for victim in 0..promises.kills {
        let name = brasspond_types::NodeName::new(format!("node-{victim}"));
        let begun = world.now();
        world.kill_node(victim);
        let mut noticed = None;
        let mut no_work = None;
        while no_work.is_none() && world.now().since(begun) < PATIENCE {
            let next = world.now() + LOOK;
            world.run_until(next);
            let states: Vec<Option<MemberState>> = world
                .controls()
                .iter()
                .map(|control| control.membership().get(&name).map(|member| member.state))
                .collect();
            let doubts = |state: &Option<MemberState>| {
                state.is_none_or(|state| state >= MemberState::Suspect)
            };
            let waited = world.now().since(begun).as_secs_f64();
            if noticed.is_none() && states.iter().any(doubts) {
                noticed = Some(waited);
            }
            if states.iter().all(doubts) {
                no_work = Some(waited);
            }
        }
        promises.noticed_most = promises.noticed_most.max(noticed.unwrap_or(f64::INFINITY));
        promises.no_work_most = promises.no_work_most.max(no_work.unwrap_or(f64::INFINITY));
    }
}

/// Nodes declared dead by any other in a fleet without failures.
fn false_deaths(nodes: usize, seed: u64, calm: Duration) -> usize {
    const STEP: Duration = Duration::from_secs(2);
    let mut config = hollow(nodes, 0.01);
    config.seed = seed;
    let mut world = World::new(config);
    let mut dead = std::collections::BTreeSet::new();
    while world.now().since(Timestamp::ZERO) < calm {
        let next = world.now() + STEP;
        world.run_until(next);
        for control in world.controls() {
            let others = control.membership().others();
            let lost = others.filter(|member| member.state == MemberState::Dead);
            dead.extend(lost.map(|member| member.name.clone()));
        }
    }
    dead.len()
}

fn measure_weights(promises: &mut Promises) {
    const PATIENCE: Duration = Duration::from_secs(60);
    let config = hollow(promises.nodes, 0.01);
    promises.engines = config.engines;
    let mut world = World::new(config);
    world.run_until(Timestamp::ZERO + Duration::from_secs(8));
    let model = ModelName::new("letter-0");
    let begun = world.now();
    world.publish(&model, 2);
    while world.engines_serving(&model, WeightVersion(2)) < promises.engines
        && world.now().since(begun) < PATIENCE
    {
        let next = world.now() + LOOK;
        world.run_until(next);
    }
    promises.weights_everywhere = world.now().since(begun).as_secs_f64();
}
