//! The edge's view of the fleet, merged from the leader and from the view's source.
//!
//! Keeps the merged view, the view as the leader sent it, and the configuration index. Changes
//! are applied to the load balancer, the connection pool and the evacuations.

use super::balance::{ChangedReplicas, ViewChange};
use super::process::{EDGE_TICK, Edge};
use super::starting::FleetKnowledge;
use crate::evacuation::Evacuations;
use crate::platform::Interest;
use brasspond_cluster_protocol::{Message, RunSpec, Watch};
use brasspond_eligibility::{Clearance, Ineligible, Requirements};
use brasspond_fleet::{
    BaseMismatch, CatchUp, ConfigurationIndex, FleetView, Identity, Regions, ViewDelta,
};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Time in which the leader reads the view's source and sends a change, in addition to the source's
/// polling interval.
const LEADER_ANNOUNCE_TIME: Duration = Duration::from_millis(300);

/// What an edge knows about the fleet.
pub(super) struct FleetState {
    pub view: RefCell<FleetView>,
    /// The view as the leader sent it; `None` until the leader sends a full view.
    pub leader_view: RefCell<Option<FleetView>>,
    /// Index of the view's configuration; `None` until a configuration is known.
    pub index: RefCell<Option<Rc<ConfigurationIndex>>>,
    /// Evacuated zones at the last change of the view, to log changes.
    pub evacuations: RefCell<Evacuations>,
    /// How much of the fleet is known. It never decreases.
    pub knowledge: watch::Sender<FleetKnowledge>,
    leader_check: LeaderCheck,
}

/// State of the periodic check whether the leader's view is outdated.
#[derive(Default)]
struct LeaderCheck {
    /// The view at the last check. The leader should have sent all of it by the next check.
    last_view: RefCell<FleetView>,
    ticks: Cell<u32>,
}

impl FleetState {
    /// Creates an empty state. `supports_evacuation` says whether zones may be evacuated.
    pub fn new(supports_evacuation: bool) -> Self {
        Self {
            view: RefCell::new(FleetView::unknown(supports_evacuation)),
            leader_view: RefCell::new(None),
            index: RefCell::new(None),
            evacuations: RefCell::default(),
            knowledge: watch::Sender::new(FleetKnowledge::Nothing),
            leader_check: LeaderCheck::default(),
        }
    }

    /// Applies a delta to the view as the leader sent it. Returns whether the delta's base is
    /// known.
    pub fn apply_leader_delta(&self, delta: &ViewDelta) -> bool {
        let mut leader_view = self.leader_view.borrow_mut();
        match leader_view.as_mut() {
            // Fails if the base differs; a full view is requested then.
            Some(view) => view.apply(delta).is_ok(),
            None => false,
        }
    }

    /// Revision of the replicas that the leader sent; 0 before it sent a full view.
    fn leader_replicas_revision(&self) -> u64 {
        let leader_view = self.leader_view.borrow();
        leader_view
            .as_ref()
            .map_or(0, |view| view.replicas_revision)
    }

    /// Whether the leader has not sent everything that this edge knew at the last check. Records
    /// the current view for the next check.
    fn leader_is_behind(&self) -> bool {
        let before = self
            .leader_check
            .last_view
            .replace(self.view.borrow().clone());
        let leader_view = self.leader_view.borrow();
        leader_view
            .as_ref()
            .is_some_and(|sent| before.is_newer_than(sent))
    }

    /// The message that tells the leader what `view` has and the leader's view lacks. Full views of
    /// 10,000 replicas from 16 edges took a leader more time than there is between them.
    fn report(&self, view: &FleetView, reads_catch_ups: bool) -> Message {
        match &*self.leader_view.borrow() {
            Some(sent) if reads_catch_ups => Message::ViewCatchUp(CatchUp::new(sent, view)),
            _ => Message::View(view.clone()),
        }
    }

