//! Tracks each replica's load, pace and faults.
//!
//! Owns the replicas by id, their lives and the pace statistics of each service. A pace is the time
//! that a replica takes per event of a stream. `brasspond-eligibility` decides which work a replica
//! accepts, `warming` limits requests to replicas that warm up, and `slowdown` estimates how paces
//! depend on utilization.

use crate::retry;
use crate::service_capacity::UsableServices;
use crate::slowdown::{Means, Slowdown};
use crate::warming::Warming;
use brasspond_eligibility::{Endpoint, Requirements, VersionConstraint};
use brasspond_fleet::{FleetView, Lives, Regions, ReplicaInfo, ServedModel, shared_name};
use brasspond_units::Millis;
use brasspond_warmup::Budget;
use std::collections::{BTreeMap, HashMap};

/// Weight of a new pace in the moving average, 0 to 1. After five reports, earlier paces count for
/// less than a fifth.
const PACE_WEIGHT: f64 = 0.3;
/// Time after a load of weights in which reported paces may still include the pause that it caused,
/// in ms: an edge's report interval (250 ms) and the delivery of the report.
const PACE_SETTLE_TIME_MS: Millis = 400;

/// State of a replica. `Replica::begin_life` resets the fields that belong to one life. `running`,
/// `budget`, `budget_until` and `was_listed` survive a restart, and `slots` and `is_departing` come
/// from the replica's newest entry in the view.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    /// Decides whether the replica accepts work.
    pub endpoint: Endpoint,
    /// Number of concurrent runs.
    pub slots: usize,
    /// The replica has been given notice that it will be shut down.
    pub is_departing: bool,
    /// Number of runs that were sent to the replica and have not ended.
    pub running: usize,
    /// Time per event without other runs, in ms; `None` before any pace is known.
    pub event_ms: Option<f64>,
    /// Mean pace and utilization; `None` before any pace is known.
    pub means: Option<Means>,
    /// Number of faults since the last recorded pace.
    pub faults: u32,
    /// End of the pause after a fault.
    pub paused_until: Millis,
    /// Paces reported before this time are ignored: the replica was loading or warming up.
    pub pace_valid_from: Millis,
    /// Requests allowed while it warms up; `None` if it never warmed up or its service sets no
    /// limit.
    pub budget: Option<Budget>,
    /// When the budget stops applying.
    pub budget_until: Millis,
    /// A view has listed the replica, so it may have been sent requests.
    pub was_listed: bool,
}

/// All replicas by id.
#[derive(Debug, Default)]
pub(crate) struct Replicas {
    pub by_id: BTreeMap<String, Replica>,
    /// Median time per event by service in ms, as of the last tick.
    medians: HashMap<String, f64>,
    /// How paces depend on utilization, by service.
    slowdowns: HashMap<String, Slowdown>,
    /// Replicas that warm up and the grants to them.
    pub warming: Warming,
    /// The newest known life of each replica.
    pub lives: Lives,
    /// Services that can run items, as of the last tick or change of the view. Not updated while no
    /// route is divided.
    pub usable: UsableServices,
}

/// Constraints of a run on its replica.
#[derive(Clone, Copy)]
pub(crate) struct RunConstraints<'a> {
    pub service: &'a str,
    pub regions: &'a Regions,
    pub model: &'a str,
    pub min_version: u64,
    /// The only version that may continue the text, if a single version must generate all of it.
    pub exact_version: Option<u64>,
}

impl<'a> RunConstraints<'a> {
    /// Converts the constraints for the eligibility check. Items are not subject to the quarantine,
    /// so `is_quarantined` is always false.
    pub fn requirements(&self, now: Millis) -> Requirements<'a> {
        Requirements {
            service: self.service,
            regions: self.regions,
            weights: Some(VersionConstraint {
                model: self.model,
                min: self.min_version,
                exact: self.exact_version,
            }),
            is_quarantined: false,
            now,
            permit: None,
        }
    }
}

impl Replicas {
    /// Applies a newer view, after the lives in its entries were observed. An entry of an earlier
    /// life can only add restrictions. A replica without an entry is marked as draining and kept
    /// while it has runs or grants that count against its budget.
    pub fn apply_view(&mut self, view: &FleetView, now: Millis) {
        let unknown_until = self.unknown_until(now);
        self.by_id.retain(|id, replica| {
            let is_listed = view.replicas.contains_key(&**id);
            if !is_listed {
                replica.endpoint.is_draining = true;
            }
            is_listed || replica.running > 0 || replica.has_counted_grants(now)
        });
        for (id, info) in view.replicas.iter() {
            if !self.lives.may_be_known_life(id, info.life) {
                if let Some(known) = self.by_id.get_mut(&**id) {
                    known.endpoint.update_restrictions(info, view, now);
                    known.update_budget(view, unknown_until, now);
                }
                continue;
            }
            let replica = match self.by_id.get_mut(&**id) {
                Some(known) => known,
                None => {
                    let replica = Replica::new(info, view, now);
                    self.by_id.entry(id.to_string()).or_insert(replica)
                }
            };
            replica.endpoint.update(info, view, now);
            replica.update_budget(view, unknown_until, now);
            replica.was_listed = true;
            replica.is_departing = info.notice_ms.is_some();
            replica.slots = info.slots as usize;
        }
        self.index_budgets(now);
        self.update_usable(view, now);
    }

