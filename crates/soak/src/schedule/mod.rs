//! Schedules of faults, drawn from a seed.
//!
//! The main sequence is drawn from the default random stream of the seed. Further groups of faults,
//! such as region cuts, have random streams of their own.
//!
//! The same seed and parameters must give the same schedule in every build, so the order and
//! number of the draws must not change.

mod fault;
mod finale;
mod leader_freezes;
mod load;
mod streams;

pub use fault::{Fault, FaultKind, LinkFault, Process, ProxiedLink, Region, is_behind_proxy};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Time without faults at the start of a run, in ms, in which the cluster elects a leader and
/// begins to serve.
const WARMUP_MS: u64 = 3_000;
/// Time at the end of a run in which no scheduled fault is active, in ms. The check `recovery`
/// allows the cluster 12 s of this time to recover and requires all calls of the last 2 s to
/// succeed.
pub const COOLDOWN_MS: u64 = 14_000;
/// Exclusive upper bound of the time between the starts of two faults drawn for the main sequence,
/// in ms. The time is longer where a fault in between is left out.
const MAX_INTERVAL_MS: u64 = 2_200;
/// Time between the stops of two edges in a rolling restart, in ms.
pub const ROLL_INTERVAL_MS: u64 = 700;
/// Length of a rolling restart beyond one [`ROLL_INTERVAL_MS`] per edge, in ms, in which the last
/// edges stop and restart.
const ROLL_RESTART_MS: u64 = 4_000;
/// Time before and after the loss of a disk in which no storage process may be suspended or
/// stopped, in ms. Before the loss, the other storage processes need it to catch up; afterwards,
/// the cluster needs it to replace the lost copy of its data.
const DISK_LOSS_MARGIN_MS: u64 = 9_000;

/// Memory limit of a storage process in a schedule that states none, in MB.
pub const DEFAULT_STORAGE_MEMORY_MB: u64 = 130;

fn default_storage_memory_mb() -> u64 {
    DEFAULT_STORAGE_MEMORY_MB
}

/// Cluster size, length and faults of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Seed from which the faults and jobs are drawn.
    pub seed: u64,
    /// Length of the run, in ms.
    pub length: u64,
    /// Number of edge machines.
    pub edges: u8,
    /// Number of storage machines.
    pub storage: u8,
    /// Number of replicas of each service.
    pub replicas: usize,
    /// Memory limit of each storage process, in MB.
    #[serde(default = "default_storage_memory_mb")]
    pub storage_memory_mb: u64,
    /// Size of the texts of all large jobs together, in MB; 0 for no large jobs.
    #[serde(default)]
    pub job_mb: u64,
    /// Faults, ordered by start time.
    pub faults: Vec<Fault>,
}

/// Parameters of a drawn schedule.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleParams {
    /// Length of the run, in ms.
    pub length: u64,
    /// Number of edge machines.
    pub edges: u8,
    /// Number of storage machines.
    pub storage: u8,
    /// Whether to draw restarts of replicas under the same id.
    pub same_id_restarts: bool,
    /// Whether to draw uneven load: slow readers, bursts of callers and replicas whose speed changes.
    pub uneven_load: bool,
}

impl Schedule {
    /// Draws a schedule. Leaves out faults that would last into the cooldown or that
    /// `may_add` rejects.
    pub fn draw(seed: u64, params: ScheduleParams) -> Self {
        const REPLICAS: usize = 4;
        let mut schedule = Self {
            seed,
            length: params.length,
            edges: params.edges,
            storage: params.storage,
            replicas: REPLICAS,
            storage_memory_mb: DEFAULT_STORAGE_MEMORY_MB,
            job_mb: 0,
            faults: Vec::new(),
        };
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let end = params.length.saturating_sub(COOLDOWN_MS);
        let mut at = WARMUP_MS;
        while at < end {
            let kind = schedule.draw_kind(&mut random);
            let drawn_duration = random.random_range(200..3_500).min(end - at);
            let lasting = match kind {
                FaultKind::Roll => ROLL_INTERVAL_MS * u64::from(params.edges) + ROLL_RESTART_MS,
                _ => drawn_duration,
            };
            let fault = Fault { at, lasting, kind };
            if fault.end() <= end && schedule.may_add(&fault) {
                schedule.faults.push(fault);
            }
            at += random.random_range(200..MAX_INTERVAL_MS);
        }
        schedule.draw_region_cut(end);
        schedule.draw_replica_link_faults(end);
        schedule.draw_series(end);
        if params.same_id_restarts {
            schedule.draw_same_id_restarts(end);
        }
        if params.uneven_load {
            schedule.draw_uneven_load(end);
        }
        schedule
    }

