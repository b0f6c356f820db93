//! The state of a replica that the eligibility check reads.
//!
//! Each process that makes the check has its own copy of this state and updates it from every newer
//! view of the fleet.

use crate::clearance::Clearance;
use crate::requirements::{Ineligible, Requirements};
use brasspond_fleet::{FleetView, ReplicaInfo, ServedModels};
use brasspond_units::Millis;
use brasspond_warmup::WarmUpPeriod;
use std::net::SocketAddr;
use std::sync::Arc;

/// A replica as a destination of requests, with the state that decides its eligibility.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Id of the replica.
    pub id: Arc<str>,
    /// Address on which the replica listens.
    pub address: SocketAddr,
    /// Name of the service that the replica belongs to.
    pub service: Arc<str>,
    /// Name of the zone of the replica.
    pub zone: Arc<str>,
    /// Name of the region of the zone; `None` if unknown.
    pub region: Option<Arc<str>>,
    /// Whether the replica is draining or gone, so that it gets no new work.
    pub is_draining: bool,
    /// Whether the zone of the replica is evacuated.
    pub is_evacuated: bool,
    /// Whether this process must wait until it knows the evacuated zones.
    pub is_evacuation_unknown: bool,
    /// Whether the configuration defines the service of the replica. True while no configuration is
    /// known.
    pub is_configured: bool,
    /// Newest known version of the weights that the replica serves in its current life, by model.
    pub versions: ServedModels,
    /// Warm-up period. It is active only if the configuration limits the service during warm-up.
    pub warming: WarmUpPeriod,
    /// Time from which the warm-up budget allows the next request, in ms; `Millis::MAX` without a
    /// budget. Only the leader has budgets.
    pub available_at: Millis,
}

impl Endpoint {
    /// Creates the state of a replica that this process did not know before.
    pub fn new(info: &ReplicaInfo, view: &FleetView, now: Millis) -> Self {
        let mut endpoint = Self {
            id: Arc::clone(&info.id),
            address: info.address,
            service: Arc::clone(&info.service),
            zone: Arc::clone(&info.zone),
            region: info.region.clone(),
            is_draining: false,
            is_evacuated: false,
            is_evacuation_unknown: false,
            is_configured: true,
            versions: ServedModels::default(),
            warming: WarmUpPeriod::default(),
            available_at: Millis::MAX,
        };
        endpoint.update(info, view, now);
        endpoint
    }

    /// Applies the replica's entry from a newer view.
    pub fn update(&mut self, info: &ReplicaInfo, view: &FleetView, now: Millis) {
        self.update_location(info);
        self.is_draining = info.draining;
        self.update_zone(view);
        self.update_warm_up(info, view, now);
        self.versions.raise(&info.models);
    }

    /// Applies an entry whose life is lower than the known life. Such an entry is usually outdated,
    /// but it is the current one if the replica's clock was set back. It can therefore mark the
    /// replica as draining or warming up, while an entry without either mark clears neither. The
    /// state of the zone and of the service is taken from the view.
    pub fn update_restrictions(&mut self, info: &ReplicaInfo, view: &FleetView, now: Millis) {
        self.is_draining |= info.draining;
        self.update_zone(view);
        if info.warming_ms > 0 {
            self.update_warm_up(info, view, now);
        }
    }

    fn update_zone(&mut self, view: &FleetView) {
        self.is_evacuated = view.is_evacuated(&self.zone);
        self.is_evacuation_unknown = !view.knows_evacuations();
        self.is_configured = view.defines_service(&self.service);
    }

    fn update_warm_up(&mut self, info: &ReplicaInfo, view: &FleetView, now: Millis) {
        let has_warm_up_limit = view.warm_up_of(&info.service).is_some();
        let warming_ms = if has_warm_up_limit {
            info.warming_ms
        } else {
            0
        };
        self.warming.observe(warming_ms, info.revision, now);
    }

    /// Updates address, service, zone and region, because a replica may restart under the same id
    /// elsewhere and for another service.
    fn update_location(&mut self, info: &ReplicaInfo) {
        self.address = info.address;
        self.service = Arc::clone(&info.service);
        self.zone = Arc::clone(&info.zone);
        self.region.clone_from(&info.region);
    }

    /// Discards the versions and the warm-up period. Called after the replica has restarted.
    pub fn reset(&mut self) {
        self.versions = ServedModels::default();
        self.warming = WarmUpPeriod::default();
    }

    /// Whether the replica accepts any new work of its service, warm-up aside.
    pub fn takes_work(&self) -> bool {
        !self.is_draining && !self.is_evacuation_unknown && !self.is_evacuated && self.is_configured
    }

    /// Checks whether a request may go to this replica.
    ///
    /// # Errors
    /// The replica is ineligible. The error is the first reason in the order of [`Ineligible`].
    pub fn check(&self, required: &Requirements<'_>) -> Result<(), Ineligible> {
        if required.is_quarantined {
            return Err(Ineligible::Quarantined);
        }
        if *self.service != *required.service || !self.is_configured {
            return Err(Ineligible::OtherService);
        }
        // Comes before the temporary reasons, because waiting cannot resolve it.
        if !required.regions.allows(self.region.as_deref()) {
            return Err(Ineligible::OutsideRegions);
        }
        if self.is_draining {
            return Err(Ineligible::Draining);
        }
        if self.is_evacuation_unknown {
            return Err(Ineligible::EvacuationsUnknown);
        }
        if self.is_evacuated {
            return Err(Ineligible::Evacuated);
        }
        if !self.serves_weights(required) {
            return Err(Ineligible::OtherWeights);
        }
        if !self.is_within_warm_up_budget(required) {
            return Err(Ineligible::WarmingUp);
        }
        Ok(())
    }

    /// Makes the same check as [`Endpoint::check`] and returns a clearance for the request.
    ///
    /// # Errors
    /// The replica is ineligible. The error is the first reason in the order of [`Ineligible`].
    pub fn authorize(&self, required: &Requirements<'_>) -> Result<Clearance, Ineligible> {
        self.check(required)?;
        let clearance = Clearance::new(Arc::clone(&self.id), self.address);
        // The leader's budget counts the request only until `send_by`, so the deadline applies even
        // if this process considers the replica warm.
        let permit = required.permit.filter(|permit| permit.replica == self.id);
        Ok(clearance.with_deadline(permit.map(|permit| permit.send_by)))
    }

    /// Whether the replica is warm, or its warm-up budget or a permit allows the request.
    fn is_within_warm_up_budget(&self, required: &Requirements<'_>) -> bool {
        let has_permit = required
            .permit
            .is_some_and(|permit| permit.allows(&self.id, required.now));
        !self.warming.is_active(required.now) || required.now >= self.available_at || has_permit
    }

    /// Whether the replica serves a version of the weights that the request allows.
    fn serves_weights(&self, required: &Requirements<'_>) -> bool {
        let Some(weights) = required.weights.filter(|weights| !weights.allows_any()) else {
            return true;
        };
        let version = self.versions.version_of(weights.model);
        version.is_some_and(|version| weights.allows(version))
    }
}
