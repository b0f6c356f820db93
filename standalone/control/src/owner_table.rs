//! Assignment of engines to owner nodes, and the engines that this node owns.

use crate::context::Context;
use crate::owner::{Owner, TRIES_PER_ANCESTOR, TicketId};
use crate::versions::Versions;
use brasspond_engine_api::{EngineOrder, EngineReport, OrderOutcome, WeightSource};
use brasspond_fairness::{GroupUsage, UsageTable};
use brasspond_protocol::{AdmissionMessage, PeerMessage, RefusalReason, Sender};
use brasspond_resource::{MachineRole, MachineSpec};
use brasspond_routing::{EngineTable, EngineView, PoolLoad, assign_evenly};
use brasspond_types::{
    EngineName, GroupName, ModelName, Mutation, NodeName, Timestamp, WeightVersion, ZoneName,
    stable_hash,
};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Failed tries after which any engine loads a version from the weight store: 24 s with
/// `LOAD_RETRY_PERIOD`.
const TRIES_BEFORE_STORE: u32 = 200;

#[derive(Clone, Debug)]
struct EngineConfig {
    address: SocketAddr,
    zone: ZoneName,
    leaving: bool,
}

/// Engines of the configuration, their owners and the state of those owned by this node.
#[derive(Debug, Default)]
pub(crate) struct OwnerTable {
    configured: BTreeMap<EngineName, EngineConfig>,
    /// Owners computed since the last change of configuration or membership.
    owners: HashMap<EngineName, NodeName>,
    owned: BTreeMap<EngineName, Owner>,
    /// Engines in the order in which each version is distributed to them.
    load_order: BTreeMap<(ModelName, WeightVersion), Vec<EngineName>>,
    usage: UsageTable,
}

impl OwnerTable {
    /// Node that owns an engine.
    pub(crate) fn owner(&mut self, engine: &EngineName, context: &Context<'_>) -> Option<NodeName> {
        if let Some(owner) = self.owners.get(engine) {
            return Some(owner.clone());
        }
        let zone = self.configured.get(engine)?.zone.clone();
        self.assign_zone(&zone, context);
        self.owners.get(engine).cloned()
    }

    /// Assigns the engines of a zone to the zone's nodes, or to all nodes if the
    /// zone has none.
    fn assign_zone(&mut self, zone: &ZoneName, context: &Context<'_>) {
        let mut members = context.working.references();
        if members.iter().any(|member| member.locality.zone == *zone) {
            members.retain(|member| member.locality.zone == *zone);
        }
        let engines = self
            .configured
            .iter()
            .filter(|(_, configured)| configured.zone == *zone);
        let keys: Vec<&str> = engines.map(|(name, _)| name.as_str()).collect();
        for (name, owner) in assign_evenly(&keys, &members) {
            self.owners.insert(EngineName::new(name), owner);
        }
    }

    /// Total load of the engines that this node owns.
    pub(crate) fn pool_load(&self) -> PoolLoad {
        let mut pool = PoolLoad::default();
        for owner in self.owned.values() {
            pool.add(&owner.load());
        }
        pool
    }

    /// Records the exact loads of the engines that this node owns.
    pub(crate) fn refresh_owned(&self, engines: &mut EngineTable, now: Timestamp) {
        for (name, owner) in &self.owned {
            engines.record_load(name, owner.load(), now);
        }
    }

    /// Address of an engine.
    pub(crate) fn address(&self, engine: &EngineName) -> Option<SocketAddr> {
        self.configured
            .get(engine)
            .map(|configured| configured.address)
    }

    /// Number of engines in the configuration.
    pub(crate) fn len(&self) -> usize {
        self.configured.len()
    }

    /// Number of engines that this node owns.
    pub(crate) fn owned_count(&self) -> usize {
        self.owned.len()
    }

    /// Number of granted non-interactive requests, and number of all granted requests, at the
    /// engines that this node owns.
    pub(crate) fn grant_counts(&self) -> (usize, usize) {
        let counts = self.owned.values().map(Owner::grant_counts);
        counts.fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
    }

    /// Usage of each group at the engines that this node owns. Every group counts as waiting while
    /// any of these engines has a queue.
    pub(crate) fn usage(&self) -> Vec<GroupUsage> {
        let waiting = self.owned.values().any(Owner::has_waiting);
        let usage = self.usage.iter().map(|(group, served)| GroupUsage {
            group: group.clone(),
            served,
            waiting,
        });
        usage.collect()
    }