    /// The slowdown of a service; the prior estimate before any pace is known.
    pub fn slowdown(&self, service: &str) -> Slowdown {
        self.slowdowns.get(service).copied().unwrap_or_default()
    }

    /// Expected time per event with `additional_runs` more runs, in ms; `None` before any pace of
    /// the service is known.
    pub fn expected_event_ms(&self, replica: &Replica, additional_runs: usize) -> Option<f64> {
        let median = self.median_event_ms(&replica.endpoint.service);
        let event_ms = replica.event_ms.or(median)?;
        let utilization = (replica.running + additional_runs) as f64 / replica.slots.max(1) as f64;
        Some(event_ms * self.slowdown(&replica.endpoint.service).factor(utilization))
    }

    /// Median time per event over the replicas of a service, in ms, as of the last tick.
    pub fn median_event_ms(&self, service: &str) -> Option<f64> {
        self.medians.get(service).copied()
    }

    /// Computes the median times per event. Called once per tick, as it needs a pass over the
    /// fleet.
    pub fn update_medians(&mut self) {
        let mut paces: HashMap<&str, Vec<f64>> = HashMap::new();
        for replica in self.by_id.values() {
            if let Some(event_ms) = replica.event_ms {
                paces
                    .entry(&replica.endpoint.service)
                    .or_default()
                    .push(event_ms);
            }
        }
        let medians = paces.into_iter().map(|(service, mut paces)| {
            paces.sort_by(f64::total_cmp);
            (service.to_string(), paces[paces.len() / 2])
        });
        self.medians = medians.collect();
    }

    /// Records a pace in ms per event and resets the replica's faults. Ignores paces that a load or
    /// a warm-up may have distorted.
    pub fn record_pace(&mut self, id: &str, event_ms: f64, now: Millis) {
        let Some(replica) = self.by_id.get_mut(id) else {
            return;
        };
        if now < replica.pace_valid_from {
            return;
        }
        let utilization = replica.utilization();
        let service = &*replica.endpoint.service;
        let slowdown = match self.slowdowns.get_mut(service) {
            Some(slowdown) => slowdown,
            None => self.slowdowns.entry(service.to_string()).or_default(),
        };
        slowdown.observe(&mut replica.means, event_ms, utilization);
        let empty_event_ms = event_ms / slowdown.factor(utilization);
        let known = replica.event_ms.unwrap_or(empty_event_ms);
        replica.event_ms = Some(known + PACE_WEIGHT * (empty_event_ms - known));
        replica.faults = 0;
    }

    /// Records a fault and pauses the replica, longer after each further fault.
    pub fn record_fault(&mut self, id: &str, now: Millis) {
        if let Some(replica) = self.by_id.get_mut(id) {
            replica.paused_until = now + retry::fault_pause(replica.faults);
            replica.faults += 1;
        }
    }

    /// Replaces the known versions of a replica with those that its new life reported.
    pub fn replace_versions(&mut self, id: &str, reported: &[(String, u64)]) {
        if let Some(replica) = self.by_id.get_mut(id) {
            let served = reported.iter().map(|(model, version)| ServedModel {
                name: shared_name(model),
                version: *version,
            });
            replica.endpoint.versions = served.collect();
        }
    }

    /// Removes a model's known version if it is `version` or newer, after the replica answered that
    /// its weights are too old: it may have restarted without reporting a life. Otherwise items
    /// would be sent to the replica again and no load would become due.
    pub fn forget_version(&mut self, id: &str, model: &str, version: u64) {
        if let Some(replica) = self.by_id.get_mut(id) {
            let versions = &mut replica.endpoint.versions;
            let known = versions.version_of(model);
            if known.is_some_and(|known| known >= version) {
                versions.remove(model);
            }
        }
    }

    /// Records a loaded version. Paces are ignored for [`PACE_SETTLE_TIME_MS`], as the load paused
    /// the replica's runs.
    pub fn set_version(&mut self, id: &str, model: &str, version: u64, now: Millis) {
        if let Some(replica) = self.by_id.get_mut(id) {
            replica.pace_valid_from = now + PACE_SETTLE_TIME_MS;
            let versions = &mut replica.endpoint.versions;
            versions.set(model, version);
        }
    }
}

impl Replica {
    fn new(info: &ReplicaInfo, view: &FleetView, now: Millis) -> Self {
        Self {
            endpoint: Endpoint::new(info, view, now),
            slots: info.slots as usize,
            is_departing: false,
            running: 0,
            event_ms: None,
            means: None,
            faults: 0,
            paused_until: 0,
            pace_valid_from: 0,
            budget: None,
            budget_until: 0,
            was_listed: false,
        }
    }

    /// Number of runs divided by slots; above 1 if a new leader adopts more runs than slots.
    pub fn utilization(&self) -> f64 {
        self.running as f64 / self.slots.max(1) as f64
    }

    /// Whether the replica is paused after a fault.
    pub fn is_paused(&self, now: Millis) -> bool {
        now < self.paused_until
    }

    /// Number of slots without a run, whether or not the replica accepts runs now.
    pub fn free_slots(&self) -> usize {
        self.slots.saturating_sub(self.running)
    }

    /// The served version of a model; 0 if the replica does not serve the model.
    pub fn version_of(&self, model: &str) -> u64 {
        self.endpoint.versions.version_of(model).unwrap_or(0)
    }
}
