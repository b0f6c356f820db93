//! Uneven load, drawn in addition to the other faults: callers that read slowly, bursts of callers
//! and replicas whose speed changes. Each group has a random stream of its own.

use super::{Fault, FaultKind, Schedule, WARMUP_MS};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;

/// Random stream of callers that read slowly.
const SLOW_READER_STREAM: u64 = 6;
/// Time between the starts of two callers that read slowly, in ms.
const SLOW_READER_INTERVAL_MS: Range<u64> = 1_500..6_000;
/// Time that a slow reader is expected to take, in ms.
const SLOW_READER_MS: u64 = 4_000;

/// Random stream of changes of a replica's speed.
const PACE_STREAM: u64 = 7;
/// Time between the starts of two changes of speed, in ms.
const PACE_INTERVAL_MS: Range<u64> = 300..2_000;
/// Duration of a change of speed, in ms.
const PACE_MS: Range<u64> = 200..1_200;
/// Duration of work during a change of speed, in percent of the usual.
const PACE_PERCENT: Range<u64> = 150..400;

/// Random stream of bursts.
const BURST_STREAM: u64 = 8;
/// Time between the starts of two bursts, in ms.
const BURST_INTERVAL_MS: Range<u64> = 3_000..9_000;
/// Time in which the calls of a burst are expected to end, in ms.
const BURST_MS: u64 = 1_000;
/// Number of callers in a burst.
const BURST_CALLERS: Range<usize> = 20..80;

impl Schedule {
    /// Adds slow readers, bursts and changes of replicas' speed.
    pub(super) fn draw_uneven_load(&mut self, end: u64) {
        let edges = usize::from(self.edges);
        let replicas = self.replicas;
        self.draw_group(SLOW_READER_STREAM, SLOW_READER_INTERVAL_MS, end, |random| {
            let kind = FaultKind::SlowReader(random.random_range(0..edges));
            (SLOW_READER_MS, kind)
        });
        self.draw_group(PACE_STREAM, PACE_INTERVAL_MS, end, |random| {
            let lasting = random.random_range(PACE_MS);
            let replica = random.random_range(0..replicas);
            let percent = random.random_range(PACE_PERCENT);
            let kind = match random.random_range(0..2) {
                0 => FaultKind::PacePlain(replica, percent),
                _ => FaultKind::PaceEngine(replica, percent),
            };
            (lasting, kind)
        });
        self.draw_group(BURST_STREAM, BURST_INTERVAL_MS, end, |random| {
            let edge = random.random_range(0..edges);
            let callers = random.random_range(BURST_CALLERS);
            (BURST_MS, FaultKind::Burst(edge, callers))
        });
    }

    /// Adds faults of one random stream until `end`. `draw` returns a fault's duration and kind.
    fn draw_group(
        &mut self,
        stream: u64,
        interval: Range<u64>,
        end: u64,
        draw: impl Fn(&mut ChaCha8Rng) -> (u64, FaultKind),
    ) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(stream);
        let mut at = WARMUP_MS;
        loop {
            at += random.random_range(interval.clone());
            let (lasting, kind) = draw(&mut random);
            let fault = Fault { at, lasting, kind };
            if fault.end() > end {
                return;
            }
            self.add(fault);
        }
    }
}
