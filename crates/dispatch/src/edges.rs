//! Tracks edges and chooses the one that runs an item or makes a scoring call.
//!
//! Owns the leader's state of each edge. `timeouts` decides when an edge misses heartbeats, and
//! `brasspond-distance` computes how far it is from a replica.

use crate::dispatcher::Dispatcher;
use crate::timeouts;
use brasspond_distance::{Distance, Place};
use brasspond_fleet::Regions;
use brasspond_units::Millis;
use brasspond_warmup::{PERMIT_MS, PeerClock};
use std::collections::HashMap;
use std::sync::Arc;

/// Cost of a new connection to a replica, as a number of runs. A connection takes a round trip and
/// processor time at both ends.
const NEW_CONNECTION_COST: usize = 6;
/// Cost of an edge in another zone of the replica's region, as a number of runs. Traffic between
/// zones is charged, so a local edge is preferred until it has some tens of runs more.
const OTHER_ZONE_COST: usize = 40;
/// Cost of an edge in another region than the replica, as a number of runs. It is four times
/// [`OTHER_ZONE_COST`], so that texts cross regions only if all edges in the replica's region are
/// much busier.
const OTHER_REGION_COST: usize = 160;

/// A connected edge.
#[derive(Clone, Debug)]
pub(crate) struct Edge {
    pub zone: String,
    /// Region of its zone, if known.
    pub region: Option<Arc<str>>,
    pub draining: bool,
    /// Number of active runs.
    pub running: usize,
    /// When its last message arrived.
    pub last_seen: Millis,
    /// Number of idle connections of the edge to each replica in its known life, as estimated from
    /// the starts and ends of runs.
    pub idle_connections: HashMap<String, usize>,
    /// Estimate of its clock from the messages since it registered.
    pub clock: PeerClock,
}

impl Edge {
    pub fn new(zone: String, region: Option<Arc<str>>, now: Millis) -> Self {
        Self {
            zone,
            region,
            draining: false,
            running: 0,
            last_seen: now,
            idle_connections: HashMap::new(),
            clock: PeerClock::default(),
        }
    }

    /// Whether the edge accepts work whose bodies must stay in these regions.
    pub fn takes_work(&self, bodies: &Regions) -> bool {
        !self.draining && bodies.allows(self.region.as_deref())
    }

    /// Whether the edge can run an item whose bodies must stay in these regions. A run on a replica
    /// that warms up needs the edge's clock, as it has a deadline for sending.
    pub fn can_run(&self, bodies: &Regions, needs_clock: bool, now: Millis) -> bool {
        let has_clock = !needs_clock || self.send_by(now).is_some();
        has_clock && self.takes_work(bodies)
    }

    /// Whether the edge misses heartbeats.
    pub fn misses_heartbeats(&self, now: Millis) -> bool {
        timeouts::misses_heartbeats(self.last_seen, now)
    }

    /// Deadline, by the edge's clock, for sending a run that is granted now; `None` if the clock is
    /// not known.
    pub fn send_by(&self, now: Millis) -> Option<Millis> {
        let edge_now = self.clock.lower_bound(now)?;
        Some(edge_now + PERMIT_MS)
    }

    fn has_idle_connection(&self, replica: &str) -> bool {
        self.idle_connections
            .get(replica)
            .is_some_and(|idle| *idle > 0)
    }

    /// Counts a run that begins, and uses an idle connection if there is one.
    pub fn begin_run(&mut self, replica: &str) {
        self.running += 1;
        if let Some(idle) = self.idle_connections.get_mut(replica) {
            *idle = idle.saturating_sub(1);
        }
    }

    /// Counts a connection that is idle after its run has ended.
    pub fn add_idle_connection(&mut self, replica: &str) {
        *self
            .idle_connections
            .entry(replica.to_string())
            .or_default() += 1;
    }
}

