//! Control logic of one node: dispatches events to the components.

use crate::claims::Claims;
use crate::context::{Context, WorkingMembers};
use crate::event::{Action, Event};
use crate::fleet::{Fleet, FleetStatus};
use crate::generation::Generations;
use crate::owner_table::OwnerTable;
use crate::parameters::Parameters;
use crate::steps::Steps;
use crate::store_reader::StoreReader;
use crate::versions::Versions;
use crate::writes::Writes;
use brasspond_dissemination::{Readiness, Replica};
use brasspond_membership::{Member, MemberState, Membership};
use brasspond_protocol::{PeerMessage, Sender};
use brasspond_resource::{Catalogue, Revision};
use brasspond_routing::EngineTable;
use brasspond_types::{Mutation, NodeName, Timestamp};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time between two rounds of revision queries to peers while a node starts, longer than a round
/// trip between regions (40 ms).
const REVISION_QUERY_PERIOD: Duration = Duration::from_millis(300);
/// Time after which a caller may retry a request that was refused because the node was not ready.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

/// State and decisions of one node.
pub struct Control {
    parameters: Parameters,
    node_name: NodeName,
    instance: u64,
    membership: Membership,
    working: WorkingMembers,
    replica: Replica,
    readiness: Readiness,
    /// Whether a peer of another zone reported a revision at least as new as the
    /// newest one known here.
    is_confirmed: bool,
    query_due: Timestamp,
    engines: EngineTable,
    owners: OwnerTable,
    generations: Generations,
    steps: Steps,
    claims: Claims,
    writes: Writes,
    fleet: Fleet,
    store_reader: StoreReader,
    versions: Versions,
    draining: bool,
    random: ChaCha8Rng,
    actions: Vec<Action>,
    loopback: Vec<PeerMessage>,
}

/// Builds a [`Context`] from the control's fields and evaluates an expression with it.
macro_rules! with_context {
    ($control:ident, $now:expr, |$context:ident| $body:expr) => {{
        let mut context = Context {
            now: $now,
            node_name: &$control.node_name,
            instance: $control.instance,
            parameters: &$control.parameters,
            membership: &$control.membership,
            working: &$control.working,
            catalogue: $control.replica.catalogue(),
            random: &mut $control.random,
            actions: &mut $control.actions,
            loopback: &mut $control.loopback,
        };
        let $context = &mut context;
        $body
    }};
}

mod configuration;
mod messages;
mod requests;

impl Control {
    /// Creates the control logic of a node. `saved` is the configuration saved on disk, if any.
    pub fn new(
        local: Member,
        seeds: Vec<SocketAddr>,
        saved: Option<Catalogue>,
        parameters: Parameters,
    ) -> Self {
        let node_name = local.name.clone();
        let instance = local.instance.0;
        let mut engines = EngineTable::default();
        engines.set_speed(parameters.speed);
        let membership = Membership::new(local, seeds, parameters.membership.clone());
        let mut control = Self {
            replica: Replica::new(saved.unwrap_or_default(), parameters.mutations.clone()),
            claims: Claims::new(node_name.clone(), instance),
            parameters,
            node_name,
            instance,
            membership,
            working: WorkingMembers::default(),
            readiness: Readiness::default(),
            is_confirmed: false,
            query_due: Timestamp::ZERO,
            engines,
            owners: OwnerTable::default(),
            generations: Generations::new(),
            steps: Steps::new(),
            writes: Writes::default(),
            fleet: Fleet::default(),
            store_reader: StoreReader::default(),
            versions: Versions::default(),
            draining: false,
            random: ChaCha8Rng::seed_from_u64(instance),
            actions: Vec::new(),
            loopback: Vec::new(),
        };
        control.refresh_working();
        control.reconfigure(Timestamp::ZERO);
        control
    }

    /// Name of this node.
    pub fn name(&self) -> &NodeName {
        &self.node_name
    }

    /// The configuration in force at this node.
    pub fn catalogue(&self) -> &Arc<Catalogue> {
        self.replica.catalogue()
    }

    /// Revision in force at this node.
    pub fn revision(&self) -> Revision {
        self.replica.revision()
    }

    /// State of the fleet according to the last summary.
    pub fn fleet(&self) -> FleetStatus {
        self.fleet.status()
    }

    /// Whether this node accepts new work.
    pub fn is_ready(&self) -> bool {
        self.readiness.is_ready() && !self.draining
    }

    /// Whether a draining node has no work left and may stop.
    pub fn is_drained(&self) -> bool {
        if self
            .parameters
            .mutations
            .is_on(Mutation::StopWithoutDraining)
        {
            return self.draining;
        }
        let is_idle = self.generations.is_idle() && self.claims.is_idle() && self.writes.is_idle();
        self.draining && is_idle && self.steps.is_drained()
    }