    /// Rebuilds the index if the configuration is new.
    fn update_index(&self) {
        let view = self.view.borrow();
        let Some(configuration) = view.configuration.clone() else {
            return;
        };
        let index = self.index.borrow().clone();
        if index.is_none_or(|index| !Arc::ptr_eq(index.configuration(), &configuration)) {
            log::info!(
                "event=configuration_in_force version={} revision={} routes={} tenants={}",
                configuration.version,
                view.configuration_revision,
                configuration.routes.len(),
                configuration.tenants.len()
            );
            let index = ConfigurationIndex::new(configuration);
            self.index.replace(Some(Rc::new(index)));
        }
    }
}

/// Number of ticks between two checks: the source's polling interval and the time to announce a
/// change.
fn ticks_between_checks(source_pause: Duration) -> u32 {
    let time = source_pause + LEADER_ANNOUNCE_TIME;
    time.as_millis().div_ceil(EDGE_TICK.as_millis()) as u32
}

/// Parts of the view's source that a watch covers.
fn interest_of(watch: Watch) -> Interest {
    match watch {
        Watch::Nothing => Interest::NONE,
        Watch::Fleet => Interest {
            configuration: true,
            replicas: true,
            evacuations: true,
            ..Interest::NONE
        },
        Watch::Everything => Interest::ALL,
    }
}

impl Edge {
    /// Merges a view into the edge's view.
    pub(super) fn apply_view(&self, view: &FleetView) {
        let changed = self.fleet.view.borrow_mut().merge(view);
        self.after_view(changed, ChangedReplicas::All);
    }

    /// Merges the leader's full view.
    pub(super) fn apply_leader_view(&self, view: FleetView) {
        self.fleet.leader_view.replace(Some(view.clone()));
        self.apply_view(&view);
    }

    /// Applies a delta that the leader sent. Call [`FleetState::apply_leader_delta`] first.
    ///
    /// # Errors
    /// The base of the delta is not known.
    pub(super) fn apply_delta(&self, delta: &ViewDelta) -> Result<(), BaseMismatch> {
        let leader_view = self.fleet.leader_view.borrow();
        let mut view = self.fleet.view.borrow_mut();
        let changed_replicas = if view.differs_in_replicas_only(delta) {
            ChangedReplicas::Delta(delta)
        } else {
            ChangedReplicas::All
        };
        let changed = view.apply_or_merge(delta, leader_view.as_ref())?;
        drop((view, leader_view));
        self.after_view(changed, changed_replicas);
        Ok(())
    }

    fn after_view(&self, changed: bool, changed_replicas: ChangedReplicas<'_>) {
        if changed {
            self.fleet.update_index();
            self.announce_fleet_known();
            self.apply_replicas(changed_replicas);
        }
    }

    fn apply_replicas(&self, changed: ChangedReplicas<'_>) {
        let view = self.fleet.view.borrow();
        let change = self
            .balancer
            .borrow_mut()
            .apply_view(&view, changed, self.clock.now());
        let ViewChange {
            ready_before,
            restarted,
        } = change;
        self.record_restarts(&restarted);
        self.observe_evacuations(&view);
        let ready = self.balancer.borrow().ready();
        if ready_before != ready {
            log::info!(
                "event=replicas_known revision={} all={} ready={ready} before={ready_before}",
                view.replicas_revision,
                view.replicas.len()
            );
        }
    }

    /// Applies the view's replicas again while a replica reports a life with an earlier start than
    /// the known life. Such a life is accepted after
    /// [`brasspond_fleet::LOWER_LIFE_ACCEPTED_AFTER_MS`] even if no entry changes.
    pub(super) fn reconcile_lives(&self) {
        let is_uncertain = self.balancer.borrow().has_uncertain_lives();
        if is_uncertain {
            self.apply_replicas(ChangedReplicas::All);
        }
    }

