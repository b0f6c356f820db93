//! What goes wrong in a run, and when: drawn from one seed.
//!
//! The same seed and extent give the same schedule in every build: the order of the draws is part
//! of it.

mod fault;
mod streams;

pub use fault::{Fault, Harm, Process, Region, Trouble, Way, is_behind_proxy};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Calm time at the begin of a run, in ms: the cluster elects a leader and serves.
const FIRST_AT: u64 = 3_000;
/// Calm time at the end of a run, in ms, in which everything has to recover: the time that the
/// check `recovery` allows, and 2 s of calls after it.
pub const LAST_CALM: u64 = 14_000;
/// Longest pause between the beginnings of two faults, in ms. Not measured.
const LONGEST_PAUSE: u64 = 2_200;
/// Pause between two edges that are terminated in turn, in ms. Not measured.
pub const ROLL_PAUSE: u64 = 700;
/// Time in which an edge that is terminated has stopped and started again, in ms. Not measured.
const STOP_TIME: u64 = 4_000;
/// Time before and after the loss of a disk in which no other storage process has a fault, in ms:
/// another copy may be lost only once the first is replaced. Not measured.
const DISK_QUIET: u64 = 9_000;

/// All of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// What it was drawn from.
    pub seed: u64,
    /// Length of the run, in ms.
    pub length: u64,
    /// Machines for callers.
    pub edges: u8,
    /// Machines with a disk.
    pub storage: u8,
    /// Replicas of each service.
    pub replicas: usize,
    /// Faults by their beginning.
    pub faults: Vec<Fault>,
}

/// How large a run is.
#[derive(Clone, Copy, Debug)]
pub struct Extent {
    /// Length, in ms.
    pub length: u64,
    /// Machines for callers.
    pub edges: u8,
    /// Machines with a disk.
    pub storage: u8,
    /// Replicas also start again under the identities that they had.
    pub rebirths: bool,
}

impl Schedule {
    /// Draws a schedule. Faults that the product does not have to bear (`is_borne`) are left out.
    pub fn draw(seed: u64, extent: Extent) -> Self {
        const REPLICAS: usize = 4;
        let mut schedule = Self {
            seed,
            length: extent.length,
            edges: extent.edges,
            storage: extent.storage,
            replicas: REPLICAS,
            faults: Vec::new(),
        };
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let end = extent.length.saturating_sub(LAST_CALM);
        let mut at = FIRST_AT;
        while at < end {
            let trouble = schedule.draw_trouble(&mut random);
            let drawn = random.random_range(200..3_500).min(end - at);
            let lasting = match trouble {
                Trouble::Roll => ROLL_PAUSE * u64::from(extent.edges) + STOP_TIME,
                _ => drawn,
            };
            let fault = Fault {
                at,
                lasting,
                trouble,
            };
            if fault.end() <= end && schedule.is_borne(&fault) {
                schedule.faults.push(fault);
            }
            at += random.random_range(200..LONGEST_PAUSE);
        }
        schedule.draw_cut(end);
        schedule.draw_harm_to_replicas(end);
        schedule.draw_series(end);
        if extent.rebirths {
            schedule.draw_rebirths(end);
        }
        schedule
    }

    /// Adds a fault in the order of time, if the product has to bear it.
    fn add(&mut self, fault: Fault) {
        if self.is_borne(&fault) {
            let place = self.faults.partition_point(|one| one.at <= fault.at);
            self.faults.insert(place, fault);
        }
    }

    /// Draws a trouble of the main sequence, and whom it strikes.
    fn draw_trouble(&self, random: &mut ChaCha8Rng) -> Trouble {
        let edge = random.random_range(0..usize::from(self.edges));
        let storage = random.random_range(0..usize::from(self.storage));
        let replica = random.random_range(0..self.replicas);
        let process = match random.random_range(0..5) {
            0 | 1 => Process::Edge(edge),
            2 | 3 => Process::Storage(storage),
            _ => Process::Leader,
        };
        let way = match random.random_range(0..4) {
            0 | 1 => Way::Edge(edge),
            2 => Way::StoreOfEdges,
            _ => Way::StoreOfStorage,
        };
        let harm = match random.random_range(0..6) {
            0 => Harm::Delay(random.random_range(5..200)),
            1 => Harm::Reset,
            2 => Harm::Silence,
            3 => Harm::CutBack,
            4 => Harm::Trickle,
            _ => Harm::CutAfter(random.random_range(20..2_000)),
        };
        match random.random_range(0..24) {
            0 | 1 => Trouble::Freeze(process),
            2..=4 => Trouble::Kill(process),
            5 | 6 => Trouble::Terminate(process),
            7 => Trouble::HangUp(process),
            8 => Trouble::Roll,
            9 => Trouble::KillAll,
            10 => Trouble::Wipe(storage),
            11..=13 => Trouble::Harm(way, harm),
            14 => Trouble::StoreDown,
            15 => Trouble::StoreSilent,
            16 => Trouble::StoreRefuses,
            17 => Trouble::StoreLoses(random.random_range(1..6)),
            18 => Trouble::StoreSlow(random.random_range(20..400)),
            19 => Trouble::EndPlain(replica),
            20 => Trouble::EndEngine(replica),
            21 => Trouble::MutePlain(replica),
            22 => match random.random_range(0..2) {
                0 => Trouble::BreakPlain(replica),
                _ => Trouble::FailPlain(replica),
            },
            _ => Trouble::SlowPlain(replica, random.random_range(50..1_500)),
        }
    }

    /// Whether all promises have to hold with a fault added to the schedule: not if two disks are
    /// lost within `DISK_QUIET`, or one while another storage process has a fault.
    fn is_borne(&self, fault: &Fault) -> bool {
        let touches_storage = |one: &Fault| match one.trouble {
            Trouble::Freeze(process) | Trouble::Kill(process) | Trouble::Terminate(process) => {
                !matches!(process, Process::Edge(_))
            }
            Trouble::KillAll | Trouble::Wipe(_) | Trouble::CutRegion(_) => true,
            _ => false,
        };
        let is_wipe = |one: &Fault| matches!(one.trouble, Trouble::Wipe(_));
        let is_near =
            |one: &Fault| one.at <= fault.end() + DISK_QUIET && fault.at <= one.end() + DISK_QUIET;
        let mut near = self.faults.iter().filter(|one| is_near(one));
        if is_wipe(fault) {
            !near.any(touches_storage) && fault.at >= DISK_QUIET
        } else if touches_storage(fault) {
            !near.any(is_wipe)
        } else {
            true
        }
    }

    /// The same without some of its faults.
    pub fn without(&self, dropped: std::ops::Range<usize>) -> Self {
        let mut schedule = self.clone();
        schedule.faults.drain(dropped);
        schedule
    }
}
