//! Detects replicas whose process ended while running a request, and quarantines its content.
//!
//! If a connection breaks and the replica's address refuses new connections right after, its
//! process has ended and the request may be the cause. Only the edge that sent the request can
//! observe this. The same content may come again with other request ids at other edges, so the
//! edge reports the end to the leader.
//!
//! Only requests of callers are suspected. Items of jobs and their scoring calls are accepted work
//! and do not crash replicas by themselves, so an end under them says nothing about the content.

use super::attempt_error::{AttemptError, UncertainCause};
use super::forward::ForwardedRequest;
use super::process::Edge;
use crate::clock::Moment;
use crate::upstream::{ProbeOutcome, probe};
use brasspond_cluster_protocol::Message;
use brasspond_fleet::Identity;
use brasspond_quarantine::{CasesUpdate, EndReport, Fingerprint};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Pause before each probe of a replica's address. A terminating process may close its connections
/// before its listener, so a successful probe is repeated once. Both probes come before a
/// restarted replica can listen again.
const PROBE_PAUSES: [Duration; 2] = [Duration::from_millis(15), Duration::from_millis(200)];

/// A request that a replica may have been running when its connection broke.
struct BrokenRequest {
    request: String,
    content: Fingerprint,
    /// The replica, with the life that was known when the connection broke.
    replica: Identity,
    address: SocketAddr,
    /// When the attempt began.
    started: Moment,
    broke_at: Moment,
}

impl BrokenRequest {
    /// Builds the report to the leader.
    fn report(&self) -> EndReport {
        let ran = self.broke_at.saturating_duration_since(self.started);
        EndReport {
            content: self.content,
            replica: self.replica.name(),
            ran_ms: ran.as_millis() as u64,
            ago_ms: self.broke_at.elapsed().as_millis() as u64,
        }
    }
}

impl ForwardedRequest {
    /// Probes whether a replica has ended if the attempt's connection broke. `started` is when the
    /// attempt began.
    pub(super) fn probe_after_failure(&self, replica: &str, started: Moment, error: &AttemptError) {
        if matches!(error, AttemptError::MayHaveRun(UncertainCause::Broken)) {
            self.probe_after_break(replica, started);
        }
    }

    /// Probes whether a replica has ended after its connection broke.
    pub(super) fn probe_after_break(&self, replica: &str, started: Moment) {
        if self.is_for_job() {
            return;
        }
        let balancer = self.edge.balancer.borrow();
        let Some(address) = balancer.endpoint(replica).map(|endpoint| endpoint.address) else {
            return;
        };
        let identity = balancer.identity(replica);
        drop(balancer);
        let broken = BrokenRequest {
            request: self.id.clone(),
            content: self.fingerprint(),
            replica: identity,
            address,
            started,
            broke_at: Moment::now(),
        };
        self.edge.spawn_probe(broken);
    }

    /// Whether the request's content is quarantined. A request for a job is never held back.
    pub(super) fn is_quarantined(&self) -> bool {
        let quarantine = self.edge.quarantine.borrow();
        !self.is_for_job() && !quarantine.is_idle() && quarantine.is_quarantined(self.fingerprint())
    }

    /// Records that a replica survived the request.
    pub(super) fn record_completed(&self) {
        let is_idle = self.edge.quarantine.borrow().is_idle();
        if !is_idle {
            self.edge.content_answered(self.fingerprint());
        }
    }
}

impl Edge {
    /// Records that a replica survived a content, and reports it to the leader if the content has a
    /// case.
    pub(super) fn content_answered(&self, content: Fingerprint) {
        if !self.quarantine.borrow_mut().answered(content) {
            return;
        }
        self.send_to_leader(&Message::ContentAnswered(content));
    }

    fn spawn_probe(self: &Rc<Self>, broken: BrokenRequest) {
        let edge = Rc::clone(self);
        tokio::task::spawn_local(async move { edge.probe_for_end(broken).await });
    }

    /// Probes a replica's address and records the end of its process if it refuses connections.
    async fn probe_for_end(&self, broken: BrokenRequest) {
        let mut probe_outcome = ProbeOutcome::Accepted;
        for pause in PROBE_PAUSES {
            tokio::time::sleep(pause).await;
            probe_outcome = probe(broken.address).await;
            if probe_outcome != ProbeOutcome::Accepted {
                break;
            }
        }
        let ended = has_ended(probe_outcome);
        log::info!(
            "event=replica_looked_at replica={} life={} request={} content={} ended={ended} seen={}",
            broken.replica.id,
            broken.replica.life,
            broken.request,
            broken.content,
            probe_outcome.name()
        );
        if ended {
            self.record_end(&broken);
        }
    }

    fn record_end(&self, broken: &BrokenRequest) {
        let report = broken.report();
        let now = self.clock.now();
        let is_new = self.quarantine.borrow_mut().record_end(report.clone(), now);
        if is_new {
            self.send_to_leader(&Message::ReplicasEnded(vec![report]));
        }
    }

    /// Reports all recently detected ends to a new leader, because the previous one may have failed
    /// before they were in the replicated log.
    pub(super) fn report_all_ends(&self) {
        let reports = self.quarantine.borrow().reports(self.clock.now());
        if reports.is_empty() {
            return;
        }
        self.send_to_leader(&Message::ReplicasEnded(reports));
    }

    /// Applies an update of the quarantine cases from the leader.
    pub(super) fn apply_quarantine(&self, update: CasesUpdate) {
        let (is_whole, changed) = (update.is_whole, update.cases.len());
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.apply(update);
        log::info!(
            "event=quarantine_known whole={is_whole} changed={changed} held={}",
            quarantine.quarantined()
        );
        self.metrics.quarantined_contents(quarantine.quarantined());
    }
}

/// Whether a probe proves that the replica's process has ended. Only a refused connection does: a
/// timeout may be due to a network partition, and a process that accepts connections is running.
fn has_ended(probe_outcome: ProbeOutcome) -> bool {
    probe_outcome == ProbeOutcome::Refused
}

#[cfg(test)]
#[path = "../../tests/unit/ended.rs"]
mod tests;
