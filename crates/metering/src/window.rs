//! Division of wall-clock time into numbered windows.

use brasspond_units::WallMillis;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of a window. Window `k` starts `k` window lengths after the Unix epoch.
pub type WindowNumber = u64;

/// Number of requests that started to run, by tenant.
pub type Counts = BTreeMap<Arc<str>, u64>;

/// Windows of equal length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Windows {
    length_ms: u64,
}

impl Windows {
    /// Creates windows of `length_ms`; a length of 0 becomes 1.
    pub fn new(length_ms: u64) -> Self {
        Self {
            length_ms: length_ms.max(1),
        }
    }

    /// Returns the window that contains a time.
    pub fn at(self, time: WallMillis) -> WindowNumber {
        time / self.length_ms
    }

    /// Returns the time at which a window ends.
    pub fn end(self, window: WindowNumber) -> WallMillis {
        (window + 1) * self.length_ms
    }
}