    /// Applies a new configuration.
    pub(crate) fn reconfigure(&mut self, engines: &mut EngineTable, context: &mut Context<'_>) {
        let machines = context.catalogue.machines();
        let is_engine = |(_, machine): &(&str, &MachineSpec)| machine.role == MachineRole::Engine;
        let honours_leaving = !context.parameters.mutations.is_on(Mutation::IgnoreLeaving);
        self.configured = machines
            .filter(is_engine)
            .map(|(name, machine)| {
                let configured = EngineConfig {
                    address: machine.address,
                    zone: machine.locality.zone.clone(),
                    leaving: machine.leaving && honours_leaving,
                };
                (EngineName::new(name), configured)
            })
            .collect();
        self.load_order.clear();
        let models: BTreeMap<ModelName, WeightVersion> = context
            .catalogue
            .newest_versions()
            .into_keys()
            .map(|model| (model, WeightVersion(u64::MAX)))
            .collect();
        let views = self.configured.iter().map(|(name, configured)| {
            let mut view = EngineView::new(name.clone(), configured.zone.clone());
            view.models = models.clone();
            view.leaving = configured.leaving;
            view
        });
        engines.replace(views.collect(), context.now);
        self.reassign(engines, context);
    }

    /// Reassigns the engines after a change of configuration or membership.
    pub(crate) fn reassign(&mut self, engines: &mut EngineTable, context: &mut Context<'_>) {
        self.owners.clear();
        let names: Vec<EngineName> = self.configured.keys().cloned().collect();
        let local_zone = &context.membership.local().locality.zone;
        let zones: std::collections::BTreeSet<&ZoneName> = context
            .working
            .members
            .iter()
            .map(|member| &member.locality.zone)
            .collect();
        for name in names {
            let zone = &self.configured[&name].zone;
            let may_be_owned = zone == local_zone || !zones.contains(zone);
            let is_owned =
                may_be_owned && self.owner(&name, context).as_ref() == Some(context.node_name);
            match self.owned.get_mut(&name) {
                Some(owner) if is_owned => owner.address = self.configured[&name].address,
                Some(owner) => {
                    owner.refuse_all(RefusalReason::NotOwner, context);
                    self.owned.remove(&name);
                }
                None if is_owned => {
                    let address = self.configured[&name].address;
                    let owner = Owner::new(name.clone(), address, context.now);
                    self.owned.insert(name, owner);
                }
                None => {}
            }
        }
        let configured = &self.configured;
        self.owned.retain(|name, _| configured.contains_key(name));
        let owned = &self.owned;
        engines.set_owned(|name| owned.contains_key(name));
        let weights = context.catalogue.shares();
        for owner in self.owned.values_mut() {
            owner.set_weights(&weights);
        }
    }

    fn is_leaving(&self, engine: &EngineName) -> bool {
        self.configured
            .get(engine)
            .is_none_or(|configured| configured.leaving)
    }

    /// Handles a message to the owner of an engine.
    pub(crate) fn handle(
        &mut self,
        sender: &Sender,
        message: &AdmissionMessage,
        context: &mut Context<'_>,
    ) {
        match message {
            AdmissionMessage::Enqueue { engine, ticket, .. } => {
                let is_leaving = self.is_leaving(engine);
                match self.owned.get_mut(engine) {
                    Some(owner) => owner.enqueue(sender, message, is_leaving, context),
                    None => {
                        let refused = AdmissionMessage::Refused {
                            ticket: *ticket,
                            reason: RefusalReason::NotOwner,
                            load: None,
                        };
                        context.send(&sender.node, PeerMessage::Admission(refused));
                    }
                }
            }
            AdmissionMessage::Release {
                ticket,
                engine,
                served,
                engine_failed,
            } => {
                let ticket_id = TicketId::new(sender, *ticket);
                self.release(&ticket_id, engine, *served, *engine_failed, context);
                let load = self.owned.get(engine).map(Owner::load);
                let released = AdmissionMessage::Released {
                    ticket: *ticket,
                    load,
                };
                context.send(&sender.node, PeerMessage::Admission(released));
            }
            _ => {}
        }
    }

    fn release(
        &mut self,
        ticket: &TicketId,
        engine: &EngineName,
        served: f32,
        engine_failed: bool,
        context: &mut Context<'_>,
    ) {
        let is_leaving = self.is_leaving(engine);
        let Some(owner) = self.owned.get_mut(engine) else {
            return;
        };
        let served = owner.release(ticket, served, engine_failed, is_leaving, context);
        if let Some((group, cost)) = served {
            self.usage.add(&group, cost);
        }
    }

