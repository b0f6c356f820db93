//! Windows of true time.

use brasspond_units::WallMillis;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of a window: the one numbered k begins k lengths after the start of 1970.
pub type WindowNumber = u64;

/// Requests that began to run, by tenant.
pub type Counts = BTreeMap<Arc<str>, u64>;

/// The division of time into windows of one length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Windows {
    length_ms: u64,
}

impl Windows {
    /// Windows of a length in ms; 0 counts as 1.
    pub fn new(length_ms: u64) -> Self {
        Self {
            length_ms: length_ms.max(1),
        }
    }

    /// The window that contains a time.
    pub fn at(self, time: WallMillis) -> WindowNumber {
        time / self.length_ms
    }

    /// When a window ends.
    pub fn end(self, window: WindowNumber) -> WallMillis {
        (window + 1) * self.length_ms
    }
}
