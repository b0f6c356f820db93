//! Groups of faults that are drawn in addition to the main sequence.
//!
//! Each group has its own numbered random stream, so that changes to the draws of one group do not
//! alter the draws of the others.

use super::{
    Fault, FaultKind, LinkFault, Process, ProxiedLink, Region, Schedule, WARMUP_MS, is_behind_proxy,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Probability that a schedule cuts the two regions off from each other once.
const CUT_PROBABILITY: f64 = 0.5;
/// Duration of a region cut, in ms. The shortest ends before the other region misses the leader;
/// the longest lets that region elect a leader and replace voters.
const CUT_MS: std::ops::Range<u64> = 1_000..7_000;
/// Random stream of region cuts.
const CUT_STREAM: u64 = 1;

/// Random stream of faults on the links to replicas.
const REPLICA_LINK_STREAM: u64 = 3;
/// Time between the starts of two faults on replica links, in ms.
const REPLICA_LINK_INTERVAL_MS: std::ops::Range<u64> = 1_500..9_000;

/// Random stream of series of faults.
const SERIES_STREAM: u64 = 4;
/// Time between the starts of two series, in ms.
const SERIES_INTERVAL_MS: std::ops::Range<u64> = 4_000..10_000;
/// Number of faults in a series.
const SERIES_LENGTH: std::ops::RangeInclusive<usize> = 3..=6;
/// Time between the starts of two faults of a series, in ms: short enough that most overlap.
const SERIES_STEP_MS: std::ops::Range<u64> = 30..500;
/// Time for which several edges are suspended together, in ms. The range includes the 1.6 s of
/// silence after which a leader declares an edge lost.
const SUSPENSION_MS: std::ops::Range<u64> = 1_300..2_600;
/// Time after which a leader that is killed during a suspension restarts, in ms.
const LEADER_RESTART_MS: u64 = 500;

/// Random stream of restarts of replicas under the same id.
const SAME_ID_RESTART_STREAM: u64 = 5;
/// Scheduled duration of such a restart, in ms. A replica listens again 0.7 s after its exit.
const SAME_ID_RESTART_MS: u64 = 1_000;
/// Time between the starts of two such restarts, in ms.
const SAME_ID_RESTART_INTERVAL_MS: std::ops::Range<u64> = 2_000..9_000;

impl Schedule {
    /// Adds one cut between the regions, with the probability [`CUT_PROBABILITY`].
    pub(super) fn draw_region_cut(&mut self, end: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(CUT_STREAM);
        let lasting = random.random_range(CUT_MS);
        if !random.random_bool(CUT_PROBABILITY) || end <= WARMUP_MS + lasting {
            return;
        }
        let region = match random.random_range(0..2) {
            0 => Region::South,
            _ => Region::North,
        };
        let fault = Fault {
            at: random.random_range(WARMUP_MS..end - lasting),
            lasting,
            kind: FaultKind::CutRegion(region),
        };
        self.add(fault);
    }

    /// Adds faults on the links to replicas behind proxies.
    pub(super) fn draw_replica_link_faults(&mut self, end: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(REPLICA_LINK_STREAM);
        let proxied: Vec<usize> = (0..self.replicas)
            .filter(|one| is_behind_proxy(*one))
            .collect();
        if proxied.is_empty() {
            return;
        }
        let mut at = WARMUP_MS;
        loop {
            at += random.random_range(REPLICA_LINK_INTERVAL_MS);
            let lasting = random.random_range(200..3_500);
            let replica = proxied[random.random_range(0..proxied.len())];
            let link = match random.random_range(0..2) {
                0 => ProxiedLink::Plain(replica),
                _ => ProxiedLink::Engine(replica),
            };
            let link_fault = match random.random_range(0..5) {
                0 => LinkFault::Delay(random.random_range(5..200)),
                1 => LinkFault::Reset,
                2 => LinkFault::Silence,
                3 => LinkFault::CutBack,
                _ => LinkFault::CutThere,
            };
            if at + lasting > end {
                return;
            }
            self.add(Fault {
                at,
                lasting,
                kind: FaultKind::Harm(link, link_fault),
            });
        }
    }

    /// Adds series of overlapping faults.
    pub(super) fn draw_series(&mut self, end: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(SERIES_STREAM);
        let mut at = WARMUP_MS;
        while at < end {
            let faults = match random.random_range(0..2) {
                0 => self.draw_suspension(&mut random, at),
                _ => self.draw_signals(&mut random, at),
            };
            for fault in faults.into_iter().filter(|fault| fault.end() <= end) {
                self.add(fault);
            }
            at += random.random_range(SERIES_INTERVAL_MS);
        }
    }

    /// Draws the suspension of one or more edges at the same time. In half of the cases the leader
    /// is killed meanwhile.
    fn draw_suspension(&self, random: &mut ChaCha8Rng, at: u64) -> Vec<Fault> {
        let edges = usize::from(self.edges);
        let (first, count) = (
            random.random_range(0..edges),
            random.random_range(1..=edges),
        );
        let lasting = random.random_range(SUSPENSION_MS);
        let suspensions = (first..first + count).map(|edge| Fault {
            at,
            lasting,
            kind: FaultKind::Freeze(Process::Edge(edge % edges)),
        });
        let mut faults: Vec<Fault> = suspensions.collect();
        let kills_leader = random.random_bool(0.5);
        let kill_delay = random.random_range(0..lasting);
        if kills_leader {
            faults.push(Fault {
                at: at + kill_delay,
                lasting: LEADER_RESTART_MS,
                kind: FaultKind::Kill(Process::Leader),
            });
        }
        faults
    }

    /// Draws signals and configuration writes in quick succession.
    fn draw_signals(&self, random: &mut ChaCha8Rng, mut at: u64) -> Vec<Fault> {
        let mut faults = Vec::new();
        for _ in 0..random.random_range(SERIES_LENGTH) {
            let process = match random.random_range(0..5) {
                0..=2 => Process::Edge(random.random_range(0..usize::from(self.edges))),
                3 => Process::Storage(random.random_range(0..usize::from(self.storage))),
                _ => Process::Leader,
            };
            let kind = match random.random_range(0..8) {
                0..=2 => FaultKind::Terminate(process),
                3 => FaultKind::HangUp(process),
                4 => FaultKind::Freeze(process),
                5 => FaultKind::Kill(process),
                _ => FaultKind::Configuration,
            };
            faults.push(Fault {
                at,
                lasting: random.random_range(200..1_500),
                kind,
            });
            at += random.random_range(SERIES_STEP_MS);
        }
        faults
    }

    /// Adds restarts of replicas under the same id.
    pub(super) fn draw_same_id_restarts(&mut self, end: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(SAME_ID_RESTART_STREAM);
        let mut at = WARMUP_MS;
        loop {
            at += random.random_range(SAME_ID_RESTART_INTERVAL_MS);
            let replica = random.random_range(0..self.replicas);
            let kind = match random.random_range(0..3) {
                0 => FaultKind::RebirthPlain(replica),
                _ => FaultKind::RebirthEngine(replica),
            };
            let fault = Fault {
                at,
                lasting: SAME_ID_RESTART_MS,
                kind,
            };
            if fault.end() > end {
                return;
            }
            self.add(fault);
        }
    }
}
