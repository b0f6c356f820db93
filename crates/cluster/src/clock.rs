//! The clock for all decisions about leases, ages and deadlines.
//!
//! The clock continues while the machine is suspended, so that a lease that expired meanwhile is
//! not considered valid. Timers of the async runtime stop during a suspension; [`within`] therefore
//! checks this clock at intervals. The wall clock is only reported and never used to order events.

use brasspond_units::WallMillis;
use nix::time::ClockId;
use std::future::Future;
use std::ops::Add;
use std::pin::pin;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Interval between checks of the clock during a wait. It bounds how late a wait ends after a
/// suspension, and is half of the 500 ms within which callers expect the wait to end.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// An instant of a monotonic clock that includes suspensions (`CLOCK_BOOTTIME`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Moment(Duration);

impl Moment {
    /// The current instant.
    ///
    /// # Panics
    /// The system has no such clock; Linux has it since 2.6.39.
    pub(crate) fn now() -> Self {
        let now = ClockId::CLOCK_BOOTTIME.now();
        Self(now.expect("Linux has CLOCK_BOOTTIME").into())
    }

    /// Time since this instant; zero if it is in the future.
    pub(crate) fn elapsed(&self) -> Duration {
        Self::now().saturating_duration_since(*self)
    }

    /// Time from an earlier instant to this one; zero if `earlier` is later.
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

/// Error of a wait that reached its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TimedOut;

/// Waits for a future until `limit` has passed, including time in which the machine was suspended.
///
/// # Errors
/// The limit has passed.
pub(crate) async fn within<F: Future>(limit: Duration, future: F) -> Result<F::Output, TimedOut> {
    within_by_clock(Moment::now, limit, future).await
}

/// Waits as [`within`] does, by the clock `now`.
async fn within_by_clock<F: Future>(
    now: impl Fn() -> Moment,
    limit: Duration,
    future: F,
) -> Result<F::Output, TimedOut> {
    let deadline = now() + limit;
    let mut future = pin!(future);
    loop {
        let left = deadline.saturating_duration_since(now());
        let step = left.min(CLOCK_CHECK_INTERVAL);
        match tokio::time::timeout(step, future.as_mut()).await {
            Ok(output) => return Ok(output),
            Err(_) if left <= CLOCK_CHECK_INTERVAL => return Err(TimedOut),
            Err(_) => {}
        }
    }
}

/// Counts milliseconds since its creation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Moment,
    /// Time at which the clock stands still, in ms; `None` if it runs.
    #[cfg(test)]
    stopped_at: Option<u64>,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: Moment::now(),
            #[cfg(test)]
            stopped_at: None,
        }
    }
}

impl Clock {
    /// Creates a clock that stands still, so that the outcome of a test does not depend on how long
    /// its steps take.
    #[cfg(test)]
    pub(crate) fn stopped_at(now: u64) -> Self {
        Self {
            stopped_at: Some(now),
            ..Self::default()
        }
    }

    /// Milliseconds since the clock was created.
    pub(crate) fn now(&self) -> u64 {
        #[cfg(test)]
        if let Some(now) = self.stopped_at {
            return now;
        }
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Wall-clock time of the machine, which may jump. A time before 1970 is returned as 0.
    pub(crate) fn wall(&self) -> WallMillis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| since.as_millis() as WallMillis)
    }
}

/// Detects that the process or its machine was suspended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SuspensionDetector {
    last_tick: u64,
}

impl SuspensionDetector {
    /// Minimum time between two ticks that counts as a suspension, in ms; several tick intervals of
    /// an edge.
    const MIN_GAP_MS: u64 = 1_000;

    /// Creates a detector at `now`, in ms.
    pub(crate) fn new(now: u64) -> Self {
        Self { last_tick: now }
    }

    /// Records a tick. Returns the time since the last one in ms if the process was suspended.
    pub(crate) fn tick(&mut self, now: u64) -> Option<u64> {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        (gap >= Self::MIN_GAP_MS).then_some(gap)
    }
}

#[cfg(test)]
#[path = "../tests/unit/clock.rs"]
mod tests;
