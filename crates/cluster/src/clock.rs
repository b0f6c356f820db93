//! The clock of all decisions about leases, ages and deadlines.
//!
//! It goes on while the machine is suspended, as other machines' clocks do: a leader that
//! was suspended for 4 s must not believe a lease as fresh as before. Timers of the runtime
//! do not count that time; [`within`] checks this clock between them. The time of day orders
//! nothing here, and is only reported.

use brasspond_units::WallMillis;
use nix::time::ClockId;
use std::future::Future;
use std::ops::Add;
use std::pin::pin;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Pause between two checks of the clock in a wait, and so the longest time for which a wait goes
/// on past its deadline after a suspension: half of the half second in which callers expect an
/// end.
const CLOCK_CHECK_PAUSE: Duration = Duration::from_millis(250);

/// A moment, by a steady clock that counts suspension (`CLOCK_BOOTTIME`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Moment(Duration);

impl Moment {
    /// The present moment.
    ///
    /// # Panics
    /// The system has no such clock; Linux has had it since 2.6.39.
    pub(crate) fn now() -> Self {
        let now = ClockId::CLOCK_BOOTTIME.now();
        Self(now.expect("Linux has CLOCK_BOOTTIME").into())
    }

    /// Time since this moment; zero if it lies ahead.
    pub(crate) fn elapsed(&self) -> Duration {
        Self::now().saturating_duration_since(*self)
    }

    /// Time from an earlier moment to this one; zero if that lies ahead.
    pub(crate) fn saturating_duration_since(&self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, time: Duration) -> Self {
        Self(self.0.saturating_add(time))
    }
}

/// The deadline of a wait has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Late;

/// Waits for a future until `limit` has passed, time in which the machine was suspended
/// included.
///
/// # Errors
/// The limit has passed.
pub(crate) async fn within<F: Future>(limit: Duration, future: F) -> Result<F::Output, Late> {
    within_by(Moment::now, limit, future).await
}

/// The same by another clock.
async fn within_by<F: Future>(
    now: impl Fn() -> Moment,
    limit: Duration,
    future: F,
) -> Result<F::Output, Late> {
    let deadline = now() + limit;
    let mut future = pin!(future);
    loop {
        let left = deadline.saturating_duration_since(now());
        let step = left.min(CLOCK_CHECK_PAUSE);
        match tokio::time::timeout(step, future.as_mut()).await {
            Ok(output) => return Ok(output),
            Err(_) if left <= CLOCK_CHECK_PAUSE => return Err(Late),
            Err(_) => {}
        }
    }
}

/// Counts milliseconds from its making.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Moment,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: Moment::now(),
        }
    }
}

impl Clock {
    /// Milliseconds since the clock was made.
    pub(crate) fn now(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// The machine's time of day, which may jump. A time before 1970 counts as 0: it orders nothing.
    pub(crate) fn wall(&self) -> WallMillis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| since.as_millis() as WallMillis)
    }
}

/// Detects that its process did nothing for a while: it was suspended, or its machine was.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SuspensionDetector {
    ticked_at: u64,
}

impl SuspensionDetector {
    /// Time between two ticks, in ms, that only a suspension explains: four ticks of an edge. Not
    /// measured.
    const LEAST_GAP_MS: u64 = 1_000;

    /// Detects suspensions from `now` on, in ms.
    pub(crate) fn new(now: u64) -> Self {
        Self { ticked_at: now }
    }

    /// Time since the last tick in ms, if the process was suspended in it.
    pub(crate) fn tick(&mut self, now: u64) -> Option<u64> {
        let gap = now.saturating_sub(self.ticked_at);
        self.ticked_at = now;
        (gap >= Self::LEAST_GAP_MS).then_some(gap)
    }
}

#[cfg(test)]
#[path = "../tests/unit/clock.rs"]
mod tests;
