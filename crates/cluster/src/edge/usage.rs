//! Usage metering: counts the tenants' requests that replicas started, and reports them to the
//! leader.
//!
//! A request counts once, in the window in which it was sent to the replica that may have started
//! it. A stream counts in the window in which its response head arrived. A request that certainly
//! did not run is not counted.

use super::forward::ForwardedRequest;
use super::process::Edge;
use brasspond_cluster_protocol::Message;
use brasspond_metering::{LeaderClock, UsageRecorder, WindowNumber};
use brasspond_units::WallMillis;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

/// Usage recorder of this edge and its estimate of the leader's clock.
pub(super) struct UsageReporter {
    /// `None` if metering is off.
    recorder: RefCell<Option<UsageRecorder>>,
    leader_clock: RefCell<LeaderClock>,
}

impl UsageReporter {
    pub fn new(recorder: Option<UsageRecorder>) -> Self {
        Self {
            recorder: RefCell::new(recorder),
            leader_clock: RefCell::default(),
        }
    }
}

impl Edge {
    /// Current time by the leader's clock, estimated from the leader's announcements.
    pub(super) fn leader_time(&self) -> WallMillis {
        let clock = self.usage.leader_clock.borrow();
        clock.time(self.clock.wall(), self.clock.now())
    }

    /// Applies the time and the newest closed window that the leader announced.
    pub(super) fn apply_time(&self, time: Option<WallMillis>, closed: Option<WindowNumber>) {
        if let Some(time) = time {
            self.usage
                .leader_clock
                .borrow_mut()
                .record(time, self.clock.now());
        }
        if let Some(closed) = closed
            && let Some(usage) = &mut *self.usage.recorder.borrow_mut()
        {
            usage.closed(closed);
        }
    }

    /// Reports new usage to the leader.
    pub(super) fn report_usage(&self) {
        if self.storage.borrow().contact.leader().is_none() {
            return;
        }
        let time = self.leader_time();
        let mut usage = self.usage.recorder.borrow_mut();
        if let Some(report) = usage.as_mut().and_then(|usage| usage.report(time)) {
            self.send_to_leader(&Message::Usage(report));
        }
    }

    /// Makes the next report contain all usage, for a new leader.
    pub(super) fn report_all_usage(&self) {
        if let Some(usage) = &mut *self.usage.recorder.borrow_mut() {
            usage.report_all();
        }
    }
}

/// Guard for a tenant's request at a replica. The request is counted on drop unless
/// [`UsageGuard::discard`] was called.
pub(super) struct UsageGuard {
    edge: Rc<Edge>,
    tenant: Option<Arc<str>>,
    window: WindowNumber,
}

impl UsageGuard {
    /// Starts to meter a request. Returns `None` if metering is off, the request has no tenant, or
    /// it is already metered.
    pub fn begin(request: &ForwardedRequest) -> Option<Self> {
        if request.is_metered.get() {
            return None;
        }
        let tenant = Arc::clone(&request.tenant.as_ref()?.name);
        let edge = &request.edge;
        let time = edge.leader_time();
        let window = edge.usage.recorder.borrow_mut().as_mut()?.sent(time);
        request.is_metered.set(true);
        Some(Self {
            edge: Rc::clone(edge),
            tenant: Some(tenant),
            window,
        })
    }

    /// Discards the count, so that the request can be counted at another replica.
    pub fn discard(mut self, request: &ForwardedRequest) {
        self.tenant = None;
        request.is_metered.set(false);
    }

    /// Moves the count to the current window.
    pub fn move_to_current_window(&mut self) {
        let time = self.edge.leader_time();
        if let Some(usage) = &mut *self.edge.usage.recorder.borrow_mut() {
            usage.finished(self.window, None);
            self.window = usage.sent(time);
        }
    }
}

impl Drop for UsageGuard {
    fn drop(&mut self) {
        if let Some(usage) = &mut *self.edge.usage.recorder.borrow_mut() {
            usage.finished(self.window, self.tenant.as_ref());
        }
    }
}
