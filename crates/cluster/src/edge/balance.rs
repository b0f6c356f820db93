//! Load balancing: chooses the replica with the shortest expected response time.
//!
//! Keeps the statistics that this edge observes for each replica (requests in flight, response
//! times, faults, reported load) and the newest known life of each, where a life lasts from a start
//! of the replica's process to its end. The fleet view supplies locations and capacity, the links
//! supply round-trip times.

mod hedges;
mod overload;
mod subset;
mod view_changes;

pub(super) use view_changes::{ChangedReplicas, ViewChange};

use subset::{Preference, RecentRequests, Scope};

use super::load_report::LoadReport;
use super::replica_state::{ReplicaState, SharedLoad, expected_response_ms};
use super::response_time::median;
use super::service_load::ServiceLoad;
use crate::clock::Moment;
use crate::link::LinkContext;
use brasspond_distance::Distance;
use brasspond_eligibility::{Clearance, Endpoint, Ineligible, Requirements};
use brasspond_fleet::{Identity, Lives};
use brasspond_replica_load::{ObservationRecorder, ReplicaLoad};
use rand::Rng;
use std::cell::Cell;
use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Minimum network cost in ms by distance (same zone, same region, other region). It replaces a
/// shorter round-trip time, because traffic between zones and regions is billed and fails more
/// often.
const MIN_NETWORK_COST_MS: [f64; 3] = [0.0, 3.0, 5.0];
/// Ratio to the shortest expected response time up to which a replica is chosen as well. Edges that
/// all chose the shortest one would send their requests to the same replica.
const NEAR_BEST_RATIO: f64 = 1.2;
/// Number of requests of which one does not avoid the replicas that fail at other edges.
const FAILING_TRIAL_INTERVAL: u32 = 8;

/// A replica that may take a request.
struct Candidate<'a> {
    /// Whether it was tried, is paused, and is avoided because it fails at other edges.
    rank: (bool, bool, bool),
    expected_ms: f64,
    distance: Distance,
    /// Position in this edge's own order; 0 unless a subset is chosen.
    preference: u64,
    endpoint: &'a Endpoint,
}

impl Candidate<'_> {
    /// Orders the preferred candidate first.
    fn compare(one: &Self, other: &Self) -> Ordering {
        let order = one.rank.cmp(&other.rank);
        order
            .then_with(|| one.expected_ms.total_cmp(&other.expected_ms))
            .then_with(|| one.preference.cmp(&other.preference))
            .then_with(|| one.endpoint.id.cmp(&other.endpoint.id))
    }
}

