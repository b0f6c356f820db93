//! How busy a process is, by its own loop: the share of time in which it did not wait.
//!
//! A process that is held back (its share of a core is spent) counts as busy, as it
//! should: what it has to do waits meanwhile. Packing takes most of a leader's time where many
//! texts pass through it, so a process that is busy most of the time stops packing.

/// Time over which the share is taken, in ms.
const SPAN: u64 = 500;
/// Share of the time, in percent, from which a process counts as busy.
const BUSY: u64 = 50;
/// Share below which it no longer does: far lower, since not packing makes it less busy.
const IDLE: u64 = 20;

/// The share of time spent at work.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoopLoad {
    since: u64,
    worked: u64,
    is_busy: bool,
}

impl LoopLoad {
    /// The loop worked for `worked` microseconds until `now`, in ms. Says whether that
    /// changed whether the process is busy.
    pub fn worked(&mut self, worked: u64, now: u64) -> bool {
        self.worked += worked;
        let span = now.saturating_sub(self.since);
        if span < SPAN {
            return false;
        }
        let percent = self.worked / (10 * span);
        let was_busy = self.is_busy;
        self.is_busy = if was_busy {
            percent >= IDLE
        } else {
            percent >= BUSY
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
