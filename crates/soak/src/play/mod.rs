//! Plays a schedule: starts the cluster, injects and clears faults while callers send requests, and
//! collects the observations.

mod collecting;
mod faults;
mod machines;
mod starting;
mod writing;

use crate::callers::Callers;
use crate::checks::{ConfigWrite, MemoryPeak, Observed, UnexpectedExit};
use crate::history::Reread;
use crate::proxy::Proxy;
use crate::schedule::{COOLDOWN_MS, Fault, Schedule};
use brasspond_platform_standin::processes::{Builds, Cluster};
use brasspond_platform_standin::restarting::RestartingReplica;
use machines::MachineId;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Interval at which the main loop looks for due work.
const TICK: Duration = Duration::from_millis(20);
/// Time between two periodic configuration writes, in ms.
const CONFIG_INTERVAL_MS: u64 = 4_000;
/// Time between two published versions of the weights, in ms.
const VERSION_INTERVAL_MS: u64 = 5_000;
/// Time until a process restarts if no duration of a fault applies.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Time from the end of the last fault until the results of all jobs are read again, in ms.
const REREAD_DELAY_MS: u64 = 1_000;

/// Peak resource usage of a run.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct PeakUsage {
    /// Largest number of processes at a time.
    pub processes: usize,
    /// Largest resident memory of all processes together, in KB.
    pub memory_kb: u64,
}

/// Result of a run.
pub struct RunOutput {
    /// Observations for the checks.
    pub observed: Observed,
    /// Peak resource usage.
    pub peak: PeakUsage,
}

/// The beginning or the end of a fault.
enum Step {
    Begin(Fault),
    End(Fault),
}

/// State of a run in progress.
struct Run {
    schedule: Schedule,
    cluster: Cluster,
    plain: Vec<Arc<RestartingReplica>>,
    engines: Vec<Arc<RestartingReplica>>,
    edge_proxies: Vec<Proxy>,
    /// Proxies in front of some plain replicas, by the index of the replica.
    plain_proxies: BTreeMap<usize, Proxy>,
    /// Proxies in front of some engines, by the index of the engine.
    engine_proxies: BTreeMap<usize, Proxy>,
    store_proxies: StoreProxies,
    callers: Arc<Callers>,
    /// Configuration writes so far, in order.
    config_writes: Vec<ConfigWrite>,
    /// Version of the configuration that added the route of a call, by id of the call.
    new_routes: Arc<Mutex<BTreeMap<String, u64>>>,
    peak: PeakUsage,
    /// Largest resident memory of each process, by its machine and start.
    memory: BTreeMap<String, MemoryPeak>,
    /// Machines that were killed or terminated, each with the latest time of its restart.
    pending_restarts: Vec<(MachineId, tokio::time::Instant)>,
    /// Edges that a rolling restart has yet to terminate, each with the time of its SIGTERM in ms
    /// from the start of the run.
    pending_stops: Vec<(u64, MachineId)>,
    /// Processes that exited without a fault.
    unexpected_exits: Vec<UnexpectedExit>,
    /// Index of the storage process that was the last known leader.
    last_leader: usize,
    /// Time until which each new leader is killed, in ms from the start of the run.
    leader_kills_until: u64,
    /// Newest term whose leader was killed for being the leader.
    last_killed_term: u64,
    /// Tasks that read the results of jobs again.
    rereads: Vec<JoinHandle<Reread>>,
}

/// Proxies in front of the store, one for edges and one for storage processes.
struct StoreProxies {
    edges: Proxy,
    storage: Proxy,
}

/// Plays a schedule on processes of the given builds and copies their logs into `folder`. Calls
/// `report` with a line for each fault that begins.
///
/// # Errors
/// Returns an error if a proxy cannot listen or the logs cannot be copied.
pub async fn play(
    schedule: &Schedule,
    builds: &Builds,
    folder: &Path,
    report: impl Fn(&str),
) -> std::io::Result<RunOutput> {
    let mut run = Run::start(schedule, builds).await?;
    let steps = steps_of(schedule);
    run.play(steps, &report).await;
    let rereads = run.finish().await;
    run.copy_logs(folder)?;
    Ok(run.collect(rereads))
}

/// Returns the beginnings and ends of all faults, ordered by time.
fn steps_of(schedule: &Schedule) -> Vec<(u64, Step)> {
    let begins = schedule
        .faults
        .iter()
        .map(|fault| (fault.at, Step::Begin(*fault)));
    let ends = schedule
        .faults
        .iter()
        .map(|fault| (fault.end(), Step::End(*fault)));
    let mut steps: Vec<(u64, Step)> = begins.chain(ends).collect();
    steps.sort_by_key(|(at, _)| *at);
    steps
}

impl Run {
    /// Returns the time since the start of the run, in ms.
    fn now(&self) -> u64 {
        self.callers.history.now()
    }

    /// Injects and clears faults when they are due, restarts processes, and writes configurations
    /// and versions periodically, until the run is over.
    async fn play(&mut self, steps: Vec<(u64, Step)>, report: &impl Fn(&str)) {
        let mut steps = steps.into_iter().peekable();
        let mut next_configuration = CONFIG_INTERVAL_MS;
        let mut next_version = VERSION_INTERVAL_MS;
        let reread_at = self.schedule.last_fault_end() + REREAD_DELAY_MS;
        let cooldown_at = self.schedule.length.saturating_sub(COOLDOWN_MS);
        while self.now() < self.schedule.length {
            let now = self.now();
            while let Some((_, step)) = steps.next_if(|(at, _)| *at <= now) {
                match step {
                    Step::Begin(fault) => {
                        report(&format!("{:>7} ms  {:?}", now, fault.kind));
                        self.inject(&fault);
                    }
                    Step::End(fault) => self.clear(&fault),
                }
            }
            self.terminate_due();
            self.kill_new_leader();
            self.restart_due();
            self.restart_exited();
            self.update_peak();
            if now >= next_configuration {
                next_configuration += CONFIG_INTERVAL_MS;
                self.write_configuration();
            }
            if now >= next_version && now < cooldown_at {
                next_version += VERSION_INTERVAL_MS;
                self.publish_version();
            }
            if now >= reread_at && self.rereads.is_empty() {
                self.start_rereads();
            }
            if now >= cooldown_at {
                self.callers.is_settling.store(true, Ordering::Relaxed);
            }
            tokio::time::sleep(TICK).await;
        }
    }
}
