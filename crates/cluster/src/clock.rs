//! A steady clock; the time of day orders nothing here, and is only told on.

use brasspond_metering::WallMillis;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Counts milliseconds from its making.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
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
