//! When a storage process outside the group reads the group's record.
//!
//! The record stands in a store that serves many others and whose calls are priced,
//! and most storage processes of a large fleet are outside the group. So none of
//! them reads while the leader tells it that the group is led; when all fall silent
//! at once they read at times of their own, and more and more seldom.

/// Time within which the processes of a system that starts for the first time read
/// the record, in ms: the first that finds none makes it, and each later one finds it.
const FIRST_SPREAD: f64 = 600.0;
/// The same for a process that starts again, in ms: the group may need it soon.
const START_SPREAD: f64 = 150.0;
/// Pause before a process makes the record, as a multiple of the time that reading it took:
/// a store some 13 ms nearer (another region) outweighs the whole of [`FIRST_SPREAD`], so that
/// a process near the store makes it and the group gathers there.
const PAUSE_BY_TIME: u64 = 46;
/// Longest such pause, in ms: a slow store does not put off the first start. It leaves a
/// process that reads in 17 ms before one that takes 44 ms, whatever the two drew.
const LONGEST_MAKING_PAUSE: u64 = 1_400;
/// Silence after which the group counts as not led, in ms: longer than three signs
/// of life ([`SIGN_PAUSE`]) and than an election.
const SILENCE: u64 = 3_500;
/// Pause between two signs of life from the leader to a process outside, in ms.
pub const SIGN_PAUSE: u64 = 1_000;
/// Time within which processes that all miss their leader read the record, in ms.
const SILENCE_SPREAD: f64 = 4_000.0;
/// First pause between two reads, in ms; it doubles.
const FIRST_PAUSE: f64 = 400.0;
/// Longest pause between two reads, in ms: 45 processes are then four calls a second.
const LONGEST_PAUSE: f64 = 10_000.0;

/// Pause before a process makes the record that it took `read_ms` to find missing, in ms.
pub fn making_pause(read_ms: u64) -> u64 {
    (read_ms * PAUSE_BY_TIME).min(LONGEST_MAKING_PAUSE)
}

/// Whether the record is due to be read.
#[derive(Clone, Debug)]
pub struct RecordSearch {
    /// This process's place among the others, 0 to 1.
    place: f64,
    read_at: u64,
    pause: f64,
}

impl RecordSearch {
    /// For a process that starts; `place` is drawn from 0 to 1.
    pub fn new(may_bootstrap: bool, place: f64, now: u64) -> Self {
        let spread = if may_bootstrap {
            FIRST_SPREAD
        } else {
            START_SPREAD
        };
        Self {
            place,
            read_at: now + (place * spread) as u64,
            pause: FIRST_PAUSE,
        }
    }

    /// The leader told that it leads.
    pub fn led(&mut self, now: u64) {
        self.read_at = now + SILENCE + (self.place * SILENCE_SPREAD) as u64;
        self.pause = FIRST_PAUSE;
    }

    /// Whether to read now.
    pub fn is_due(&self, now: u64) -> bool {
        now >= self.read_at
    }

    /// The record was read, or could not be.
    pub fn searched(&mut self, now: u64) {
        let pause = self.pause * (0.5 + self.place);
        self.read_at = self.read_at.max(now + pause as u64);
        self.pause = (self.pause * 2.0).min(LONGEST_PAUSE);
    }
}
