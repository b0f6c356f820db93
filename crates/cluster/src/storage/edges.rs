//! Edges as known to the leader.
//!
//! Owns [`Edges`]: the link on which each edge registered its runs, and the edges that are about to
//! be declared failed. The rules for declaring an edge failed are in [`super::leader_rules`]; the
//! dispatcher decides what happens to its runs.

use super::leader_rules::{is_edge_silent, is_reconnect_overdue, work_lease_end};
use super::process::Storage;
use crate::link::LinkId;
use brasspond_cluster_protocol::{
    Message, MessageKind, Peer, Registration, RunProgress, RunReport,
};
use brasspond_dispatch::Event;
use brasspond_metering::{EdgeLife, UsageReport};
use brasspond_units::{Millis, WallMillis};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// Edges known to a leader, by machine.
#[derive(Debug, Default)]
pub(super) struct Edges {
    /// Edges that registered their runs. Only these are sent runs and cancellations.
    registered: HashMap<String, EdgeRegistration>,
    /// Edges to which a message could not be sent. They are declared failed in the next tick.
    unreachable: BTreeSet<String>,
    /// Edges whose link broke, with the time of the break.
    disconnected: HashMap<String, Millis>,
}

/// Newest registration of an edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct EdgeRegistration {
    link: LinkId,
    /// Incarnation of the edge process that sent the registration.
    incarnation: u64,
    /// Number of the registration, which increases within an incarnation.
    registration: u64,
}

impl EdgeRegistration {
    /// Whether this is a later registration of the same incarnation.
    fn is_newer_than(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation && self.registration > other.registration
    }
}

impl Edges {
    /// Number of registered edges.
    pub fn count(&self) -> usize {
        self.registered.len()
    }

    /// Stores a registration. Returns false if an older link delivered it after a newer one.
    fn register(&mut self, machine: &str, registration: EdgeRegistration) -> bool {
        let edge = self.registered.get(machine);
        if edge.is_some_and(|edge| edge.is_newer_than(&registration)) {
            return false;
        }
        self.registered.insert(machine.to_string(), registration);
        self.disconnected.remove(machine);
        self.unreachable.remove(machine);
        true
    }

    /// Whether an edge registered its runs over this link.
    fn is_link_of(&self, machine: &str, link: LinkId) -> bool {
        let edge = self.registered.get(machine);
        edge.is_some_and(|edge| edge.link == link)
    }

    /// Returns the registration number that is valid on a link, or `None` if the edge is not
    /// registered on it or a message to the edge could not be sent.
    fn registration_on(&self, machine: &str, link: LinkId) -> Option<u64> {
        let edge = self.registered.get(machine)?;
        let is_valid = edge.link == link && !self.unreachable.contains(machine);
        is_valid.then_some(edge.registration)
    }

    /// Returns the edges to declare failed: unreachable and silent ones, and those that did not
    /// reconnect in time. Clears the list of unreachable edges; the caller removes the edges
    /// themselves. `heard_at` returns when a link's last message arrived.
    fn collect_failed(
        &mut self,
        heard_at: impl Fn(LinkId) -> Option<Millis>,
        now: Millis,
    ) -> BTreeSet<String> {
        let mut failed = std::mem::take(&mut self.unreachable);
        for (machine, edge) in &self.registered {
            if is_edge_silent(heard_at(edge.link), now) {
                failed.insert(machine.clone());
            }
        }
        for (machine, lost_at) in &self.disconnected {
            if is_reconnect_overdue(*lost_at, now) {
                failed.insert(machine.clone());
            }
        }
        failed
    }

    /// Removes an edge. If it is alive, the next leader announcement reports it as not registered,
    /// and it registers again.
    fn remove(&mut self, machine: &str) {
        self.disconnected.remove(machine);
        self.registered.remove(machine);
    }
}

/// The edge that sent a message.
struct SendingEdge {
    link: LinkId,
    machine: String,
    zone: String,
    region: Option<Arc<str>>,
    incarnation: u64,
}

