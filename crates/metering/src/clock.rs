//! Estimates of the true time (UTC) from wall clocks that may jump.
//!
//! The wall clock of a machine is close to true time, but the clocks of some machines, possibly of
//! the leader's machine, may jump by seconds. Monotonic clocks do not jump. The leader computes the
//! offset of every machine's wall clock from the leader's own monotonic clock and takes the median.
//! Edges compute the offset of the leader's estimate from their own monotonic clocks.

use brasspond_units::{Millis, WallMillis};
use std::collections::{HashMap, VecDeque};

/// Number of samples stored per clock. The greatest sample is used, because it arrived with the
/// least delay. With more samples, a forward jump would have an effect for longer.
const MAX_SAMPLES: usize = 4;
/// Time without a sample after which a machine is ignored, in ms. It equals ten heartbeat
/// intervals.
const SAMPLE_EXPIRY_MS: Millis = 5_000;
/// Minimum number of machines for a median. The median of three ignores one clock that jumped.
const MIN_MACHINES: usize = 3;

/// Wall clock minus monotonic clock, in ms.
type Offset = i64;

/// Computes the offset of a wall clock from a monotonic clock. Times beyond the range of `i64`
/// saturate.
fn offset(wall: WallMillis, monotonic: Millis) -> Offset {
    let wall = i64::try_from(wall).unwrap_or(i64::MAX);
    wall.saturating_sub(i64::try_from(monotonic).unwrap_or(i64::MAX))
}

/// Converts a time of the monotonic clock to wall-clock time. Times before 1970 become 0.
fn time_at(offset: Offset, monotonic: Millis) -> WallMillis {
    let monotonic = i64::try_from(monotonic).unwrap_or(i64::MAX);
    u64::try_from(offset.saturating_add(monotonic)).unwrap_or(0)
}

/// Latest samples of one clock.
#[derive(Clone, Debug, Default)]
struct Samples {
    offsets: VecDeque<Offset>,
    /// Time at which the newest sample arrived, by this process's monotonic clock.
    newest_at: Millis,
}

impl Samples {
    fn add(&mut self, offset: Offset, now: Millis) {
        if self.offsets.len() == MAX_SAMPLES {
            self.offsets.pop_front();
        }
        self.offsets.push_back(offset);
        self.newest_at = now;
    }

    /// Returns the sample that arrived with the least delay.
    fn best(&self) -> Option<Offset> {
        self.offsets.iter().copied().max()
    }
}

/// Estimate of true time at the leader, from the wall clocks of all machines.
#[derive(Clone, Debug, Default)]
pub struct FleetClock {
    machines: HashMap<String, Samples>,
}

impl FleetClock {
    /// Records the wall-clock time of a machine that arrived at `now` by this process's monotonic
    /// clock.
    pub fn record(&mut self, machine: &str, wall: WallMillis, now: Millis) {
        let sample = offset(wall, now);
        match self.machines.get_mut(machine) {
            Some(samples) => samples.add(sample, now),
            None => {
                let mut samples = Samples::default();
                samples.add(sample, now);
                self.machines.insert(machine.to_string(), samples);
            }
        }
    }

    /// Returns the estimate of true time at `now`, or `None` if fewer than `MIN_MACHINES` machines
    /// sent a sample within the last `SAMPLE_EXPIRY_MS`.
    pub fn time(&mut self, now: Millis) -> Option<WallMillis> {
        self.machines
            .retain(|_, samples| now < samples.newest_at + SAMPLE_EXPIRY_MS);
        let mut offsets: Vec<Offset> = self.machines.values().filter_map(Samples::best).collect();
        if offsets.len() < MIN_MACHINES {
            return None;
        }
        offsets.sort_unstable();
        Some(time_at(offsets[offsets.len() / 2], now))
    }
}

/// Estimate of true time at an edge, from the estimates that the leader sends.
#[derive(Clone, Debug, Default)]
pub struct LeaderClock {
    samples: Samples,
}

impl LeaderClock {
    /// Records an estimate of the leader that arrived at `now` by this process's monotonic clock.
    pub fn record(&mut self, time: WallMillis, now: Millis) {
        self.samples.add(offset(time, now), now);
    }

    /// Returns the estimate of true time at `now`. Before the first estimate of the leader, this is
    /// `own_wall`, the time of this machine's wall clock.
    pub fn time(&self, own_wall: WallMillis, now: Millis) -> WallMillis {
        let best = self.samples.best();
        best.map_or(own_wall, |offset| time_at(offset, now))
    }
}