    /// Counters for metrics, by name.
    pub fn counters(&self) -> Vec<(&'static str, f64)> {
        let (home_steps, all_steps) = self.steps.step_counts();
        let (rollouts, grants) = self.owners.grant_counts();
        vec![
            ("owned_engines", self.owners.owned_count() as f64),
            ("granted_requests", grants as f64),
            ("granted_rollouts", rollouts as f64),
            ("home_steps", home_steps as f64),
            ("kept_steps", all_steps as f64),
            ("stale_slots_total", self.steps.stale_discards() as f64),
            ("claims", self.claims.claim_count() as f64),
            ("working_nodes", self.working.members.len() as f64),
            ("configuration_revision", self.revision().0 as f64),
        ]
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, event: Event, now: Timestamp) -> Vec<Action> {
        self.dispatch(event, now);
        self.handle_internal(now);
        std::mem::take(&mut self.actions)
    }

    /// Handles messages from this node to itself and ended generations until none
    /// are left.
    fn handle_internal(&mut self, now: Timestamp) {
        loop {
            for end in self.generations.take_ended() {
                self.handle_generation_end(end, now);
            }
            if self.loopback.is_empty() {
                return;
            }
            let sender = Sender {
                node: self.node_name.clone(),
                instance: self.instance,
                address: None,
            };
            for message in std::mem::take(&mut self.loopback) {
                self.handle_peer_message(&sender, message, now);
            }
        }
    }

    fn dispatch(&mut self, event: Event, now: Timestamp) {
        match event {
            Event::Tick => self.tick(now),
            Event::Drain => self.drain(now),
            Event::Peer(envelope) => self.handle_envelope(*envelope, now),
            Event::Generate { request, body } => self.generate(request, &body, now),
            Event::CallerDisconnected(request) => with_context!(self, now, |context| {
                self.generations.cancel_request(request, context);
            }),
            Event::Attempt { attempt, update } => with_context!(self, now, |context| {
                self.generations
                    .handle_attempt(attempt, update, &mut self.engines, context);
            }),
            Event::Step { request, body } => self.begin_step(request, body, now),
            Event::Claim { request, key } => self.begin_claim(request, key, now),
            Event::ClaimEnded { request, outcome } => with_context!(self, now, |context| {
                self.claims.finish(request, outcome, context);
            }),
            Event::EngineReport {
                engine,
                asked_at,
                report,
            } => {
                with_context!(self, now, |context| {
                    self.owners
                        .handle_report(&engine, asked_at, report, context);
                });
            }
            Event::EngineOrdered {
                engine,
                order,
                outcome,
            } => {
                with_context!(self, now, |context| {
                    self.owners
                        .handle_outcome(&engine, &order, &outcome, context);
                });
            }
            Event::Store(event) => self.handle_store_event(event, now),
            Event::Write {
                request,
                operation,
                expected,
            } => {
                with_context!(self, now, |context| {
                    self.writes
                        .begin(Some(request), operation, expected, context);
                });
            }
        }
    }

    /// Recomputes the working members, the collector and the store readers.
    fn refresh_working(&mut self) {
        let members = self
            .membership
            .working_members()
            .into_iter()
            .cloned()
            .collect();
        self.working = WorkingMembers::new(members, &self.node_name, self.parameters.store_readers);
    }

    /// Reassigns engines and steps after a change of membership, and removes the requests and
    /// grants of failed processes.
    fn handle_membership_change(&mut self, now: Timestamp) {
        self.refresh_working();
        let membership = &self.membership;
        self.owners.remove_tickets(|ticket| {
            let member = membership.get(&ticket.node);
            member.is_none_or(|member| {
                member.state == MemberState::Dead || member.instance.0 != ticket.instance
            })
        });
        with_context!(self, now, |context| {
            self.owners.reassign(&mut self.engines, context);
            self.steps.reassign(&mut self.generations, context);
        });
    }

    fn drain(&mut self, now: Timestamp) {
        if !self.draining {
            self.draining = true;
            self.membership.leave();
            self.handle_membership_change(now);
        }
    }

    fn tick(&mut self, now: Timestamp) {
        let outputs = self.membership.tick(now);
        self.apply_membership_outputs(outputs, now);
        let has_other_zones = self.has_other_zones();
        let outputs = self.replica.tick(has_other_zones, now);
        self.apply_replica_outputs(outputs, now);
        self.update_readiness(now);
        let known = self.replica.newest_known();
        let is_ready = self.readiness.is_ready();
        with_context!(self, now, |context| {
            self.store_reader.tick(known, is_ready, context);
            self.writes.tick(context);
            self.claims.tick(context);
        });
        if !is_ready {
            return;
        }
        with_context!(self, now, |context| {
            let owners = &self.owners;
            let claims = &self.claims;
            self.fleet
                .tick(owners, |context| claims.voting(context), context);
            self.owners.tick(&self.versions, context);
            self.generations
                .tick(&mut self.engines, &mut self.owners, context);
            self.steps.tick(
                &self.versions,
                &mut self.generations,
                &mut self.engines,
                &mut self.owners,
                context,
            );
        });
        self.review_voters(now);
    }
}
