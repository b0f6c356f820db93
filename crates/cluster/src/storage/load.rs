//! Decides whether a process is busy, by the share of time in which its event loop handles events
//! instead of waiting for them. The decision is pure.
//!
//! Time in which the system does not schedule the process during its work (its CPU quota is used
//! up) counts as work. Compression takes most of a leader's time when many texts pass through it,
//! so a busy process stops compressing.

use brasspond_units::Millis;

/// Window over which the share is computed: a few dozen turns.
const LOAD_WINDOW: Millis = 500;
/// Share of time, in percent, from which a process counts as busy.
const BUSY_PERCENT: u64 = 50;
/// Share of time, in percent, below which a busy process no longer counts as busy. It is much lower
/// than [`BUSY_PERCENT`], since the share drops when the process stops compressing.
const IDLE_PERCENT: u64 = 20;

/// Share of time spent working.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoopLoad {
    /// Start of the current window.
    window_start: Millis,
    /// Time worked in the current window, in microseconds.
    worked: u64,
    is_busy: bool,
}

impl LoopLoad {
    /// Adds `worked` microseconds of work that ended at `now`. Returns whether the busy state
    /// changed.
    pub fn record(&mut self, worked: u64, now: Millis) -> bool {
        self.worked += worked;
        let span = now.saturating_sub(self.window_start);
        if span < LOAD_WINDOW {
            return false;
        }
        // Microseconds per ms, as a percentage.
        let percent = self.worked / (10 * span);
        let was_busy = self.is_busy;
        self.is_busy = if was_busy {
            percent >= IDLE_PERCENT
        } else {
            percent >= BUSY_PERCENT
        };
        self.window_start = now;
        self.worked = 0;
        was_busy != self.is_busy
    }

    /// Whether the process is busy most of the time.
    pub fn is_busy(&self) -> bool {
        self.is_busy
    }
}
