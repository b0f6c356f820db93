//! What a process keeps about the fleet's source: whether it answers, and from where to go on.

use crate::outside::Observed;
use brasspond_fleet::FleetView;
use std::cell::{Cell, RefCell};
use std::fmt::Debug;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// Pause after a failed call; it grows by as much with each more.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause after a failed call: a source that is back is heard of within it.
const LONGEST_RETRY: Duration = Duration::from_millis(600);

/// What this process knows of the fleet by others, for when the source is wanted again.
#[derive(Debug, Default)]
pub struct KnownFleet(RefCell<FleetView>);

impl KnownFleet {
    /// What was known as the source was wanted.
    pub fn keep(&self, view: FleetView) {
        self.0.replace(view);
    }

    /// The revision from which replicas that are known already are followed, without a list: a
    /// new leader begins with a copy seconds old. To list 3,000 again took it 1.3 s and more
    /// beside others that started (replicas_revision in its log), in which it told edges the
    /// copy and had runs go to replicas that had left since.
    pub fn resume(&self, observed: &watch::Sender<Observed>) -> Option<u64> {
        let known = self.0.take();
        let mut at = 0;
        // It is no news to the process.
        observed.send_if_modified(|observed| {
            let view = &mut observed.view;
            if known.replicas_revision > view.replicas_revision {
                view.replicas = known.replicas;
                view.replicas_revision = known.replicas_revision;
            }
            at = view.replicas_revision;
            false
        });
        (at > 0).then_some(at)
    }
}

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
