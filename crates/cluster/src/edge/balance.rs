//! Load balancing: chooses the replica with the shortest expected response time.
//!
//! Keeps the statistics that this edge observes for each replica (requests in flight, response
//! times, faults, reported load) and the newest known life of each, where a life lasts from a start
//! of the replica's process to its end. The fleet view supplies locations and capacity, the links
//! supply round-trip times.

mod hedges;
mod overload;

use super::attempts::REPLICA_FAULT_BACKOFF;
use crate::clock::Moment;
use crate::link::LinkContext;
use brasspond_distance::Distance;
use brasspond_eligibility::{Clearance, Endpoint, Ineligible, Requirements};
use brasspond_fleet::{FleetView, Identity, LifeChange, Lives, ReplicaInfo};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Weight of the newest sample in the moving average of response times, from 0 to 1.
const RESPONSE_TIME_WEIGHT: f64 = 0.3;
/// Response time assumed for a replica that has not responded yet, in ms.
const DEFAULT_RESPONSE_MS: f64 = 20.0;
/// Minimum network cost in ms by distance (same zone, same region, other region). It replaces a
/// shorter round-trip time, because traffic between zones and regions is billed and fails more
/// often.
const MIN_NETWORK_COST_MS: [f64; 3] = [0.0, 3.0, 5.0];
/// Utilization of a replica's slots, from 0 to 1, from which scoring calls wait, so that callers'
/// requests find free slots.
const MAX_SCORING_UTILIZATION: f64 = 0.67;
/// Age at which a reported load is considered stale.
const REPORTED_LOAD_TTL: Duration = Duration::from_millis(500);

/// Number of requests of other edges at a replica, computed from its last load report.
#[derive(Clone, Copy, Debug)]
struct OtherEdgesLoad {
    requests: u32,
    reported_at: Moment,
}

/// Statistics of a replica. Response times, faults and pauses are those of its current life; the
/// numbers of requests may include requests of an earlier life.
#[derive(Clone, Debug)]
struct ReplicaState {
    endpoint: Endpoint,
    distance: Distance,
    slots: u32,
    /// Requests that this edge has sent and that have not ended.
    in_flight: u32,
    /// Moving average of response times in ms; `None` before the first response.
    response_ms: Option<f64>,
    /// Consecutive faults.
    faults: u32,
    paused_until: Option<Moment>,
    other_edges: OtherEdgesLoad,
    /// When the replica's current life became known. Results of attempts that began earlier are
    /// ignored.
    known_since: Moment,
}

/// Result of applying a newer view.
#[derive(Debug)]
pub(super) struct ViewChange {
    /// Number of ready replicas before the change.
    pub ready_before: usize,
    /// Replicas that restarted under the same id. The address is that of the previous life, or the
    /// new one if the replica was missing from the previous view.
    pub restarted: Vec<(Identity, SocketAddr)>,
}

impl ReplicaState {
    fn new(info: &ReplicaInfo, view: &FleetView, links: &LinkContext, now: u64) -> Self {
        let known_since = Moment::now();
        Self {
            endpoint: Endpoint::new(info, view, now),
            distance: links.distance_to(&info.zone, info.region.as_deref()),
            slots: info.slots,
            in_flight: 0,
            response_ms: None,
            faults: 0,
            paused_until: None,
            other_edges: OtherEdgesLoad {
                requests: 0,
                reported_at: known_since,
            },
            known_since,
        }
    }

    /// Resets the statistics after a restart. Requests sent to the previous life are still counted
    /// in flight until they end.
    fn reset(&mut self, info: &ReplicaInfo, view: &FleetView, links: &LinkContext, now: u64) {
        let in_flight = self.in_flight;
        *self = Self::new(info, view, links, now);
        self.in_flight = in_flight;
    }

    /// Number of requests at the replica: those of this edge, and those of other edges unless the
    /// load report is stale.
    fn requests(&self, now: Moment) -> u32 {
        let age = now.saturating_duration_since(self.other_edges.reported_at);
        let other_edges = if age < REPORTED_LOAD_TTL {
            self.other_edges.requests
        } else {
            0
        };
        self.in_flight + other_edges
    }

