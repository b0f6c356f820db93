//! The work lease: until when this edge may begin work for jobs, which is to send an item to a
//! replica or to call for a score.
//!
//! Only a leader knows which jobs have ended. An order to run an item does not cover what follows
//! from it seconds later: the job may have ended under a leader that this edge does not know, or
//! while this process was suspended. So the leader that knows all runs of an edge leases it the
//! right to begin work until a moment of the edge's own clock, and renews the lease with each
//! heartbeat. A cancelled run goes over the same link before the next renewal. However late
//! messages are read, no work begins later after an acknowledged end than a lease is long.
//!
//! Owns the lease and the number of the newest registration. Cost: one message of about 12 bytes
//! each 500 ms to an edge; after a change of leaders one round trip until work begins again, if
//! the lease ran out meanwhile.

use super::process::Edge;
use crate::clock::Moment;
use brasspond_cluster_protocol::Registration;
use tokio::sync::watch;

/// Time for a leader to confirm a registration, in ms: two of its reports, which come each 500 ms.
/// An edge that is not confirmed by then registers again; before, the registration or its answer
/// may be under way.
const FIRST_REGISTRATION_TIMEOUT_MS: u64 = 1_000;
/// Longest time for a leader to confirm a registration, in ms. The time doubles with each that was
/// not confirmed: a leader whose answers take longer than the first timeout would find a newer
/// registration each time and never give a lease.
const LONGEST_REGISTRATION_TIMEOUT_MS: u64 = 8_000;

/// An edge's lease, and the registration that it is for.
#[derive(Debug)]
pub(super) struct WorkLease {
    /// The newest registration of all runs.
    registration: u64,
    registered_at: u64,
    /// Time for that one to be confirmed, in ms.
    timeout_ms: u64,
    /// Until when work may begin, by this process's clock in ms.
    until: watch::Sender<u64>,
}

impl Default for WorkLease {
    fn default() -> Self {
        Self {
            registration: 0,
            registered_at: 0,
            timeout_ms: FIRST_REGISTRATION_TIMEOUT_MS,
            until: watch::Sender::new(0),
        }
    }
}

impl WorkLease {
    /// Numbers a registration of all runs. The lease goes on: the leader that gave it knew all
    /// that had ended by then.
    pub fn begin_registration(&mut self, now: u64) -> u64 {
        self.registration += 1;
        self.registered_at = now;
        self.registration
    }

    /// The newest registration of all runs.
    pub fn registration(&self) -> u64 {
        self.registration
    }

    /// Applies the leader's report of the registration that it knows; false: it does not know the
    /// runs, and they are to be registered again.
    pub fn renew(&mut self, registration: Option<Registration>, now: u64) -> bool {
        let current = registration.filter(|known| known.number == self.registration);
        let Some(current) = current else {
            let is_late = now >= self.registered_at + self.timeout_ms;
            if is_late {
                self.timeout_ms = (2 * self.timeout_ms).min(LONGEST_REGISTRATION_TIMEOUT_MS);
            }
            return !is_late;
        };
        self.timeout_ms = FIRST_REGISTRATION_TIMEOUT_MS;
        if let Some(until) = current.until {
            self.until.send_if_modified(|known| {
                let is_later = until > *known;
                *known = until.max(*known);
                is_later
            });
        }
        true
    }

    /// Whether work may begin at `now`.
    pub fn allows(&self, now: u64) -> bool {
        now < *self.until.borrow()
    }

    /// Changes when the lease is renewed.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.until.subscribe()
    }
}

impl Edge {
    /// Whether work for jobs may begin now: see [`WorkLease`].
    pub(super) fn may_begin(&self) -> bool {
        self.storage.borrow().lease().allows(self.clock.now())
    }

    /// Waits for the work lease; for ever where no leader renews it any more: a run or scoring
    /// that is not wanted any more is aborted by its owner. Whether there was a wait.
    pub(super) async fn await_work_lease(&self) -> bool {
        if self.may_begin() {
            return false;
        }
        let begun = Moment::now();
        let mut renewed = self.storage.borrow().lease().watch();
        while !self.may_begin() {
            if renewed.changed().await.is_err() {
                // The sender lives as long as the edge.
                std::future::pending::<()>().await;
            }
        }
        log::info!(
            "event=leave_awaited waited_ms={}",
            begun.elapsed().as_millis()
        );
        true
    }
}

#[cfg(test)]
#[path = "../../tests/unit/work_lease.rs"]
mod tests;