/// Cost of running an item through an edge, as a number of runs. `running` is the number of the
/// edge's runs, and `distance` the distance from the edge to the replica. `opens_connection` states
/// that the edge has no idle connection to the replica.
fn edge_cost(running: usize, distance: Distance, opens_connection: bool) -> usize {
    let distance_cost = match distance {
        Distance::SameZone => 0,
        Distance::SameRegion => OTHER_ZONE_COST,
        Distance::OtherRegion => OTHER_REGION_COST,
    };
    let connection_cost = if opens_connection {
        NEW_CONNECTION_COST
    } else {
        0
    };
    running + distance_cost + connection_cost
}

impl Dispatcher {
    /// Chooses the edge with the lowest [`edge_cost`] among the edges that accept the item's
    /// `bodies`. An edge that misses heartbeats is chosen only if all of them do. For a replica
    /// that warms up, only edges whose clock is known are considered, as the run has a deadline for
    /// sending. Returns `None` if no edge may run the item now.
    pub(crate) fn choose_edge(
        &self,
        replica: &str,
        bodies: &Regions,
        now: Millis,
    ) -> Option<String> {
        let known = self.replicas.by_id.get(replica)?;
        let endpoint = &known.endpoint;
        let place = Place::new(&endpoint.zone, endpoint.region.clone());
        let needs_clock = known.has_budget(now);
        let candidates = self.edges.iter();
        let candidates = candidates.filter(|(_, edge)| edge.can_run(bodies, needs_clock, now));
        let best = candidates.min_by_key(|(_, edge)| {
            let distance = place.distance_to(&edge.zone, edge.region.as_deref());
            let opens_connection = !edge.has_idle_connection(replica);
            let cost = edge_cost(edge.running, distance, opens_connection);
            (edge.misses_heartbeats(now), cost)
        });
        best.map(|(machine, _)| machine.clone())
    }

    /// Whether an edge can run an item whose bodies must stay in these regions.
    pub(crate) fn has_edge_for(&self, bodies: &Regions, needs_clock: bool, now: Millis) -> bool {
        let mut edges = self.edges.values();
        edges.any(|edge| edge.can_run(bodies, needs_clock, now))
    }

    /// Chooses the edge with the fewest runs and scoring calls among the edges that accept
    /// `bodies`. An edge that misses heartbeats is chosen only if all of them do. Scoring calls are
    /// counted so that the texts of a failed edge are divided among the other edges.
    pub(crate) fn choose_scoring_edge(&self, bodies: &Regions, now: Millis) -> Option<String> {
        let candidates = self.edges.iter();
        let candidates = candidates.filter(|(_, edge)| edge.takes_work(bodies));
        let best = candidates.min_by_key(|(machine, edge)| {
            let calls = self.scorings.at_edge(machine);
            (edge.misses_heartbeats(now), edge.running + calls)
        });
        best.map(|(machine, _)| machine.clone())
    }

    /// Whether an edge is in these regions, so that it may receive bodies that must stay in them.
    pub(crate) fn is_edge_allowed(&self, machine: &str, bodies: &Regions) -> bool {
        let edge = self.edges.get(machine);
        let region = edge.and_then(|edge| edge.region.as_deref());
        bodies.allows(region)
    }

    /// Records that a message from an edge arrived.
    pub fn record_edge_message(&mut self, machine: &str, now: Millis) {
        if let Some(edge) = self.edges.get_mut(machine) {
            edge.last_seen = now;
        }
    }

    /// Lower bound of an edge's clock, in ms since the edge started; `None` if it is not known.
    pub fn edge_clock(&self, machine: &str, now: Millis) -> Option<Millis> {
        self.edges.get(machine)?.clock.lower_bound(now)
    }

    /// Updates the estimate of an edge's clock with `edge_time`, the time at which the edge sent a
    /// message in ms since it started.
    pub fn observe_edge_clock(&mut self, machine: &str, edge_time: Millis, now: Millis) {
        if let Some(edge) = self.edges.get_mut(machine) {
            edge.clock.observe(edge_time, now);
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/edges.rs"]
mod tests;