    fn is_paused(&self, now: Moment) -> bool {
        self.paused_until.is_some_and(|until| until > now)
    }

    /// Whether a scoring call may use a slot.
    fn has_spare_capacity(&self, now: Moment) -> bool {
        let limit = f64::from(self.slots.max(1)) * MAX_SCORING_UTILIZATION;
        !self.is_paused(now) && f64::from(self.requests(now)) < limit
    }

    /// Estimated wait for a slot: the remaining pause or the average response time, whichever is
    /// longer. Assumes that all slots are in use.
    fn time_to_free_slot(&self, now: Moment) -> Duration {
        let pause = self
            .paused_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        let response_ms = self.response_ms.unwrap_or(DEFAULT_RESPONSE_MS);
        pause.max(Duration::from_secs_f64(response_ms / 1_000.0))
    }

    fn record_response(&mut self, id: &str, time: Duration) {
        self.response_ms = Some(average_response_ms(self.response_ms, time));
        if self.faults > 0 {
            log::info!(
                "event=replica_recovered replica={id} faults={}",
                self.faults
            );
        }
        self.faults = 0;
        self.paused_until = None;
    }

    fn record_fault(&mut self, id: &str, now: Moment) {
        let pause = REPLICA_FAULT_BACKOFF.pause(self.faults);
        self.faults += 1;
        self.paused_until = Some(now + pause);
        log::info!(
            "event=replica_paused replica={id} faults={} pause_ms={}",
            self.faults,
            pause.as_millis()
        );
    }
}

/// Expected response time of a replica in ms. `response_ms` is its moving average, `requests` the
/// number of its requests, `slots` its concurrency, and `network_ms` the network cost.
///
/// Formula: `response_ms * (1 + requests / slots) + network_ms`. The moving average already
/// contains a round trip; the network cost is added on top to prefer near replicas.
fn expected_response_ms(
    response_ms: Option<f64>,
    requests: u32,
    slots: u32,
    network_ms: f64,
) -> f64 {
    let base_ms = response_ms.unwrap_or(DEFAULT_RESPONSE_MS);
    let rounds = 1.0 + f64::from(requests) / f64::from(slots.max(1));
    base_ms * rounds + network_ms
}

/// Updates the moving average of response times, in ms. The first sample is the average itself.
fn average_response_ms(before: Option<f64>, time: Duration) -> f64 {
    let time = time.as_secs_f64() * 1_000.0;
    let before = before.unwrap_or(time);
    before + RESPONSE_TIME_WEIGHT * (time - before)
}

/// Chooses replicas among all those of the fleet view.
pub(super) struct LoadBalancer {
    /// Location of this edge and measured round-trip times.
    links: Rc<LinkContext>,
    replicas: HashMap<String, ReplicaState>,
    /// Newest known life of each replica.
    lives: Lives,
}

impl LoadBalancer {
    pub fn new(links: Rc<LinkContext>) -> Self {
        Self {
            links,
            replicas: HashMap::new(),
            lives: Lives::default(),
        }
    }

    /// Applies a newer view at `now`, in ms of the edge's clock. An entry from an earlier life of a
    /// replica updates only draining, warm-up, the evacuation of the zone, and whether the service
    /// is configured.
    pub fn apply_view(&mut self, view: &FleetView, now: u64) -> ViewChange {
        let ready_before = self.ready();
        let mut restarted = Vec::new();
        self.replicas.retain(|id, _| view.replicas.contains_key(id));
        self.lives
            .forget_gone(|id| view.replicas.contains_key(id), now);
        let links = &self.links;
        for (id, info) in view.replicas.iter() {
            let change = self.lives.observe_entry(id, info.life, info.revision, now);
            if change == LifeChange::Older {
                if let Some(state) = self.replicas.get_mut(id) {
                    state.endpoint.update_restrictions(info, view, now);
                }
                continue;
            }
            let state = self.replicas.entry(id.clone());
            let state = state.or_insert_with(|| ReplicaState::new(info, view, links, now));
            if matches!(change, LifeChange::Restarted { .. }) {
                restarted.push((self.lives.identity(id), state.endpoint.address));
                state.reset(info, view, links, now);
            }
            state.endpoint.update(info, view, now);
            state.slots = info.slots;
        }
        ViewChange {
            ready_before,
            restarted,
        }
    }

