//! Leave to begin work for jobs: sending an item to a replica, calling for a score.
//!
//! Only a leader knows which jobs have ended. An order to run an item is no leave for what
//! follows from it seconds later: the job may have ended under a leader that this edge has not
//! heard of, or while this process stood still. So the leader that knows all runs of an edge
//! gives it leave until a moment of the edge's own clock, and renews it with each sign of
//! life; what ends a run goes over the same link before the next renewal. Nothing begins later
//! after an acknowledged end than a lease is long, however late messages are read.
//!
//! Cost: one message of about 12 bytes each 500 ms to an edge; after a change of leaders one
//! round trip until work begins again, if the lease ran out meanwhile.

use super::process::Edge;
use crate::clock::Moment;
use brasspond_cluster_protocol::Registration;
use tokio::sync::watch;

/// Time for a leader to say that it took a registration, in ms: it says what it holds each 500 ms.
/// An edge that is not known by then tells its runs again; sooner, the registration may be under way.
const TELLING_TIME: u64 = 1_000;
/// The time is doubled with each registration that was not taken, up to this, in ms: a leader whose
/// answers take 1.2 s met a newer registration each time, and gave 0 ms of leave in 20 s.
const LONGEST_TELLING_TIME: u64 = 8_000;

/// An edge's leave to begin work.
#[derive(Debug)]
pub(super) struct WorkLease {
    /// The newest registration of all runs.
    registration: u64,
    told_at: u64,
    /// Time for that one to be taken, in ms.
    patience: u64,
    /// Until when work may begin, by this process's clock in ms.
    until: watch::Sender<u64>,
}

impl Default for WorkLease {
    fn default() -> Self {
        Self {
            registration: 0,
            told_at: 0,
            patience: TELLING_TIME,
            until: watch::Sender::new(0),
        }
    }
}

impl WorkLease {
    /// Numbers a registration of all runs. Leave that was given holds on: it was given by a leader
    /// that knew all that had ended by then.
    pub fn begin_registration(&mut self, now: u64) -> u64 {
        self.registration += 1;
        self.told_at = now;
        self.registration
    }

    /// The newest registration of all runs.
    pub fn registration(&self) -> u64 {
        self.registration
    }

    /// Takes what the leader holds of this edge; false: it does not know the runs, and they
    /// are to be told again.
    pub fn renew(&mut self, registration: Option<Registration>, now: u64) -> bool {
        let current = registration.filter(|known| known.number == self.registration);
        let Some(current) = current else {
            let is_late = now >= self.told_at + self.patience;
            if is_late {
                self.patience = (2 * self.patience).min(LONGEST_TELLING_TIME);
            }
            return !is_late;
        };
        self.patience = TELLING_TIME;
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

    /// Tells when leave is renewed.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.until.subscribe()
    }
}

impl Edge {
    /// Whether work for jobs may begin now: see [`WorkLease`].
    pub(super) fn may_begin(&self) -> bool {
        self.cluster.borrow().lease().allows(self.clock.now())
    }

    /// Waits for the work lease; for ever where no leader renews it any more: a run or scoring
    /// that is not wanted any more is aborted by its owner. Whether there was a wait.
    pub(super) async fn await_work_lease(&self) -> bool {
        if self.may_begin() {
            return false;
        }
        let begun = Moment::now();
        let mut renewed = self.cluster.borrow().lease().watch();
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