    /// Logs restarted replicas and closes idle connections to their previous processes, because
    /// requests on them would time out.
    fn record_restarts(&self, restarted: &[(Identity, SocketAddr)]) {
        for (replica, address) in restarted {
            log::info!(
                "event=replica_reborn replica={} life={} seen_by=edge",
                replica.id,
                replica.life
            );
            self.pool.close_idle(*address);
        }
        self.metrics.replicas_reborn(restarted.len());
    }

    /// Sends the leader what its view lacks if the leader has not announced what this edge knew at
    /// the last check, because the leader's own calls to the source may fail. Only edges that watch
    /// on behalf of the leader do this. A leader of an earlier build is sent the full view.
    pub(super) fn update_stale_leader(&self) {
        if !self.storage.borrow().contact.watches_for_leader() {
            return;
        }
        let ticks = &self.fleet.leader_check.ticks;
        ticks.set(ticks.get() + 1);
        if ticks.get() < ticks_between_checks(self.settings.process.source_pause) {
            return;
        }
        ticks.set(0);
        if self.fleet.leader_is_behind()
            && let Some(leader) = self.storage.borrow().contact.leader()
        {
            let view = self.fleet.view.borrow();
            let reads_catch_ups = self.storage.borrow().leader_reads_catch_ups();
            log::info!(
                "event=leader_told configuration={} replicas_revision={} versions_revision={}",
                view.configuration_revision,
                view.replicas_revision,
                view.versions_revision
            );
            leader
                .writer
                .send(&self.fleet.report(&view, reads_catch_ups));
        }
    }

    /// Checks an ordered run against this edge's view, because the view of a newly elected leader
    /// may be outdated.
    ///
    /// # Errors
    /// Why the replica is not eligible. An unknown replica counts as draining if this edge's view
    /// is newer than the leader's.
    pub(super) fn authorize_run(&self, spec: &RunSpec) -> Result<Clearance, Ineligible> {
        let view = self.fleet.view.borrow();
        let balancer = self.balancer.borrow();
        let Some(endpoint) = balancer.endpoint(&spec.replica) else {
            if !view.knows_evacuations() {
                return Err(Ineligible::EvacuationsUnknown);
            }
            if view.replicas_revision > self.fleet.leader_replicas_revision() {
                return Err(Ineligible::Draining);
            }
            let clearance = Clearance::from_leader(&spec.replica, spec.address);
            return Ok(clearance.with_deadline(spec.send_by));
        };
        let regions = self.regions_of(spec);
        let permit = self.permit_of(spec);
        endpoint.authorize(&Requirements {
            service: &endpoint.service,
            regions: &regions,
            weights: None,
            is_quarantined: false,
            now: self.clock.now(),
            permit: permit.as_ref(),
        })
    }

    /// Regions in which an item may run according to this edge's configuration. If that has no
    /// route for the item, all regions are allowed, because the leader has applied its own
    /// configuration.
    pub(super) fn regions_of(&self, spec: &RunSpec) -> Regions {
        let index = self.fleet.index.borrow();
        let route = index.as_ref().and_then(|index| {
            let route = index.route(&spec.host, &spec.path)?;
            Some(
                index
                    .configuration()
                    .regions_of(route, spec.tenant.as_deref()),
            )
        });
        route.unwrap_or_default()
    }

    /// Sets which parts of the view's source this edge watches.
    pub(super) fn set_interest(&self, now: u64) {
        let contact = &mut self.storage.borrow_mut().contact;
        let watch = contact.effective_watch(now);
        let wanted = Interest {
            is_starting: watch != Watch::Nothing
                && contact.leader().is_none()
                && self.fleet.view.borrow().replicas_revision == 0,
            ..interest_of(watch)
        };
        self.platform.interest.send_if_modified(|interest| {
            let changes = *interest != wanted;
            *interest = wanted;
            changes
        });
    }
}

#[cfg(test)]
#[path = "../../tests/unit/fleet_view.rs"]
mod tests;
