//! Faults that are drawn beside the main sequence.
//!
//! Each kind has a random stream of its own, set apart by a number, so that a schedule's other
//! faults do not depend on it.

use super::{FIRST_AT, Fault, Harm, Process, Region, Schedule, Trouble, Way, is_behind_proxy};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Part of the schedules in which two regions lose each other once.
const CUT_SHARE: f64 = 0.5;
/// Time for which they do, in ms: from less than a leader may be silent to more than the other side
/// needs to elect a leader and replace voters.
const CUT_TIME: std::ops::Range<u64> = 1_000..7_000;
/// Random stream of cuts.
const CUT_STREAM: u64 = 1;

/// Random stream of harm to connections of replicas.
const REPLICA_STREAM: u64 = 3;
/// Pause between the beginnings of two of these, in ms. Not measured.
const REPLICA_PAUSE: std::ops::Range<u64> = 1_500..9_000;

/// Random stream of series of faults.
const SERIES_STREAM: u64 = 4;
/// Pause between the beginnings of two series, in ms. Not measured.
const SERIES_PAUSE: std::ops::Range<u64> = 4_000..10_000;
/// Number of faults of a series. Not measured.
const SERIES_FAULTS: std::ops::RangeInclusive<usize> = 3..=6;
/// Pause between two faults of a series, in ms: most begin before the one before has ended.
const SERIES_STEP: std::ops::Range<u64> = 30..500;
/// Time for which several edges are suspended together, in ms: around the silence after which a
/// leader gives an edge up (1.6 s).
const STANDSTILL: std::ops::Range<u64> = 1_300..2_600;
/// Time after which a process that is killed in a series starts again, in ms. Not measured.
const RESTART_TIME: u64 = 500;

/// Random stream of rebirths.
const REBIRTH_STREAM: u64 = 5;
/// Time from a replica's end until it serves again, in ms.
const REBIRTH_TIME: u64 = 1_000;
/// Pause between two rebirths, in ms. Not measured.
const REBIRTH_PAUSE: std::ops::Range<u64> = 2_000..9_000;

impl Schedule {
    /// Adds a cut between the regions to some schedules.
    pub(super) fn draw_cut(&mut self, end: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(CUT_STREAM);
        let lasting = random.random_range(CUT_TIME);
        if !random.random_bool(CUT_SHARE) || end <= FIRST_AT + lasting {
            return;
        }
        let region = match random.random_range(0..2) {
            0 => Region::South,
            _ => Region::North,
        };
        let fault = Fault {
            at: random.random_range(FIRST_AT..end - lasting),
            lasting,
            trouble: Trouble::CutRegion(region),
        };
        self.add(fault);
    }

    /// Adds harm to connections of replicas.
    pub(super) fn draw_harm_to_replicas(&mut self, end: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(REPLICA_STREAM);
        let behind: Vec<usize> = (0..self.replicas)
            .filter(|one| is_behind_proxy(*one))
            .collect();
        if behind.is_empty() {
            return;
        }
        let mut at = FIRST_AT;
        loop {
            at += random.random_range(REPLICA_PAUSE);
            let lasting = random.random_range(200..3_500);
            let replica = behind[random.random_range(0..behind.len())];
            let way = match random.random_range(0..2) {
                0 => Way::Plain(replica),
                _ => Way::Engine(replica),
            };
            let harm = match random.random_range(0..5) {
                0 => Harm::Delay(random.random_range(5..200)),
                1 => Harm::Reset,
                2 => Harm::Silence,
                3 => Harm::CutBack,
                _ => Harm::CutThere,
            };
            if at + lasting > end {
                return;
            }
            self.add(Fault {
                at,
                lasting,
                trouble: Trouble::Harm(way, harm),
            });
        }
    }

    /// Adds faults that come in series and overlap.
    pub(super) fn draw_series(&mut self, end: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(SERIES_STREAM);
        let mut at = FIRST_AT;
        while at < end {
            let faults = match random.random_range(0..2) {
                0 => self.draw_standstill(&mut random, at),
                _ => self.draw_signals(&mut random, at),
            };
            for fault in faults.into_iter().filter(|fault| fault.end() <= end) {
                self.add(fault);
            }
            at += random.random_range(SERIES_PAUSE);
        }
    }

    /// Draws a suspension of several edges together, in some cases with the loss of the leader
    /// meanwhile.
    fn draw_standstill(&self, random: &mut ChaCha8Rng, at: u64) -> Vec<Fault> {
        let edges = usize::from(self.edges);
        let (first, count) = (
            random.random_range(0..edges),
            random.random_range(1..=edges),
        );
        let lasting = random.random_range(STANDSTILL);
        let frozen = (first..first + count).map(|edge| Fault {
            at,
            lasting,
            trouble: Trouble::Freeze(Process::Edge(edge % edges)),
        });
        let mut faults: Vec<Fault> = frozen.collect();
        let loses_leader = random.random_bool(0.5);
        let after = random.random_range(0..lasting);
        if loses_leader {
            faults.push(Fault {
                at: at + after,
                lasting: RESTART_TIME,
                trouble: Trouble::Kill(Process::Leader),
            });
        }
        faults
    }

    /// Draws signals and configurations that follow one another quickly.
    fn draw_signals(&self, random: &mut ChaCha8Rng, mut at: u64) -> Vec<Fault> {
        let mut faults = Vec::new();
        for _ in 0..random.random_range(SERIES_FAULTS) {
            let process = match random.random_range(0..5) {
                0..=2 => Process::Edge(random.random_range(0..usize::from(self.edges))),
                3 => Process::Storage(random.random_range(0..usize::from(self.storage))),
                _ => Process::Leader,
            };
            let trouble = match random.random_range(0..8) {
                0..=2 => Trouble::Terminate(process),
                3 => Trouble::HangUp(process),
                4 => Trouble::Freeze(process),
                5 => Trouble::Kill(process),
                _ => Trouble::Configuration,
            };
            faults.push(Fault {
                at,
                lasting: random.random_range(200..1_500),
                trouble,
            });
            at += random.random_range(SERIES_STEP);
        }
        faults
    }

    /// Adds replicas that start again under their ids.
    pub(super) fn draw_rebirths(&mut self, end: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(REBIRTH_STREAM);
        let mut at = FIRST_AT;
        loop {
            at += random.random_range(REBIRTH_PAUSE);
            let replica = random.random_range(0..self.replicas);
            let trouble = match random.random_range(0..3) {
                0 => Trouble::RebirthPlain(replica),
                _ => Trouble::RebirthEngine(replica),
            };
            let fault = Fault {
                at,
                lasting: REBIRTH_TIME,
                trouble,
            };
            if fault.end() > end {
                return;
            }
            self.add(fault);
        }
    }
}
