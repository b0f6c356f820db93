//! Tracks callers' requests and drains them at shutdown.
//!
//! A stopping edge returns its runs to the leader at once, accepts connections for a while, and
//! then closes each connection after its current request.

use super::descriptors::DescriptorLimit;
use super::process::Edge;
use super::ready::AcceptHealth;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// Time after the termination signal during which connections are accepted. It is longer than two
/// intervals of the platform's readiness probe, which is sent once per second.
const ACCEPTING_TIME: Duration = Duration::from_millis(2_600);
/// Time reserved at the end of the grace period for the last responses and reports.
const STOP_MARGIN: Duration = Duration::from_millis(500);
/// Interval of the check whether all requests have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the connections' tasks to write the last responses.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// State of callers' connections and requests.
#[derive(Debug, Default)]
pub(super) struct Callers {
    is_draining: Cell<bool>,
    has_drained: Cell<bool>,
    requests: Cell<usize>,
    /// True once connections must close after their current request.
    closing: watch::Sender<bool>,
    /// Incremented to make all open connections close after their current request.
    shed: watch::Sender<u64>,
    /// Whether accepting connections works.
    pub accept_health: AcceptHealth,
    /// The descriptors that callers' connections may use.
    pub descriptors: DescriptorLimit,
}

impl Callers {
    /// Whether this edge is shutting down.
    pub fn is_draining(&self) -> bool {
        self.is_draining.get()
    }

    /// Number of requests whose responses are not complete.
    pub fn requests(&self) -> usize {
        self.requests.get()
    }

    /// Returns a receiver that is notified when connections must close after their current request
    /// because of the shutdown.
    pub fn watch_closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Returns a receiver that is notified when all open connections must close after their current
    /// request to release resources.
    pub fn watch_shed(&self) -> watch::Receiver<u64> {
        self.shed.subscribe()
    }

    /// Makes all open connections close after their current request.
    pub fn shed_connections(&self) {
        self.shed.send_modify(|count| *count += 1);
    }
}

/// Guard that counts a request until its response is complete.
pub(super) struct RequestGuard(Rc<Edge>);

impl RequestGuard {
    pub fn new(edge: &Rc<Edge>) -> Self {
        let requests = &edge.callers.requests;
        requests.set(requests.get() + 1);
        Self(Rc::clone(edge))
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let requests = &self.0.callers.requests;
        requests.set(requests.get() - 1);
    }
}

/// Maximum time to wait for requests after [`ACCEPTING_TIME`], given the grace period.
fn max_drain_time(grace: Duration) -> Duration {
    grace.saturating_sub(ACCEPTING_TIME + STOP_MARGIN)
}

impl Edge {
    /// Begins the shutdown and returns runs and scorings to the leader.
    pub(super) fn begin_drain(self: &Rc<Self>) {
        if self.callers.is_draining.replace(true) {
            return;
        }
        log::info!(
            "event=stopping role=edge requests={}",
            self.callers.requests()
        );
        self.hand_over_runs();
        self.hand_over_scorings();
    }

    /// Accepts connections for [`ACCEPTING_TIME`], then closes them as their requests end.
    pub(super) async fn finish_drain(self: Rc<Self>) {
        let callers = &self.callers;
        tokio::time::sleep(ACCEPTING_TIME).await;
        callers.closing.send_replace(true);
        let deadline =
            tokio::time::Instant::now() + max_drain_time(self.settings.termination_grace);
        while self.has_open_answers() && tokio::time::Instant::now() < deadline {
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
        self.report_usage();
        tokio::time::sleep(FLUSH_TIME).await;
        callers.has_drained.set(true);
        callers.closing.send_replace(true);
    }

    /// Whether a request runs or an answer waits for a caller that reads slowly.
    fn has_open_answers(&self) -> bool {
        self.callers.requests() > 0 || self.slow_readers.held_bytes() > 0
    }

    /// Waits until this edge has drained.
    pub(super) async fn drained(&self) {
        let mut closing = self.callers.watch_closing();
        while !self.callers.has_drained.get() {
            if closing.changed().await.is_err() {
                return;
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/draining.rs"]
mod tests;