    /// Chooses the replica for a request and returns its clearance, or `None` if no replica may
    /// take the request.
    ///
    /// Untried replicas are preferred over tried ones, then active over paused ones, then shorter
    /// expected response times. Ties are broken by id to keep the choice deterministic.
    pub fn choose(
        &self,
        requirements: &Requirements<'_>,
        tried: &[String],
        now: Moment,
    ) -> Option<Clearance> {
        let ranked = self.replicas.iter().filter_map(|(id, state)| {
            let clearance = state.endpoint.authorize(requirements).ok()?;
            let rank = (tried.contains(id), state.is_paused(now));
            Some((rank, self.expected_ms(state, now), clearance))
        });
        let best = ranked.min_by(|(rank, cost, clearance), (other_rank, other_cost, other)| {
            let order = rank.cmp(other_rank).then(cost.total_cmp(other_cost));
            order.then_with(|| clearance.replica().cmp(other.replica()))
        });
        best.map(|(_, _, clearance)| clearance)
    }

    /// Shortest estimated wait for a slot of an eligible replica; `None` if no replica is eligible.
    /// Assumes that all slots are in use.
    pub fn time_to_free_slot(
        &self,
        requirements: &Requirements<'_>,
        now: Moment,
    ) -> Option<Duration> {
        let replicas = self.replicas.values();
        let replicas = replicas.filter(|state| state.endpoint.check(requirements).is_ok());
        replicas.map(|state| state.time_to_free_slot(now)).min()
    }

    /// Whether an eligible replica has capacity for scoring calls.
    pub fn has_spare_capacity(&self, requirements: &Requirements<'_>, now: Moment) -> bool {
        let mut replicas = self.replicas.values();
        replicas.any(|state| {
            state.endpoint.check(requirements).is_ok() && state.has_spare_capacity(now)
        })
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
    fn expected_ms(&self, state: &ReplicaState, now: Moment) -> f64 {
        let round_trip_ms = match state.distance {
            Distance::SameZone => 0.0,
            farther => self.links.round_trip_ms(farther),
        };
        let network_ms = round_trip_ms.max(MIN_NETWORK_COST_MS[state.distance as usize]);
        expected_response_ms(
            state.response_ms,
            state.requests(now),
            state.slots,
            network_ms,
        )
    }

    /// Distance to a replica; `None` if the replica is unknown.
    pub fn distance(&self, id: &str) -> Option<Distance> {
        self.replicas.get(id).map(|state| state.distance)
    }

    /// Number of replicas that accept work.
    pub fn ready(&self) -> usize {
        let replicas = self.replicas.values();
        replicas.filter(|state| state.endpoint.takes_work()).count()
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
        if let Some(state) = self.replicas.get_mut(id) {
            state.in_flight += 1;
        }
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
            state.record_response(id, time);
        }
    }

    /// Records the load that a replica reported: its running and waiting requests, including those
    /// of this edge.
    pub fn record_load(&mut self, id: &str, running: u32, waiting: u32) {
        if let Some(state) = self.replicas.get_mut(id) {
            state.other_edges = OtherEdgesLoad {
                requests: (running + waiting).saturating_sub(state.in_flight),
                reported_at: Moment::now(),
            };
        }
    }

    /// Pauses a replica after a fault in an attempt that began at `started`.
    pub fn record_fault(&mut self, id: &str, started: Moment) {
        if let Some(state) = self.current_state(id, started) {
            state.record_fault(id, Moment::now());
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
