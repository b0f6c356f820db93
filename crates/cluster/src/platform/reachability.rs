//! Tracks whether the source of the view answers, and the delay of retries after failures.
//!
//! The adapter makes the calls, but these rules are the same on every platform.

use super::Observed;
use std::cell::Cell;
use std::fmt::Debug;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// Delay after the first failed call, added again for each further consecutive failure.
const SOURCE_RETRY_STEP: Duration = Duration::from_millis(150);
/// Maximum delay after a failed call. It is a small part of the 2 to 4 s within which a
/// configuration must take effect after the source acknowledged it.
const MAX_SOURCE_RETRY_DELAY: Duration = Duration::from_millis(600);

/// Tracks whether calls for one part of the view succeed. The parts of one source share the number
/// of failing parts, so that each part knows whether all calls to the source succeed.
#[derive(Debug, Default)]
pub struct Reachability {
    /// Number of consecutive failed calls for this part.
    failures: u32,
    /// Number of parts of the source whose last call failed.
    failing_parts: Rc<Cell<usize>>,
}

impl Reachability {
    /// Creates the state of another part of the same source.
    pub fn for_another_part(&self) -> Self {
        Self {
            failures: 0,
            failing_parts: Rc::clone(&self.failing_parts),
        }
    }

    /// Whether the last call for every part succeeded. A part without any call yet counts as
    /// successful.
    pub fn all_parts_succeed(&self) -> bool {
        self.failing_parts.get() == 0
    }

    /// Records a successful call; `part` is the name of the part in the log.
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

    /// Records a failed call and returns the delay before the next one. The first failure after a
    /// success is logged and marks the source as unreachable in `observed`.
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
        retry_delay(self.failures)
    }
}

/// Delay before the next call after 1 or more consecutive failures. It grows linearly up to
/// [`MAX_SOURCE_RETRY_DELAY`].
fn retry_delay(failures: u32) -> Duration {
    (SOURCE_RETRY_STEP * failures).min(MAX_SOURCE_RETRY_DELAY)
}

#[cfg(test)]
#[path = "../../tests/unit/reachability.rs"]
mod tests;
