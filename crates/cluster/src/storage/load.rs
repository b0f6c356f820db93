//! Whether a process is busy, by the share of time in which its loop did not wait: a pure
//! decision.
//!
//! A process that the system does not run (its share of a core is spent) counts as busy, since
//! what it has to do waits meanwhile. Packing takes most of a leader's time where many texts pass
//! through it, so a busy process stops packing.

use brasspond_units::Millis;

/// Time over which the share is taken: some tens of turns. Not measured.
const LOAD_WINDOW: Millis = 500;
/// Share of the time, in percent, from which a process counts as busy. Not measured.
const BUSY_PERCENT: u64 = 50;
/// Share, in percent, below which it no longer does: far lower, since a process that does not
/// pack is less busy. Not measured.
const IDLE_PERCENT: u64 = 20;

/// The share of time spent at work.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoopLoad {
    /// Start of the window.
    since: Millis,
    /// Time worked in it, in microseconds.
    worked: u64,
    is_busy: bool,
}

impl LoopLoad {
    /// The loop worked for `worked` microseconds until `now`. Says whether that changed whether
    /// the process is busy.
    pub fn worked(&mut self, worked: u64, now: Millis) -> bool {
        self.worked += worked;
        let span = now.saturating_sub(self.since);
        if span < LOAD_WINDOW {
            return false;
        }
        // Microseconds by ms are thousandths.
        let percent = self.worked / (10 * span);
        let was_busy = self.is_busy;
        self.is_busy = if was_busy {
            percent >= IDLE_PERCENT
        } else {
            percent >= BUSY_PERCENT
        };
        self.since = now;
        self.worked = 0;
        was_busy != self.is_busy
    }

    /// Whether the process is busy most of the time.
    pub fn is_busy(&self) -> bool {
        self.is_busy
    }
}