/// Draws one of the candidates of the best rank whose time is near the shortest one.
fn draw_near_best(mut candidates: Vec<Candidate<'_>>) -> Option<Candidate<'_>> {
    let best = candidates
        .iter()
        .min_by(|one, other| Candidate::compare(one, other))?;
    let (rank, limit_ms) = (best.rank, best.expected_ms * NEAR_BEST_RATIO);
    candidates.retain(|one| one.rank == rank && one.expected_ms <= limit_ms);
    let drawn = rand::rng().random_range(0..candidates.len());
    Some(candidates.swap_remove(drawn))
}

/// Chooses replicas among all those of the fleet view.
pub(super) struct LoadBalancer {
    /// Location of this edge and measured round-trip times.
    links: Rc<LinkContext>,
    replicas: HashMap<Arc<str>, ReplicaState>,
    /// Number of replicas that accept work.
    ready: usize,
    /// Typical response time in ms by service: the median of the replicas' recent averages.
    typical_ms: HashMap<Arc<str>, f64>,
    /// Reported utilization by service.
    service_loads: HashMap<Arc<str>, ServiceLoad>,
    /// Answers and faults that were not reported to the leader yet.
    pub observations: ObservationRecorder,
    /// Number of choices in which a replica was eligible that fails at other edges.
    failing_choices: Cell<u32>,
    /// Recent requests by service, which decide the sizes of the subsets.
    recent_requests: HashMap<Arc<str>, RecentRequests>,
    /// Order in which this edge prefers replicas.
    preference: Preference,
    /// Number of choices in which a subset was used.
    subset_choices: Cell<u32>,
    /// Newest known life of each replica.
    lives: Lives,
    /// When the lives of removed replicas were last dropped, in ms.
    lives_pruned_at: u64,
}

impl LoadBalancer {
    pub fn new(links: Rc<LinkContext>) -> Self {
        Self {
            links,
            replicas: HashMap::new(),
            ready: 0,
            typical_ms: HashMap::new(),
            service_loads: HashMap::new(),
            observations: ObservationRecorder::default(),
            failing_choices: Cell::new(0),
            recent_requests: HashMap::new(),
            preference: Preference::random(),
            subset_choices: Cell::new(0),
            lives: Lives::default(),
            lives_pruned_at: 0,
        }
    }

    /// Chooses the replica for a request and returns its clearance, or `None` if no replica may
    /// take the request.
    ///
    /// Untried replicas are preferred over tried ones, then active over paused ones, then those
    /// that do not fail at other edges, then shorter expected response times. If the speed of an
    /// eligible replica is known, one of those with nearly the shortest time is drawn at random;
    /// otherwise ties are broken by id to keep the choice deterministic. An edge that sends few
    /// requests chooses among a subset of the replicas ([`subset`]).
    pub fn choose(
        &self,
        requirements: &Requirements<'_>,
        tried: &[String],
        now: Moment,
    ) -> Option<Clearance> {
        let eligible = self.eligible(requirements).collect();
        self.choose_among(eligible, requirements, tried, now)
    }

    /// Replicas that may take a request.
    fn eligible(&self, requirements: &Requirements<'_>) -> impl Iterator<Item = &ReplicaState> {
        let states = self.replicas.values();
        states.filter(|state| state.endpoint.check(requirements).is_ok())
    }

    /// Chooses among eligible replicas, see [`Self::choose`].
    fn choose_among(
        &self,
        eligible: Vec<&ReplicaState>,
        requirements: &Requirements<'_>,
        tried: &[String],
        now: Moment,
    ) -> Option<Clearance> {
        let has_known_speeds = eligible.iter().any(|state| state.has_known_speed(now));
        let avoids_failing = self.avoids_failing(&eligible, now);
        let scope = self.scope(requirements.service, eligible.len(), now);
        let is_subset = matches!(scope, Scope::Subset(_));
        let ranked = eligible.into_iter().map(|state| {
            let is_tried = tried.iter().any(|id| **id == *state.endpoint.id);
            let is_avoided = avoids_failing && state.is_failing(now);
            Candidate {
                rank: (is_tried, state.is_paused(now), is_avoided),
                expected_ms: self.expected_ms(state, has_known_speeds || is_subset, now),
                distance: state.distance,
                preference: 0,
                endpoint: &state.endpoint,
            }
        });
        let mut candidates: Vec<Candidate<'_>> = ranked.collect();
        if let Scope::Subset(size) = scope {
            candidates = self.keep_subset(candidates, size);
        }
        let chosen = if has_known_speeds || scope == Scope::Exploration {
            draw_near_best(candidates)
        } else {
            candidates.into_iter().min_by(Candidate::compare)
        };
        chosen?.endpoint.authorize(requirements).ok()
    }

    /// Whether a request avoids the replicas that fail at other edges. One request in
    /// [`FAILING_TRIAL_INTERVAL`] does not, so that their recovery is detected.
    fn avoids_failing(&self, eligible: &[&ReplicaState], now: Moment) -> bool {
        if !eligible.iter().any(|state| state.is_failing(now)) {
            return false;
        }
        let count = self.failing_choices.get().wrapping_add(1);
        self.failing_choices.set(count);
        !count.is_multiple_of(FAILING_TRIAL_INTERVAL)
    }

    /// Shortest estimated wait for a slot of an eligible replica; `None` if no replica is eligible.
    /// Assumes that all slots are in use.
    pub fn time_to_free_slot(
        &self,
        requirements: &Requirements<'_>,
        now: Moment,
    ) -> Option<Duration> {
        let replicas = self.eligible(requirements);
        replicas.map(|state| state.time_to_free_slot(now)).min()
    }

    /// Whether an eligible replica has capacity for scoring calls.
    pub fn has_spare_capacity(&self, requirements: &Requirements<'_>, now: Moment) -> bool {
        let mut replicas = self.eligible(requirements);
        replicas.any(|state| state.has_spare_capacity(self.utilization_of(state, now), now))
    }

    /// Whether all slots of a replica are in use; false for an unknown replica.
    pub fn is_full(&self, id: &str, now: Moment) -> bool {
        let state = self.replicas.get(id);
        state.is_some_and(|state| state.requests(now) >= state.slots)
    }

    /// Whether any replica is ineligible only because it is warming up.
    pub fn has_warming_replica(&self, requirements: &Requirements<'_>) -> bool {
        let mut replicas = self.replicas.values();
        replicas.any(|state| state.endpoint.check(requirements) == Err(Ineligible::WarmingUp))
    }

    /// Expected response time of a replica, in ms.
    fn expected_ms(&self, state: &ReplicaState, has_known_speeds: bool, now: Moment) -> f64 {
        let round_trip_ms = self.round_trip_ms(state.distance);
        let network_ms = round_trip_ms.max(MIN_NETWORK_COST_MS[state.distance as usize]);
        let typical_ms = self.typical_ms.get(&state.endpoint.service).copied();
        let response_ms = state.idle_response_ms(typical_ms, has_known_speeds, now);
        expected_response_ms(response_ms, state.requests(now), state.slots, network_ms)
    }

    /// Computes the typical response times of all services. A service without recent answers keeps
    /// its last one. The cost is linear in the number of replicas, so this is not done per request.
    pub fn update_typical_times(&mut self, now: Moment) {
        let mut times: HashMap<&Arc<str>, Vec<f64>> = HashMap::new();
        for state in self.replicas.values() {
            if let Some(mean_ms) = state.response.recent_mean_ms(now) {
                let service = times.entry(&state.endpoint.service);
                service.or_default().push(mean_ms);
            }
        }
        for (service, times) in times {
            if let Some(typical_ms) = median(times) {
                self.typical_ms.insert(Arc::clone(service), typical_ms);
            }
        }
    }

    /// Round-trip time to another zone, in ms; 0 within the zone.
    fn round_trip_ms(&self, distance: Distance) -> f64 {
        match distance {
            Distance::SameZone => 0.0,
            farther => self.links.round_trip_ms(farther),
        }
    }

    /// Distance to a replica; `None` if the replica is unknown.
    pub fn distance(&self, id: &str) -> Option<Distance> {
        self.replicas.get(id).map(|state| state.distance)
    }

    /// Number of replicas that accept work.
    pub fn ready(&self) -> usize {
        self.ready
    }

    /// State that decides the eligibility of a replica; `None` if the replica is unknown.
    pub fn endpoint(&self, id: &str) -> Option<&Endpoint> {
        self.replicas.get(id).map(|state| &state.endpoint)
    }

    /// Whether a replica reported a life with an earlier start than the known life. It may be the
    /// current one if the replica's clock was set back.
    pub fn has_uncertain_lives(&self) -> bool {
        self.lives.is_uncertain()
    }

    /// Identity of a replica in its newest known life.
    pub fn identity(&self, id: &str) -> Identity {
        self.lives.identity(id)
    }

    /// Why no replica takes a request: the last applicable reason in the order of [`Ineligible`],
    /// and the number of replicas it applies to. `None` if no replica is known.
    pub fn refusal_reason(&self, requirements: &Requirements<'_>) -> Option<(Ineligible, usize)> {
        let mut reasons: BTreeMap<Ineligible, usize> = BTreeMap::new();
        for state in self.replicas.values() {
            if let Err(reason) = state.endpoint.check(requirements) {
                *reasons.entry(reason).or_default() += 1;
            }
        }
        reasons.into_iter().next_back()
    }

    /// Adds a request to those in flight to a replica.
    pub fn begin_request(&mut self, id: &str) {
        let Some(state) = self.replicas.get_mut(id) else {
            return;
        };
        state.in_flight += 1;
        let now = Moment::now();
        let service = Arc::clone(&state.endpoint.service);
        let recent = self.recent_requests.entry(service);
        recent.or_insert_with(|| RecentRequests::new(now)).add(now);
    }

    /// Removes a request from those in flight to a replica.
    pub fn end_request(&mut self, id: &str) {
        if let Some(state) = self.replicas.get_mut(id) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Records the response time of an attempt that began at `started`.
    pub fn record_response(&mut self, id: &str, started: Moment, time: Duration) {
        if let Some(state) = self.current_state(id, started) {
            let time_ms = state.record_response(id, started, time);
            let (replica, distance) = (Arc::clone(&state.endpoint.id), state.distance);
            // Edges at other distances are told the time of the replica itself.
            let own_ms = (time_ms - self.round_trip_ms(distance)).max(0.0);
            self.observations.record_answer(&replica, own_ms);
        }
    }

    /// Records the load that a replica reported.
    pub fn record_load(&mut self, id: &str, report: &LoadReport) {
        if let Some(state) = self.replicas.get_mut(id) {
            let now = Moment::now();
            state.record_load(report, now);
            let utilization = f64::from(report.requests()) / f64::from(state.slots.max(1));
            let service = Arc::clone(&state.endpoint.service);
            let load = self.service_loads.entry(service).or_default();
            load.record(utilization, now);
        }
    }

    /// Utilization of the replicas of a replica's service; `None` if it is not known.
    fn utilization_of(&self, state: &ReplicaState, now: Moment) -> Option<f64> {
        let load = self.service_loads.get(&state.endpoint.service)?;
        load.utilization(now)
    }

    /// Applies the leader's list of all deviating replicas, which replaces the previous one.
    pub fn apply_shared_loads(&mut self, loads: &[ReplicaLoad], now: Moment) {
        for load in loads {
            let Some(state) = self.replicas.get_mut(&*load.replica) else {
                continue;
            };
            let shared = SharedLoad {
                mean_ms: load.mean_ms.map(f64::from),
                is_failing: load.is_failing,
                received_at: now,
            };
            let before = state.shared.replace(shared);
            if before.is_none_or(|before| before.is_failing != load.is_failing) {
                log::info!(
                    "event=replica_slow_known replica={} mean_ms={} failing={}",
                    load.replica,
                    load.mean_ms.unwrap_or(0),
                    load.is_failing
                );
            }
        }
        for state in self.replicas.values_mut() {
            state.shared = state.shared.filter(|shared| shared.received_at == now);
        }
    }

    /// Number of replicas of which the leader shared something that is not stale.
    pub fn shared_loads(&self, now: Moment) -> usize {
        let replicas = self.replicas.values();
        replicas
            .filter(|state| state.current_shared(now).is_some())
            .count()
    }

    /// Pauses a replica after a fault in an attempt that began at `started`.
    pub fn record_fault(&mut self, id: &str, started: Moment) {
        if let Some(state) = self.current_state(id, started) {
            state.record_fault(id, Moment::now());
            let replica = Arc::clone(&state.endpoint.id);
            self.observations.record_fault(&replica);
        }
    }

    /// State of a replica for the result of an attempt that began at `started`; `None` if the
    /// replica is unknown or has restarted since.
    fn current_state(&mut self, id: &str, started: Moment) -> Option<&mut ReplicaState> {
        let state = self.replicas.get_mut(id)?;
        (started >= state.known_since).then_some(state)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/balance.rs"]
mod tests;
