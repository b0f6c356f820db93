//! Whether the source of the view answers, and when it is called again after a failure.
//!
//! These are rules of the cluster, so they are here and not in the adapter that makes the calls.

use super::Observed;
use std::cell::Cell;
use std::fmt::Debug;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// Pause after the first failed call; each further failure in a row adds as much. Not measured:
/// a quarter of `LONGEST_SOURCE_PAUSE`, so that one lost call costs little.
const SOURCE_PAUSE_STEP: Duration = Duration::from_millis(150);
/// Longest pause after a failed call. A configuration must be in force 2 to 4 s after the source
/// acknowledged it; a source that answers again is called within this part of that time.
const LONGEST_SOURCE_PAUSE: Duration = Duration::from_millis(600);

/// Whether the calls for one part of the view succeed. The parts of one source share the count
/// of parts that fail, so that each can say whether the source as a whole answers.
#[derive(Debug, Default)]
pub struct Reachability {
    /// Failed calls of this part in a row.
    failures: u32,
    /// Number of parts whose last call failed, of all parts of the source.
    failing_parts: Rc<Cell<usize>>,
}

impl Reachability {
    /// The reachability of another part of the same source; it has had no call yet.
    pub fn for_another_part(&self) -> Self {
        Self {
            failures: 0,
            failing_parts: Rc::clone(&self.failing_parts),
        }
    }

    /// Whether the last call of every part succeeded. A part without a call counts as succeeded.
    pub fn all_parts_succeed(&self) -> bool {
        self.failing_parts.get() == 0
    }

    /// Records that a call succeeded; `part` is the part's name for the log.
    pub fn record_success(&mut self, part: &str) {
        if self.failures > 0 {
            log::info!(
                "event=store_regained kind={part} failures={}",
                self.failures
            );
            self.failing_parts.set(self.failing_parts.get() - 1);
        }
        self.failures = 0;
    }

    /// Records that a call failed and returns the pause before the next one. The first failure
    /// after a success is logged and marks the source as unreachable in `observed`.
    pub fn record_failure(
        &mut self,
        part: &str,
        error: &impl Debug,
        observed: &watch::Sender<Observed>,
    ) -> Duration {
        if self.failures == 0 {
            log::warn!("event=store_lost kind={part} error={error:?}");
            self.failing_parts.set(self.failing_parts.get() + 1);
            observed.send_modify(|observed| observed.reachable = false);
        }
        self.failures += 1;
        pause_after(self.failures)
    }
}

/// Pause before the next call after so many failed calls in a row (1 or more): it grows in
/// proportion to them up to a bound.
fn pause_after(failures: u32) -> Duration {
    (SOURCE_PAUSE_STEP * failures).min(LONGEST_SOURCE_PAUSE)
}

#[cfg(test)]
#[path = "../../tests/unit/reachability.rs"]
mod tests;