impl Storage {
    /// Handles a message of an edge. No effect if this process is not the leader or the link is not
    /// to an edge.
    pub(super) fn on_edge_message(&mut self, link: LinkId, message: Message) {
        let Some(sender) = self.edge_of_link(link) else {
            return;
        };
        let Some(leader_state) = &self.leader_state else {
            return;
        };
        let machine = sender.machine.clone();
        match message {
            Message::Runs {
                term,
                registration,
                uptime,
                runs,
                draining,
            } if term == leader_state.term => {
                self.on_runs(&sender, registration, uptime, runs, draining);
            }
            Message::Progress(reports) => self.on_progress(&machine, reports),
            Message::View(view) => {
                self.check_reported_evacuations(&view);
                let changed = self.view.merge(&view);
                self.edge_view_merged(&machine, changed);
            }
            Message::ViewCatchUp(catch_up) => {
                self.check_reported_evacuations(&catch_up.evacuations_only());
                let changed = self.view.merge_catch_up(&catch_up);
                self.edge_view_merged(&machine, changed);
            }
            Message::Beat { wall, uptime } => self.on_edge_heartbeat(&sender, wall, uptime),
            Message::ReplicaObservations(report) => {
                self.on_replica_observations(&machine, &report);
            }
            Message::Usage(report) => self.on_usage_report(sender, report),
            Message::ReplicasEnded(reports) => self.on_replicas_ended(&machine, reports),
            Message::ContentAnswered(content) => self.on_content_answered(&machine, content),
            Message::Ended {
                attempt,
                events,
                end,
            } => {
                self.metrics.run_ended(end.name());
                self.dispatch(Event::RunEnded {
                    machine,
                    attempt,
                    events,
                    end,
                });
            }
            Message::Scored { attempt, end } => {
                self.metrics.scoring_ended(end.name());
                self.dispatch(Event::Scored {
                    machine,
                    attempt,
                    end,
                });
            }
            Message::Draining => {
                log::info!("event=edge_draining machine={machine}");
                self.dispatch(Event::EdgeDraining(machine));
            }
            _ => {}
        }
    }

    fn edge_of_link(&self, link: LinkId) -> Option<SendingEdge> {
        match self.links.get(link)?.peer.clone()? {
            Peer::Edge {
                machine,
                zone,
                incarnation,
                region,
                ..
            } => Some(SendingEdge {
                link,
                machine,
                zone,
                region,
                incarnation,
            }),
            Peer::Storage(_) => None,
        }
    }

    /// Registers an edge with all its runs.
    fn on_runs(
        &mut self,
        sender: &SendingEdge,
        registration: u64,
        uptime: Millis,
        runs: Vec<RunReport>,
        draining: bool,
    ) {
        let machine = &sender.machine;
        let edge_registration = EdgeRegistration {
            link: sender.link,
            incarnation: sender.incarnation,
            registration,
        };
        let leader_state = self.leader_state.as_mut();
        if !leader_state
            .is_some_and(|leader_state| leader_state.edges.register(machine, edge_registration))
        {
            return;
        }
        log::info!(
            "event=edge_up machine={machine} telling={registration} runs={} draining={draining}",
            runs.len()
        );
        self.dispatch(Event::EdgeUp {
            machine: machine.clone(),
            zone: sender.zone.clone(),
            region: sender.region.clone(),
            runs,
        });
        let now = self.clock.now();
        if let Some(leader_state) = &mut self.leader_state {
            leader_state
                .dispatcher
                .observe_edge_clock(machine, uptime, now);
        }
        self.send_registration(sender.link, now);
        if draining {
            self.dispatch(Event::EdgeDraining(machine.clone()));
        }
    }

    fn on_progress(&mut self, machine: &str, reports: Vec<RunProgress>) {
        for report in reports {
            self.dispatch(Event::Progress {
                machine: machine.to_string(),
                attempt: report.attempt,
                events: report.events,
                pace: report.pace,
            });
        }
    }

    /// Handles an edge's heartbeat, which carries the time by its wall clock and by its monotonic
    /// clock.
    fn on_edge_heartbeat(&mut self, sender: &SendingEdge, wall: WallMillis, uptime: Millis) {
        let now = self.clock.now();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let machine = &sender.machine;
        leader_state.dispatcher.record_edge_message(machine, now);
        // A heartbeat of an ended edge process may arrive after its successor registered. The
        // successor has another monotonic clock.
        if leader_state.edges.is_link_of(machine, sender.link) {
            leader_state
                .dispatcher
                .observe_edge_clock(machine, uptime, now);
        }
        leader_state.clock.record(machine, wall, now);
        if let Some(metering) = &mut leader_state.metering {
            metering.on_heartbeat(machine, now);
        }
    }

