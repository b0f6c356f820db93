//! What another process's clock shows at least.

use brasspond_units::Millis;

/// Length of a window, in ms. The present and the last one count, so that what a message told
/// is forgotten after 30 to 60 s: clocks that differ by 100 parts in a million drift 3 ms in a
/// window.
const WINDOW: Millis = 30_000;

/// Another process's clock, as its messages tell it. A message arrives after it was sent,
/// so the clock has gone on: what is told here is not ahead of it, but for what the two
/// clocks drift apart within a minute.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerClock {
    /// Their time minus ours of the message that came fastest, in ms.
    ahead: Option<i64>,
    /// The same of the window before.
    ahead_before: Option<i64>,
    /// When the present window began, by our clock.
    since: Millis,
}

impl PeerClock {
    /// A message that was sent at `theirs` arrived at `now`.
    pub fn note(&mut self, theirs: Millis, now: Millis) {
        if now >= self.since + WINDOW {
            self.since = now;
            self.ahead_before = self.ahead.take();
        }
        let ahead = theirs as i64 - now as i64;
        self.ahead = self.ahead.max(Some(ahead));
    }

    /// What it shows at `now` at the least; none before anything was told.
    pub fn at_least(&self, now: Millis) -> Option<Millis> {
        let ahead = self.ahead.max(self.ahead_before)?;
        Some(u64::try_from(now as i64 + ahead).unwrap_or(0))
    }
}
