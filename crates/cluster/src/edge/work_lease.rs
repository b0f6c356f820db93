//! The work lease: the time until which this edge may start work for jobs, that is, send an item
//! to a replica or make a scoring call.
//!
//! Only a leader knows which jobs have ended. A job may end under a leader that this edge does not
//! know, or while this process is suspended. Therefore the leader that has registered all runs of
//! an edge grants it a lease, which expires by the edge's own clock, and renews the lease with
//! each announcement. Cancellations are sent on the same link before the next renewal. Work of a
//! job therefore starts at most one lease duration after the end of the job was acknowledged.
//!
//! A lease costs one small message to each edge per announcement. If it expires during a change of
//! leaders, work starts again one round trip after the change.

use super::process::Edge;
use crate::clock::Moment;
use brasspond_cluster_protocol::Registration;
use tokio::sync::watch;

/// Initial timeout for the leader to confirm a registration, in ms: two intervals between the
/// leader's announcements. The edge registers again after the timeout.
const FIRST_REGISTRATION_TIMEOUT_MS: u64 = 1_000;
/// Maximum timeout of a registration, in ms. The timeout doubles with each unconfirmed
/// registration. With a fixed timeout, an edge of a slow leader would always have begun a newer
/// registration when the confirmation of the last one arrives.
const MAX_REGISTRATION_TIMEOUT_MS: u64 = 8_000;

/// An edge's work lease and the registration of runs that it belongs to.
#[derive(Debug)]
pub(super) struct WorkLease {
    /// Number of the newest registration.
    registration: u64,
    registered_at: u64,
    /// Timeout of the newest registration, in ms.
    timeout_ms: u64,
    /// Expiry of the lease by this process's clock, in ms.
    expires_at: watch::Sender<u64>,
}

impl Default for WorkLease {
    fn default() -> Self {
        Self {
            registration: 0,
            registered_at: 0,
            timeout_ms: FIRST_REGISTRATION_TIMEOUT_MS,
            expires_at: watch::Sender::new(0),
        }
    }
}

impl WorkLease {
    /// Begins a new registration of all runs and returns its number. The lease stays valid, because
    /// the leader that granted it knew all jobs that had ended when it granted the lease.
    pub fn begin_registration(&mut self, now: u64) -> u64 {
        self.registration += 1;
        self.registered_at = now;
        self.registration
    }

    /// Number of the newest registration.
    pub fn registration(&self) -> u64 {
        self.registration
    }

    /// Handles the registration that the leader has for this edge, or `None` if the leader has
    /// none. Renews the lease if the leader grants one for the newest registration. Returns false
    /// if the runs must be registered again.
    pub fn on_registered(&mut self, registration: Option<Registration>, now: u64) -> bool {
        let current = registration.filter(|known| known.number == self.registration);
        let Some(current) = current else {
            let is_late = now >= self.registered_at + self.timeout_ms;
            if is_late {
                self.timeout_ms = (2 * self.timeout_ms).min(MAX_REGISTRATION_TIMEOUT_MS);
            }
            return !is_late;
        };
        self.timeout_ms = FIRST_REGISTRATION_TIMEOUT_MS;
        if let Some(until) = current.until {
            self.expires_at.send_if_modified(|known| {
                let is_later = until > *known;
                *known = until.max(*known);
                is_later
            });
        }
        true
    }

    /// Whether the lease is valid at `now`, in ms of the edge's clock.
    pub fn is_valid(&self, now: u64) -> bool {
        now < *self.expires_at.borrow()
    }

    /// Returns a receiver that is notified of renewals of the lease.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.expires_at.subscribe()
    }
}

impl Edge {
    /// Whether work for jobs may start now, see [`WorkLease`].
    pub(super) fn may_begin_work(&self) -> bool {
        self.storage.borrow().lease().is_valid(self.clock.now())
    }

    /// Waits until the work lease is valid. Returns whether a wait was necessary. There is no
    /// timeout; the waiting task is aborted when its run or scoring is cancelled.
    pub(super) async fn await_work_lease(&self) -> bool {
        if self.may_begin_work() {
            return false;
        }
        let started = Moment::now();
        let mut renewals = self.storage.borrow().lease().watch();
        while !self.may_begin_work() {
            if renewals.changed().await.is_err() {
                // Only a dropped sender causes an error, and the edge keeps the sender.
                std::future::pending::<()>().await;
            }
        }
        log::info!(
            "event=leave_awaited waited_ms={}",
            started.elapsed().as_millis()
        );
        true
    }
}

#[cfg(test)]
#[path = "../../tests/unit/work_lease.rs"]
mod tests;