    /// Inserts a fault in order of start time, unless [`may_add`](Self::may_add) rejects it.
    fn add(&mut self, fault: Fault) {
        if self.may_add(&fault) {
            let index = self.faults.partition_point(|other| other.at <= fault.at);
            self.faults.insert(index, fault);
        }
    }

    /// Draws the kind of a fault of the main sequence, with its target. All possible targets are
    /// drawn before the kind.
    fn draw_kind(&self, random: &mut ChaCha8Rng) -> FaultKind {
        let edge = random.random_range(0..usize::from(self.edges));
        let storage = random.random_range(0..usize::from(self.storage));
        let replica = random.random_range(0..self.replicas);
        let process = match random.random_range(0..5) {
            0 | 1 => Process::Edge(edge),
            2 | 3 => Process::Storage(storage),
            _ => Process::Leader,
        };
        let link = match random.random_range(0..4) {
            0 | 1 => ProxiedLink::Edge(edge),
            2 => ProxiedLink::StoreOfEdges,
            _ => ProxiedLink::StoreOfStorage,
        };
        let link_fault = match random.random_range(0..6) {
            0 => LinkFault::Delay(random.random_range(5..200)),
            1 => LinkFault::Reset,
            2 => LinkFault::Silence,
            3 => LinkFault::CutBack,
            4 => LinkFault::Trickle,
            _ => LinkFault::CutAfter(random.random_range(20..2_000)),
        };
        match random.random_range(0..24) {
            0 | 1 => FaultKind::Freeze(process),
            2..=4 => FaultKind::Kill(process),
            5 | 6 => FaultKind::Terminate(process),
            7 => FaultKind::HangUp(process),
            8 => FaultKind::Roll,
            9 => FaultKind::KillAll,
            10 => FaultKind::Wipe(storage),
            11..=13 => FaultKind::Harm(link, link_fault),
            14 => FaultKind::StoreDown,
            15 => FaultKind::StoreSilent,
            16 => FaultKind::StoreRefuses,
            17 => FaultKind::StoreLoses(random.random_range(1..6)),
            18 => FaultKind::StoreSlow(random.random_range(20..400)),
            19 => FaultKind::EndPlain(replica),
            20 => FaultKind::EndEngine(replica),
            21 => FaultKind::MutePlain(replica),
            22 => match random.random_range(0..2) {
                0 => FaultKind::BreakPlain(replica),
                _ => FaultKind::FailPlain(replica),
            },
            _ => FaultKind::SlowPlain(replica, random.random_range(50..1_500)),
        }
    }

    /// Returns whether the cluster must still keep its guarantees if this fault is added. It need
    /// not if a disk is lost within [`DISK_LOSS_MARGIN_MS`] after the start of the run, or within
    /// this time before or after a fault that suspends or stops a storage process. Such a fault may
    /// be the loss of another disk.
    fn may_add(&self, fault: &Fault) -> bool {
        let is_wipe =
            |tested: &Fault| matches!(tested.kind, FaultKind::Wipe(_) | FaultKind::PowerLoss(_));
        let mut near = self.faults.iter().filter(|other| is_near(other, fault));
        if is_wipe(fault) {
            !near.any(interrupts_storage) && fault.at >= DISK_LOSS_MARGIN_MS
        } else if interrupts_storage(fault) {
            !near.any(is_wipe)
        } else {
            true
        }
    }

    /// Returns when the last fault ends, in ms from the start of the run.
    pub fn last_fault_end(&self) -> u64 {
        self.faults.iter().map(Fault::end).max().unwrap_or(0)
    }

    /// Returns a copy of the schedule without the faults in a range of indices.
    pub fn with_faults_removed(&self, removed: std::ops::Range<usize>) -> Self {
        let mut schedule = self.clone();
        schedule.faults.drain(removed);
        schedule
    }
}

/// Returns whether a fault suspends or stops a storage process.
fn interrupts_storage(fault: &Fault) -> bool {
    match fault.kind {
        FaultKind::Freeze(process) | FaultKind::Kill(process) | FaultKind::Terminate(process) => {
            !matches!(process, Process::Edge(_))
        }
        FaultKind::KillAll
        | FaultKind::PowerLoss(_)
        | FaultKind::KillLeaders
        | FaultKind::Wipe(_)
        | FaultKind::CutRegion(_) => true,
        _ => false,
    }
}

/// Returns whether less than [`DISK_LOSS_MARGIN_MS`] lie between two faults.
fn is_near(one: &Fault, other: &Fault) -> bool {
    one.at <= other.end() + DISK_LOSS_MARGIN_MS && other.at <= one.end() + DISK_LOSS_MARGIN_MS
}
