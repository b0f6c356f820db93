//! Chooses the replica that runs the next waiting item.
//!
//! Keeps one priority queue of replicas for each distinct [`RunConstraints`], cheapest first. A
//! queue is built by one pass over the fleet. All queues are dropped together when they expire
//! ([`REPLICAS_PER_LIFETIME_MS`]), and on changes that may affect any replica. In between, replicas
//! that gain spare capacity or whose state changes are added to every queue.
//!
//! Costs change as runs begin and end, so the cost of the head is computed again before it is
//! chosen; if it now exceeds the cost of the next entry, the head is queued again with its new
//! cost. With `n` replicas, building a queue takes `O(n)` steps, and placing an item then takes
//! `O(log n)` steps unless costs rise sharply in between.

use crate::orders::Orders;
use crate::replicas::{Replica, Replicas, RunConstraints};
use brasspond_fleet::Regions;
use brasspond_units::Millis;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Number of replicas for each ms of the queues' lifetime. In a fleet of `n` replicas, all queues
/// expire after `n / REPLICAS_PER_LIFETIME_MS` ms, which is 500 ms with 3,000 replicas. This bounds
/// the leader's processor time for passes over the fleet. Only a rebuilt queue takes into account
/// that the fault pause of a replica ended or that its pace improved.
const REPLICAS_PER_LIFETIME_MS: u64 = 6;
/// Relative cost added to a replica with another primary model, so that it is chosen only if each
/// replica with the item's primary model is full or costs more than 1.6 times as much.
const OTHER_MODEL_PENALTY: f64 = 0.6;

/// Cost of running an item on a replica. `event_ms` is the time per event at the replica's current
/// utilization; the cost is then in ms per event. If no pace is known in the replica's service, the
/// cost is 1 plus `utilization`, the number of its runs divided by its slots. Another primary model
/// raises the cost in both cases.
fn replica_cost(event_ms: Option<f64>, utilization: f64, has_other_primary: bool) -> f64 {
    let cost = event_ms.unwrap_or(1.0 + utilization);
    let other_model = if has_other_primary {
        OTHER_MODEL_PENALTY
    } else {
        0.0
    };
    cost * (1.0 + other_model)
}

/// An owned [`RunConstraints`], the key of a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ConstraintsKey {
    service: String,
    regions: Regions,
    model: String,
    min_version: u64,
    exact_version: Option<u64>,
}

impl ConstraintsKey {
    fn of(constraints: &RunConstraints<'_>) -> Self {
        Self {
            service: constraints.service.to_string(),
            regions: constraints.regions.clone(),
            model: constraints.model.to_string(),
            min_version: constraints.min_version,
            exact_version: constraints.exact_version,
        }
    }

    fn constraints(&self) -> RunConstraints<'_> {
        RunConstraints {
            service: &self.service,
            regions: &self.regions,
            model: &self.model,
            min_version: self.min_version,
            exact_version: self.exact_version,
        }
    }

    fn matches(&self, constraints: &RunConstraints<'_>) -> bool {
        self.min_version == constraints.min_version
            && self.exact_version == constraints.exact_version
            && self.model == constraints.model
            && self.service == constraints.service
            && self.regions == *constraints.regions
    }
}

/// A queued replica and its cost when it was queued.
#[derive(Clone, Debug, PartialEq)]
struct Candidate {
    cost: f64,
    replica: String,
}

impl Eq for Candidate {}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_cost = self.cost.total_cmp(&other.cost);
        by_cost.then_with(|| self.replica.cmp(&other.replica))
    }
}

type Queue = BinaryHeap<Reverse<Candidate>>;

/// State from which placement derives whether a replica accepts a run and at what cost.
#[derive(Clone, Copy)]
pub(crate) struct PlacementInputs<'a> {
    pub replicas: &'a Replicas,
    pub orders: &'a Orders,
    /// Whether an edge can send to replicas that warm up.
    pub can_send_warming: bool,
    pub now: Millis,
}

