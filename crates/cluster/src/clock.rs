//! The clock of all decisions about leases, ages and deadlines.
//!
//! It goes on while the machine is suspended, as other machines' clocks do: a leader that
//! was suspended for 4 s must not believe a lease as fresh as before. Timers of the runtime
//! leave that time out; [`within`] looks at this clock between them. The time of day orders
//! nothing here, and is only told on.

use brasspond_units::WallMillis;
use nix::time::ClockId;
use std::future::Future;
use std::ops::Add;
use std::pin::pin;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Longest time that a wait goes on past its deadline after a suspension: half of the half
/// second in which callers expect an end.
const LOOK_PAUSE: Duration = Duration::from_millis(250);

/// A moment, by a steady clock that counts suspension (`CLOCK_BOOTTIME`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(Duration);

impl Moment {
    /// The present moment.
    ///
    /// # Panics
    /// The system has no such clock; Linux has had it since 2.6.39.
    pub fn now() -> Self {
        let now = ClockId::CLOCK_BOOTTIME.now();
        Self(now.expect("Linux has CLOCK_BOOTTIME").into())
    }

    /// Time since this moment; zero if it lies ahead.
    pub fn elapsed(&self) -> Duration {
        Self::now().saturating_duration_since(*self)
    }

    /// Time from an earlier moment to this one; zero if that lies ahead.
    pub fn saturating_duration_since(&self, earlier: Self) -> Duration {
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
pub struct Late;

/// Waits for a future until `limit` has passed, time in which the machine was suspended
/// included.
///
/// # Errors
/// The limit has passed.
pub async fn within<F: Future>(limit: Duration, future: F) -> Result<F::Output, Late> {
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
        let step = left.min(LOOK_PAUSE);
        match tokio::time::timeout(step, future.as_mut()).await {
            Ok(output) => return Ok(output),
            Err(_) if left <= LOOK_PAUSE => return Err(Late),
            Err(_) => {}
        }
    }
}

/// Counts milliseconds from its making.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
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
    pub fn now(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// The machine's time of day, which may jump; 0 before 1970.
    pub fn wall(&self) -> WallMillis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| since.as_millis() as WallMillis)
    }
}

/// Notices that its process did nothing for a while: it stood still, or its machine was
/// suspended.
#[derive(Clone, Copy, Debug)]
pub struct Standstill {
    looked_at: u64,
}

impl Standstill {
    /// Time between two looks that only a standstill takes, in ms.
    const LEAST_GAP: u64 = 1_000;

    /// Looks from `now` on, in ms.
    pub fn new(now: u64) -> Self {
        Self { looked_at: now }
    }

    /// Time since the last look in ms, if the process stood still in it.
    pub fn look(&mut self, now: u64) -> Option<u64> {
        let gap = now.saturating_sub(self.looked_at);
        self.looked_at = now;
        (gap >= Self::LEAST_GAP).then_some(gap)
    }
}

#[cfg(test)]
#[path = "../tests/unit/clock.rs"]
mod tests;
