//! Whether the fleet's source answers, and when it is called again: decisions, which is why
//! they stand here and not in the adapter that calls it.

use crate::platform::Observed;
use std::cell::Cell;
use std::fmt::Debug;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// Pause after a failed call; it grows by as much with each more.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after a failed call: a source that is back is heard of within it.
const LONGEST_RETRY: Duration = Duration::from_millis(600);

/// Whether the calls of one part answer, beside those of the other parts.
#[derive(Debug, Default)]
pub struct Reach {
    failures: u32,
    /// Parts whose last call failed.
    failing: Rc<Cell<usize>>,
}

impl Reach {
    /// That of another part of the same source.
    pub fn beside(&self) -> Self {
        Self {
            failures: 0,
            failing: Rc::clone(&self.failing),
        }
    }

    /// Whether the last calls of all parts succeeded.
    pub fn is_whole(&self) -> bool {
        self.failing.get() == 0
    }

    /// A call succeeded.
    pub fn succeeded(&mut self, part: &str) {
        if self.failures > 0 {
            log::info!(
                "event=store_regained kind={part} failures={}",
                self.failures
            );
            self.failing.set(self.failing.get() - 1);
        }
        self.failures = 0;
    }

    /// A call failed; returns the pause before the next.
    pub fn failed(
        &mut self,
        part: &str,
        error: &impl Debug,
        observed: &watch::Sender<Observed>,
    ) -> Duration {
        if self.failures == 0 {
            log::warn!("event=store_lost kind={part} error={error:?}");
            self.failing.set(self.failing.get() + 1);
            observed.send_modify(|observed| observed.reachable = false);
        }
        self.failures += 1;
        (RETRY_PAUSE * self.failures).min(LONGEST_RETRY)
    }
}
