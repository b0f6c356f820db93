//! Replicas that ended while they ran a request, and contents that are held for it.
//!
//! A connection breaks for many reasons. Only where the replica's address refuses new
//! ones right after has its process ended, and the request that it ran may be why. Nobody
//! else can tell: a replica that ended says nothing, and the same content comes again under
//! other identities, at other edges.

use super::forward::{Failed, Forwarded, Lost};
use super::process::Edge;
use crate::clock::Moment;
use crate::upstream::{Look, look};
use brasspond_cluster_protocol::{Message, RunSpec};
use brasspond_fleet::Identity;
use brasspond_quarantine::{CasesUpdate, EndReport, Fingerprint};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Pauses before an address is looked at: a process that ends closes its connections a
/// moment before its listener, and none is back sooner than a second.
const LOOK_PAUSES: [Duration; 2] = [Duration::from_millis(15), Duration::from_millis(200)];

/// A request that a replica may have been running as its connection broke.
struct Break {
    request: String,
    content: Fingerprint,
    /// In the life that was known as the request was sent.
    replica: Identity,
    address: SocketAddr,
    begun: Moment,
    broke: Moment,
}

impl Break {
    /// The end that was seen, once it is known that it was one.
    fn report(&self) -> EndReport {
        let ran = self.broke.saturating_duration_since(self.begun);
        EndReport {
            content: self.content,
            replica: self.replica.name(),
            ran_ms: ran.as_millis() as u64,
            ago_ms: self.broke.elapsed().as_millis() as u64,
        }
    }
}

impl Forwarded {
    /// Looks whether a replica has ended, if its connection broke under this request, which
    /// it was sent at `begun`.
    pub(super) fn look_after_failure(&self, replica: &str, begun: Moment, failed: &Failed) {
        if matches!(failed, Failed::MayHaveRun(Lost::Broken)) {
            self.look_after_break(replica, begun);
        }
    }

    /// The same, where its connection certainly broke.
    pub(super) fn look_after_break(&self, replica: &str, begun: Moment) {
        let balance = self.edge.balance.borrow();
        let Some(address) = balance.standing(replica).map(|standing| standing.address) else {
            return;
        };
        let identity = balance.identity(replica);
        drop(balance);
        let broken = Break {
            request: self.id.clone(),
            content: self.content(),
            replica: identity,
            address,
            begun,
            broke: Moment::now(),
        };
        self.edge.spawn_look(broken);
    }

    /// Whether no replica is to run the request. Before this was asked, one content ended
    /// 13 replicas within 40 s, three at a time as soon as they were back.
    pub(super) fn is_quarantined(&self) -> bool {
        let quarantine = self.edge.quarantine.borrow();
        !quarantine.is_idle() && quarantine.is_quarantined(self.content())
    }

    /// A replica answered the request.
    pub(super) fn note_answered(&self) {
        let is_idle = self.edge.quarantine.borrow().is_idle();
        if !is_idle {
            self.edge.content_answered(self.content());
        }
    }
}

impl Edge {
    /// Looks whether a replica has ended whose connection broke under an item's run.
    pub(super) fn look_after_run(self: &Rc<Self>, spec: &RunSpec, begun: Moment) {
        self.spawn_look(Break {
            request: spec.item_id.clone(),
            content: spec.content(),
            replica: self.identity_of(spec),
            address: spec.address,
            begun,
            broke: Moment::now(),
        });
    }

    /// The replica of a run, in the newer life of those that the leader and this edge know.
    fn identity_of(&self, spec: &RunSpec) -> Identity {
        let known = self.balance.borrow().identity(&spec.replica);
        Identity {
            life: known.life.max(spec.life),
            ..known
        }
    }

    /// A replica ran a content to an answer: it does not end replicas.
    pub(super) fn content_answered(&self, content: Fingerprint) {
        if !self.quarantine.borrow_mut().answered(content) {
            return;
        }
        self.tell_leader(&Message::ContentAnswered(content));
    }

    fn spawn_look(self: &Rc<Self>, broken: Break) {
        let edge = Rc::clone(self);
        tokio::task::spawn_local(async move { edge.look_for_end(broken).await });
    }

    /// Looks at a replica's address until it is known whether its process has ended.
    async fn look_for_end(&self, broken: Break) {
        let mut seen = Look::Accepted;
        for pause in LOOK_PAUSES {
            tokio::time::sleep(pause).await;
            seen = look(broken.address).await;
            if seen != Look::Accepted {
                break;
            }
        }
        let ended = seen == Look::Refused;
        log::info!(
            "event=replica_looked_at replica={} life={} request={} content={} ended={ended} seen={}",
            broken.replica.id,
            broken.replica.life,
            broken.request,
            broken.content,
            seen.name()
        );
        if ended {
            self.note_end(&broken);
        }
    }

    fn note_end(&self, broken: &Break) {
        let report = broken.report();
        let now = self.clock.now();
        let is_new = self.quarantine.borrow_mut().note_end(report.clone(), now);
        if is_new {
            self.tell_leader(&Message::ReplicasEnded(vec![report]));
        }
    }

    /// A new leader is told of all ends that this edge saw lately: the last one may have
    /// been lost before the log had them.
    pub(super) fn tell_all_ends(&self) {
        let reports = self.quarantine.borrow().reports(self.clock.now());
        if reports.is_empty() {
            return;
        }
        self.tell_leader(&Message::ReplicasEnded(reports));
    }

    /// Takes what the leader tells of contents.
    pub(super) fn take_quarantine(&self, told: CasesUpdate) {
        let (is_whole, changed) = (told.is_whole, told.cases.len());
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.take(told);
        log::info!(
            "event=quarantine_known whole={is_whole} changed={changed} held={}",
            quarantine.held()
        );
        self.metrics.held_contents(quarantine.held());
    }
}

#[cfg(test)]
#[path = "../../tests/unit/ended.rs"]
mod tests;