    /// Removes the requests and grants of the processes that `is_gone` selects.
    pub(crate) fn remove_tickets(&mut self, is_gone: impl Fn(&TicketId) -> bool) {
        for owner in self.owned.values_mut() {
            owner.remove_tickets(&is_gone);
        }
    }

    /// Adjusts the groups' counters by the cost that the pool served above their shares.
    pub(crate) fn correct_shares(&mut self, excess: &BTreeMap<GroupName, f64>) {
        let fraction = 1.0 / self.configured.len().max(1) as f64;
        for owner in self.owned.values_mut() {
            owner.correct_shares(excess, fraction);
        }
    }

    /// Handles a report of an engine.
    pub(crate) fn handle_report(
        &mut self,
        engine: &EngineName,
        asked_at: Timestamp,
        report: Option<Box<EngineReport>>,
        context: &mut Context<'_>,
    ) {
        let is_leaving = self.is_leaving(engine);
        let (Some(owner), Some(report)) = (self.owned.get_mut(engine), report) else {
            return;
        };
        owner.handle_report(asked_at, *report, context);
        owner.dispatch(is_leaving, context);
    }

    /// Handles the outcome of an order to an engine.
    pub(crate) fn handle_outcome(
        &mut self,
        engine: &EngineName,
        order: &EngineOrder,
        outcome: &OrderOutcome,
        context: &mut Context<'_>,
    ) {
        let is_leaving = self.is_leaving(engine);
        if let Some(owner) = self.owned.get_mut(engine) {
            owner.handle_outcome(order, outcome, context);
            owner.dispatch(is_leaving, context);
        }
    }

    /// Runs the timers of all engines that this node owns.
    pub(crate) fn tick(&mut self, versions: &Versions, context: &mut Context<'_>) {
        let mut owned = std::mem::take(&mut self.owned);
        for (name, owner) in &mut owned {
            let is_leaving = self.is_leaving(name);
            let mut sources = |model: &ModelName, version: WeightVersion, tries: u32| {
                self.weight_source(
                    name,
                    model,
                    version,
                    tries,
                    context.parameters.weight_roots,
                    context.parameters.weight_fanout,
                )
            };
            owner.tick(is_leaving, versions, &mut sources, context);
            owner.dispatch(is_leaving, context);
            owner.probe_grants(context);
        }
        self.owned = owned;
    }

    /// Source from which an engine loads a version. All nodes compute the same order of engines,
    /// which defines a tree: the first `roots` engines load from the weight store, and each other
    /// engine loads from its parent. After failed tries, an engine loads from further ancestors and
    /// finally from the store.
    fn weight_source(
        &mut self,
        engine: &EngineName,
        model: &ModelName,
        version: WeightVersion,
        tries: u32,
        roots: usize,
        fanout: usize,
    ) -> WeightSource {
        let order = self.load_order(model, version);
        let Some(mut index) = order.iter().position(|name| name == engine) else {
            return WeightSource::Store;
        };
        if tries >= TRIES_BEFORE_STORE {
            return WeightSource::Store;
        }
        for _ in 0..=tries / TRIES_PER_ANCESTOR {
            if index < roots {
                return WeightSource::Store;
            }
            index = (index - roots) / fanout;
        }
        let parent = order[index].clone();
        match self.configured.get(&parent) {
            Some(configured) => WeightSource::Peer {
                engine: parent,
                address: configured.address,
            },
            None => WeightSource::Store,
        }
    }

    /// Engines that are not leaving, in the order in which a version is distributed to them.
    fn load_order(&mut self, model: &ModelName, version: WeightVersion) -> &[EngineName] {
        /// Number of versions whose order is cached.
        const MAX_LOAD_ORDERS: usize = 32;
        while self.load_order.len() > MAX_LOAD_ORDERS {
            self.load_order.pop_first();
        }
        let configured = &self.configured;
        self.load_order
            .entry((model.clone(), version))
            .or_insert_with(|| {
                let mut scored: Vec<(u64, EngineName)> = configured
                    .iter()
                    .filter(|(_, configured)| !configured.leaving)
                    .map(|(name, _)| {
                        let parts = [
                            model.as_str().as_bytes(),
                            &version.0.to_le_bytes(),
                            name.as_str().as_bytes(),
                        ];
                        (stable_hash(&parts), name.clone())
                    })
                    .collect();
                scored.sort();
                scored.into_iter().map(|(_, name)| name).collect()
            })
    }
}