    fn on_usage_report(&mut self, sender: SendingEdge, report: UsageReport) {
        let now = self.clock.now();
        let life = EdgeLife {
            machine: sender.machine,
            incarnation: sender.incarnation,
        };
        let leader_state = self.leader_state.as_mut();
        if let Some(metering) = leader_state.and_then(|leader_state| leader_state.metering.as_mut())
        {
            metering.on_report(life, report, now);
        }
    }

    /// Sends an edge a message built from its current registration number. No effect if the edge is
    /// not registered.
    ///
    /// An edge to which a message cannot be sent is declared failed. The message is not sent again,
    /// so the edge may have missed a cancellation and must get no new work lease.
    pub(super) fn send_to_edge(&mut self, machine: &str, message: impl FnOnce(u64) -> Message) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let Some(edge) = leader_state.edges.registered.get(machine) else {
            return;
        };
        let message = message(edge.registration);
        let state = self.links.get(edge.link);
        let reason = match state.map(|state| state.writer.send(&message)) {
            Some(true) => return,
            Some(false) => "queue_full",
            None => "no_link",
        };
        leader_state.edges.unreachable.insert(machine.to_string());
        self.metrics.edge_message_lost(reason);
        log::warn!(
            "event=edge_message_lost machine={machine} message={} reason={reason}",
            MessageKind::of(&message).name()
        );
    }

    /// Sends an edge its current registration with the work lease, or `None` if it is not
    /// registered.
    pub(super) fn send_registration(&self, link: LinkId, now: Millis) {
        let registration = self.registration(link, now);
        if let Some(state) = self.links.get(link) {
            state.writer.send(&Message::Registered(registration));
        }
    }

    /// Returns the registration and work lease of the edge at the other end of a link, or `None` if
    /// the edge is not registered on it.
    fn registration(&self, link: LinkId, now: Millis) -> Option<Registration> {
        let leader_state = self.leader_state.as_ref()?;
        let Some(Peer::Edge { machine, .. }) = &self.links.get(link)?.peer else {
            return None;
        };
        let number = leader_state.edges.registration_on(machine, link)?;
        let edge_clock = leader_state.dispatcher.edge_clock(machine, now);
        let is_confirmed = self.is_confirmed_leader(now);
        let until = work_lease_end(edge_clock, is_confirmed, self.settings.cancel_ms);
        Some(Registration { number, until })
    }

    /// Handles a broken link to an edge. The edge gets no new runs until it registers again.
    pub(super) fn edge_link_down(&mut self, link: LinkId, machine: String, now: Millis) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if !leader_state.edges.is_link_of(&machine, link) {
            return;
        }
        leader_state.edges.registered.remove(&machine);
        leader_state.edges.disconnected.insert(machine.clone(), now);
        if let Some(metering) = &mut leader_state.metering {
            metering.remove_edge(&machine);
        }
        self.stop_placing_on(machine);
    }

    /// Declares edges failed that are silent or unreachable or did not reconnect in time, so that
    /// their runs continue on other edges.
    pub(super) fn remove_failed_edges(&mut self, now: Millis) {
        let links = &self.links;
        let heard_at = |link| links.get(link).map(|state| state.heard_at);
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let failed = leader_state.edges.collect_failed(heard_at, now);
        // Stops placing on all of them before the first is declared failed. Otherwise, if many
        // edges fail at once, the runs of the first would be placed on edges that are declared
        // failed next.
        for machine in &failed {
            self.stop_placing_on(machine.clone());
        }
        for machine in failed {
            if let Some(leader_state) = &mut self.leader_state {
                leader_state.edges.remove(&machine);
            }
            self.dispatch(Event::EdgeDown(machine));
        }
    }

    /// Places no new runs on an edge until it registers again.
    fn stop_placing_on(&mut self, machine: String) {
        self.dispatch(Event::EdgeDraining(machine));
    }
}
