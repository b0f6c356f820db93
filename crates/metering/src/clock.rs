//! True time out of clocks that may jump.
//!
//! A machine's time of day is near true time, but may jump by seconds on some of the
//! machines, the leader's among them. Steady clocks do not jump. So the leader relates
//! every machine's time of day to its own steady clock and takes the median; edges
//! relate what the leader tells to their steady clocks.

use brasspond_units::{Millis, WallMillis};
use std::collections::{HashMap, VecDeque};

/// Samples of one machine that are looked at: of these the greatest counts, which came
/// with the least delay.
const SAMPLES: usize = 4;
/// A machine that told nothing for so long is left out, in ms: ten of its signs of life.
const SAMPLE_LIFE: Millis = 5_000;
/// Machines that a median needs, so that a single one's jump is outvoted.
const LEAST_MACHINES: usize = 3;

/// Time of day less steady clock, in ms.
type Offset = i64;

fn offset(wall: WallMillis, steady: Millis) -> Offset {
    let wall = i64::try_from(wall).unwrap_or(i64::MAX);
    wall.saturating_sub(i64::try_from(steady).unwrap_or(i64::MAX))
}

fn time_at(offset: Offset, steady: Millis) -> WallMillis {
    let steady = i64::try_from(steady).unwrap_or(i64::MAX);
    u64::try_from(offset.saturating_add(steady)).unwrap_or(0)
}

/// The newest samples of one clock.
#[derive(Clone, Debug, Default)]
struct Samples {
    offsets: VecDeque<Offset>,
    newest_at: Millis,
}

impl Samples {
    fn note(&mut self, offset: Offset, now: Millis) {
        if self.offsets.len() == SAMPLES {
            self.offsets.pop_front();
        }
        self.offsets.push_back(offset);
        self.newest_at = now;
    }

    /// The sample that came with the least delay.
    fn best(&self) -> Option<Offset> {
        self.offsets.iter().copied().max()
    }
}

/// True time at the leader, out of all machines' times of day.
#[derive(Clone, Debug, Default)]
pub struct FleetClock {
    machines: HashMap<String, Samples>,
}

impl FleetClock {
    /// A machine's time of day arrived at `now` of the own steady clock.
    pub fn note(&mut self, machine: &str, wall: WallMillis, now: Millis) {
        let sample = offset(wall, now);
        match self.machines.get_mut(machine) {
            Some(samples) => samples.note(sample, now),
            None => {
                let mut samples = Samples::default();
                samples.note(sample, now);
                self.machines.insert(machine.to_string(), samples);
            }
        }
    }

    /// True time; none while too few machines told theirs lately.
    pub fn time(&mut self, now: Millis) -> Option<WallMillis> {
        self.machines
            .retain(|_, samples| now < samples.newest_at + SAMPLE_LIFE);
        let mut offsets: Vec<Offset> = self.machines.values().filter_map(Samples::best).collect();
        if offsets.len() < LEAST_MACHINES {
            return None;
        }
        offsets.sort_unstable();
        Some(time_at(offsets[offsets.len() / 2], now))
    }
}

/// True time at an edge, as the leader tells it.
#[derive(Clone, Debug, Default)]
pub struct LeaderClock {
    samples: Samples,
}

impl LeaderClock {
    /// The leader's true time arrived at `now` of the own steady clock.
    pub fn note(&mut self, told: WallMillis, now: Millis) {
        self.samples.note(offset(told, now), now);
    }

    /// True time; `own` is the machine's time of day, for before any was told.
    pub fn time(&self, own: WallMillis, now: Millis) -> WallMillis {
        let told = self.samples.best();
        told.map_or(own, |offset| time_at(offset, now))
    }
}
