//! When a storage process outside the group reads the group's record: a pure decision.
//!
//! The record stands in a store that serves many others and whose calls are priced, and most
//! storage processes of a large fleet are outside the group. So none of them reads while the
//! leader sends it signs that the group is led. When the leader is silent for all at once, each
//! reads at a time of its own, and then less and less often.

use brasspond_units::Millis;

/// Time within which the processes of a system that starts for the first time read the record,
/// in ms: the first that finds none makes it, and each later one finds it. Not measured.
const FIRST_START_SPREAD: f64 = 600.0;
/// The same for a process that starts again, in ms: the group may need it soon. Not measured.
const RESTART_SPREAD: f64 = 150.0;
/// Pause before a process makes the record, as a multiple of the time that reading it took:
/// a store some 13 ms nearer (another region) outweighs the whole of [`FIRST_START_SPREAD`], so that
/// a process near the store makes it and the group gathers there.
const PAUSE_BY_TIME: Millis = 46;
/// Longest such pause: a slow store does not delay the first start much. A process that reads in
/// 17 ms still makes the record before one that takes 44 ms, whatever the two drew.
const LONGEST_MAKING_PAUSE: Millis = 1_400;
/// Silence of the leader after which the group counts as not led: longer than three signs of
/// life ([`SIGN_PAUSE`]) and than an election.
const UNLED_SILENCE: Millis = 3_500;
/// Pause between two signs of life from the leader to a process outside. Not measured.
pub const SIGN_PAUSE: Millis = 1_000;
/// Time within which processes that all miss their leader read the record, in ms. Not measured.
const UNLED_SPREAD: f64 = 4_000.0;
/// First pause between two reads, in ms; it doubles. Not measured.
const FIRST_READ_PAUSE: f64 = 400.0;
/// Longest pause between two reads, in ms: 45 processes then make four calls a second.
const LONGEST_READ_PAUSE: f64 = 10_000.0;

/// Pause before a process makes the record that it took `read_ms` to find missing.
pub fn making_pause(read_ms: Millis) -> Millis {
    (read_ms * PAUSE_BY_TIME).min(LONGEST_MAKING_PAUSE)
}

/// When the record is read next.
#[derive(Clone, Debug)]
pub struct RecordSearch {
    /// This process's place among the others, 0 to 1.
    place: f64,
    /// When the record is read next.
    read_at: Millis,
    /// Pause after that, in ms, before it is spread by `place`.
    pause: f64,
}

impl RecordSearch {
    /// For a process that starts; `place` is drawn from 0 to 1.
    pub fn new(may_bootstrap: bool, place: f64, now: Millis) -> Self {
        let spread = if may_bootstrap {
            FIRST_START_SPREAD
        } else {
            RESTART_SPREAD
        };
        Self {
            place,
            read_at: now + (place * spread) as Millis,
            pause: FIRST_READ_PAUSE,
        }
    }

    /// A sign came that the group is led.
    pub fn led(&mut self, now: Millis) {
        self.read_at = now + UNLED_SILENCE + (self.place * UNLED_SPREAD) as Millis;
        self.pause = FIRST_READ_PAUSE;
    }

    /// Whether to read now.
    pub fn is_due(&self, now: Millis) -> bool {
        now >= self.read_at
    }

    /// The record was read, or could not be.
    pub fn searched(&mut self, now: Millis) {
        let pause = self.pause * (0.5 + self.place);
        self.read_at = self.read_at.max(now + pause as Millis);
        self.pause = (self.pause * 2.0).min(LONGEST_READ_PAUSE);
    }
}
