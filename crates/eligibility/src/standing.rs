//! What the view says of a replica that decides whether requests may go to it.

use crate::clearance::Clearance;
use crate::work::{Unfit, Work};
use brasspond_fleet::{FleetView, ReplicaInfo};
use brasspond_units::Millis;
use brasspond_warmup::Spell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// A replica, as far as it matters to where requests go.
#[derive(Clone, Debug)]
pub struct Standing {
    /// Its identity.
    pub id: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Service it answers for.
    pub service: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Region of its zone; none: unknown.
    pub region: Option<Arc<str>>,
    /// It leaves, or is gone.
    pub draining: bool,
    /// Its zone is evacuated.
    pub is_evacuated: bool,
    /// It is not known yet which zones are evacuated.
    pub is_unknown: bool,
    /// The configuration names its service.
    pub is_named: bool,
    /// Weights that it holds in this life: version by model, none older than was known before.
    pub versions: HashMap<String, u64>,
    /// Whether it warms up, where its service says what it bears then.
    pub warming: Spell,
    /// From when on whoever keeps its budget may send it the next request while it warms
    /// up; the end of time where another process keeps it.
    pub opens_at: Millis,
}

impl Standing {
    /// Of a replica that is seen for the first time.
    pub fn new(info: &ReplicaInfo, view: &FleetView, now: Millis) -> Self {
        let mut standing = Self {
            id: info.id.as_str().into(),
            address: info.address,
            service: info.service.as_str().into(),
            zone: info.zone.as_str().into(),
            region: info.region.clone(),
            draining: false,
            is_evacuated: false,
            is_unknown: false,
            is_named: true,
            versions: HashMap::new(),
            warming: Spell::default(),
            opens_at: Millis::MAX,
        };
        standing.renew(info, view, now);
        standing
    }

    /// Takes what a newer view says.
    pub fn renew(&mut self, info: &ReplicaInfo, view: &FleetView, now: Millis) {
        self.take_place(info);
        self.draining = info.draining;
        self.renew_zone(view);
        self.renew_warming(info, view, now);
        for served in &info.models {
            match self.versions.get_mut(&served.name) {
                Some(known) => *known = (*known).max(served.version),
                None => {
                    self.versions.insert(served.name.clone(), served.version);
                }
            }
        }
    }

    /// Takes from the entry of a life that is lower than the one known what forbids requests,
    /// and nothing that allows any: the lower may yet be the present one.
    pub fn renew_limits(&mut self, info: &ReplicaInfo, view: &FleetView, now: Millis) {
        self.draining |= info.draining;
        self.renew_zone(view);
        if info.warming_ms > 0 {
            self.renew_warming(info, view, now);
        }
    }

    fn renew_zone(&mut self, view: &FleetView) {
        self.is_evacuated = view.is_evacuated(&self.zone);
        self.is_unknown = !view.knows_evacuated();
        self.is_named = view.names_service(&self.service);
    }

    fn renew_warming(&mut self, info: &ReplicaInfo, view: &FleetView, now: Millis) {
        let is_bounded = view.warm_up_of(&info.service).is_some();
        let warming_ms = if is_bounded { info.warming_ms } else { 0 };
        self.warming.observe(warming_ms, info.revision, now);
    }

    /// A replica that starts again under its id may do so elsewhere, and for another service.
    fn take_place(&mut self, info: &ReplicaInfo) {
        self.address = info.address;
        if *self.service != *info.service {
            self.service = info.service.as_str().into();
        }
        if *self.zone != *info.zone {
            self.zone = info.zone.as_str().into();
        }
        if self.region != info.region {
            self.region.clone_from(&info.region);
        }
    }

    /// It started again: what it held and how it warmed up is of the life before.
    pub fn begin_life(&mut self) {
        self.versions.clear();
        self.warming = Spell::default();
    }

    /// Whether it takes new work of its service at all.
    pub fn takes_work(&self) -> bool {
        !self.draining && !self.is_unknown && !self.is_evacuated && self.is_named
    }

    /// Whether a request may go there.
    ///
    /// # Errors
    /// Why it may not; the first reason in the order of [`Unfit`].
    pub fn takes(&self, work: &Work<'_>) -> Result<(), Unfit> {
        if work.is_quarantined {
            return Err(Unfit::Quarantined);
        }
        if *self.service != *work.service || !self.is_named {
            return Err(Unfit::OtherService);
        }
        // Before what may pass: of a replica that may never take the request nothing else matters.
        if !work.regions.allows(self.region.as_deref()) {
            return Err(Unfit::OutsideRegions);
        }
        if self.draining {
            return Err(Unfit::Draining);
        }
        if self.is_unknown {
            return Err(Unfit::ZoneUnknown);
        }
        if self.is_evacuated {
            return Err(Unfit::Evacuated);
        }
        if !self.holds_weights(work) {
            return Err(Unfit::OtherWeights);
        }
        if !self.bears_one_more(work) {
            return Err(Unfit::WarmingUp);
        }
        Ok(())
    }

    /// As [`Standing::takes`], with what opens a connection there.
    ///
    /// # Errors
    /// Why the request may not go there.
    pub fn clear(&self, work: &Work<'_>) -> Result<Clearance, Unfit> {
        self.takes(work)?;
        let clearance = Clearance::new(Arc::clone(&self.id), self.address);
        // With a permit it leaves in time or not at all, also where the replica is taken for
        // warm here: who granted it counts it for that time alone.
        let permit = work.permit.filter(|permit| permit.replica == self.id);
        Ok(clearance.sent_by(permit.map(|permit| permit.send_by)))
    }

    /// Whether it bears the request: it is warm, or the request has leave.
    fn bears_one_more(&self, work: &Work<'_>) -> bool {
        let has_permit = work
            .permit
            .is_some_and(|permit| permit.allows(&self.id, work.now));
        !self.warming.is_on(work.now) || work.now >= self.opens_at || has_permit
    }

    fn holds_weights(&self, work: &Work<'_>) -> bool {
        let Some(weights) = work.weights.filter(|weights| !weights.are_any()) else {
            return true;
        };
        let version = self.versions.get(weights.model);
        version.is_some_and(|version| weights.allow(*version))
    }
}
