//! Sends messages to the leader, sends the full state again after a message was lost, and performs
//! the actions for received messages.

use super::process::Edge;
use crate::link::LinkId;
use brasspond_cluster_protocol::{AttemptId, Message, MessageKind, RunSpec, ScoringSpec};
use brasspond_fleet::{BaseMismatch, CatchUp, FleetView, ViewDelta};
use brasspond_metering::WindowNumber;
use brasspond_quarantine::CasesUpdate;
use brasspond_replica_load::ReplicaLoad;
use brasspond_units::WallMillis;
use std::rc::Rc;

/// Action that the event loop takes for a received message.
pub(super) enum LinkAction {
    /// Sends the full state of this edge to a new leader, of this term.
    NewLeader(u64),
    /// Registers all runs again, because the leader of this term does not know them.
    RegisterRuns(u64),
    /// Applies the time of the leader's clock and the number of the newest closed usage window.
    Time(Option<WallMillis>, Option<WindowNumber>),
    View(FleetView),
    ViewChanged(ViewDelta, LinkId),
    CatchUp(CatchUp, LinkId),
    Run(Box<RunSpec>),
    Score(Box<ScoringSpec>),
    Cancel(u64, AttemptId),
    Recorded(AttemptId),
    Quarantine(CasesUpdate),
    ReplicaLoads(Vec<ReplicaLoad>),
}

impl Edge {
    /// Sends the full state of this edge to the leader.
    fn report_all(&self, term: u64) {
        self.register_runs(term);
        self.report_evacuations();
        self.send_clock();
        self.report_all_usage();
        self.report_all_ends();
    }

    /// Sends a message to the leader, if one is known. If the link's queue rejects it, the next
    /// tick sends the full state with a new registration. Otherwise the lost message could be the
    /// end of a run, which is sent only once, and the run would occupy a slot of its replica
    /// forever.
    pub(super) fn send_to_leader(&self, message: &Message) {
        let Some(leader) = self.storage.borrow().contact.leader() else {
            return;
        };
        if !leader.writer.send(message) {
            log::warn!(
                "event=leader_message_lost message={} waiting_bytes={}",
                MessageKind::of(message).name(),
                leader.writer.queued_bytes()
            );
            self.metrics.leader_message_lost();
            self.storage.borrow().has_lost_message.set(true);
        }
    }

    /// Sends the full state to the leader if a message was lost.
    pub(super) fn resend_state_after_loss(&self) {
        let leader = self.storage.borrow().contact.leader();
        let Some(leader) = leader else {
            return;
        };
        let has_lost = self.storage.borrow().has_lost_message.take();
        if has_lost {
            self.report_all(leader.term);
        }
    }
}

/// Performs an action.
pub(super) fn apply(edge: &Rc<Edge>, action: LinkAction) {
    match action {
        LinkAction::NewLeader(term) => {
            // The new leader sends a full view.
            edge.fleet.leader_view.replace(None);
            edge.report_all(term);
        }
        LinkAction::RegisterRuns(term) => edge.register_runs(term),
        LinkAction::Quarantine(update) => edge.apply_quarantine(update),
        LinkAction::ReplicaLoads(loads) => edge.apply_replica_loads(&loads),
        LinkAction::Time(time, closed) => edge.apply_time(time, closed),
        LinkAction::View(view) => edge.apply_leader_view(view),
        LinkAction::ViewChanged(delta, link) => {
            let is_known = edge.fleet.apply_leader_delta(&delta);
            if edge.apply_delta(&delta).is_err() || !is_known {
                let now = edge.clock.now();
                edge.storage.borrow_mut().request_view(link, now);
            }
        }
        LinkAction::CatchUp(catch_up, link) => {
            let leader_view = edge.fleet.view.borrow().catch_up(&catch_up);
            log::info!(
                "event=view_caught_up is_known={} changed={} gone={} base={} revision={}",
                leader_view.is_ok(),
                catch_up.delta.changed.len(),
                catch_up.delta.gone.len(),
                catch_up.delta.base,
                catch_up.delta.replicas_revision
            );
            match leader_view {
                Ok(view) => edge.apply_leader_view(view),
                Err(BaseMismatch) => {
                    let now = edge.clock.now();
                    edge.storage.borrow_mut().request_view(link, now);
                }
            }
        }
        LinkAction::Run(spec) => edge.start_run(*spec),
        LinkAction::Score(spec) => edge.start_scoring(*spec),
        LinkAction::Cancel(term, attempt) => edge.cancel_run(term, attempt),
        LinkAction::Recorded(attempt) => edge.forget_run(attempt),
    }
}
