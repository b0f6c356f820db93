//! Lower bound for the clock of another process.

use brasspond_units::Millis;

/// Length of a window, in ms. The estimate uses the messages of the current and the previous
/// window, so it ignores a message after one to two windows. Quartz clocks, which may differ by 100
/// ppm, drift apart by 3 ms in a window.
const WINDOW_MS: Millis = 30_000;

/// Estimate of another process's clock from the timestamps of its messages. A message takes time to
/// arrive, so while messages keep arriving, [`PeerClock::lower_bound`] is not ahead of that clock
/// by more than the drift between both clocks within two windows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerClock {
    /// Greatest difference between the timestamp of a message and its time of arrival in the
    /// current window, in ms. The message with the shortest delay has the greatest difference.
    offset: Option<i64>,
    /// Greatest difference in the previous window, in ms.
    previous_offset: Option<i64>,
    /// Start of the current window, by this process's clock.
    window_start: Millis,
}

impl PeerClock {
    /// Records a message that was sent at `sent_at` by the peer's clock and arrived at `now` by this
    /// process's clock.
    pub fn observe(&mut self, sent_at: Millis, now: Millis) {
        if now >= self.window_start + WINDOW_MS {
            self.window_start = now;
            self.previous_offset = self.offset.take();
        }
        let offset = sent_at as i64 - now as i64;
        self.offset = self.offset.max(Some(offset));
    }

    /// Returns a lower bound of the peer's clock at `now` by this process's clock, or `None` before
    /// the first message.
    pub fn lower_bound(&self, now: Millis) -> Option<Millis> {
        let offset = self.offset.max(self.previous_offset)?;
        // A time before the origin of the peer's clock becomes 0.
        Some(u64::try_from(now as i64 + offset).unwrap_or(0))
    }
}