impl PlacementInputs<'_> {
    /// Cost of a run on a replica; `None` if the replica does not accept the run.
    fn cost(&self, constraints: &RunConstraints<'_>, id: &str, replica: &Replica) -> Option<f64> {
        let accepts = self.replicas.spare_capacity(replica, self.now) > 0
            && (self.can_send_warming || !replica.has_budget(self.now))
            && replica
                .endpoint
                .check(&constraints.requirements(self.now))
                .is_ok()
            && !self.orders.is_loading(id, constraints.model);
        if !accepts {
            return None;
        }
        let event_ms = self.replicas.expected_event_ms(replica, 0);
        let primary = self.orders.primary_models.get(id);
        let has_other_primary = primary.is_some_and(|model| *model != constraints.model);
        Some(replica_cost(
            event_ms,
            replica.utilization(),
            has_other_primary,
        ))
    }

    fn candidate(&self, constraints: &RunConstraints<'_>, id: &str) -> Option<Candidate> {
        let replica = self.replicas.by_id.get(id)?;
        let cost = self.cost(constraints, id, replica)?;
        let replica = id.to_string();
        Some(Candidate { cost, replica })
    }

    fn build_queue(&self, constraints: &RunConstraints<'_>) -> Queue {
        let replicas = self.replicas.by_id.iter();
        let candidates = replicas.filter_map(|(id, replica)| {
            let cost = self.cost(constraints, id, replica)?;
            let replica = id.clone();
            Some(Reverse(Candidate { cost, replica }))
        });
        candidates.collect()
    }
}

/// Priority queues of replicas, one for each distinct set of constraints.
#[derive(Debug, Default)]
pub(crate) struct ReplicaQueues {
    queues: Vec<(ConstraintsKey, Queue)>,
    /// When the queues last expired; [`Self::clear`] does not change it.
    expired_at: Millis,
    /// Replicas to be added to the queues by the next [`Self::refresh`].
    changed: Vec<String>,
}

impl ReplicaQueues {
    /// Drops all queues, for changes that may affect any replica.
    pub fn clear(&mut self) {
        self.queues.clear();
        self.changed.clear();
    }

    /// Marks a replica to be added to every queue by the next [`Self::refresh`], because it gained
    /// spare capacity or its state changed.
    pub fn mark_changed(&mut self, replica: &str) {
        if !self.queues.is_empty() {
            self.changed.push(replica.to_string());
        }
    }

    /// Drops all queues if they have expired; otherwise adds the marked replicas to every queue.
    pub fn refresh(&mut self, inputs: PlacementInputs<'_>) {
        let lifetime = inputs.replicas.by_id.len() as Millis / REPLICAS_PER_LIFETIME_MS;
        if inputs.now >= self.expired_at + lifetime {
            self.clear();
            self.expired_at = inputs.now;
        }
        for replica in std::mem::take(&mut self.changed) {
            for (key, queue) in &mut self.queues {
                let candidate = inputs.candidate(&key.constraints(), &replica);
                queue.extend(candidate.map(Reverse));
            }
        }
    }

    /// Returns the queued replica with the lowest [`replica_cost`]; `None` if no queued replica
    /// accepts the run. Only the cost of the head is current: a replica whose cost fell after it
    /// was queued keeps its position until it is queued again.
    pub fn choose(
        &mut self,
        constraints: &RunConstraints<'_>,
        inputs: PlacementInputs<'_>,
    ) -> Option<String> {
        let existing = self
            .queues
            .iter()
            .position(|(key, _)| key.matches(constraints));
        let index = existing.unwrap_or_else(|| {
            let queue = inputs.build_queue(constraints);
            self.queues.push((ConstraintsKey::of(constraints), queue));
            self.queues.len() - 1
        });
        let queue = &mut self.queues[index].1;
        while let Some(Reverse(head)) = queue.pop() {
            let Some(repriced) = inputs.candidate(constraints, &head.replica) else {
                continue;
            };
            let is_cheapest = queue.peek().is_none_or(|Reverse(next)| repriced <= *next);
            let replica = repriced.replica.clone();
            // The replica may accept further runs, so it stays queued.
            queue.push(Reverse(repriced));
            if is_cheapest {
                return Some(replica);
            }
        }
        None
    }
}

#[cfg(test)]
#[path = "../tests/unit/placement.rs"]
mod tests;
