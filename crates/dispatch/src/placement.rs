//! Which replica takes the next item, without a look at the whole fleet for each.
//!
//! For each kind of need there is a queue of replicas, the cheapest first. It is made by one
//! look at the fleet and kept for a while; a replica that gets room meanwhile is added.
//! Costs change as runs begin and end, so the head of a queue is priced anew before it is
//! taken, and goes back where it has become dearer. Placing `k` items on `n` replicas so
//! costs `n + k log n`.
//!
//! ```text
//! cost = time of an event alone x (1 + slope x fill) [x (1 + OTHER_MODEL_COST)]
//! ```

use crate::orders::Orders;
use crate::replicas::{Need, Replica, Replicas};
use brasspond_fleet::Regions;
use brasspond_units::Millis;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Replicas for which queues are kept for a ms: pauses that are over and newer paces are
/// seen once they are made anew, at once in a small fleet, after half a second where
/// thousands are looked at.
const REPLICAS_A_MS: u64 = 6;
/// A replica that serves another model first counts as this much slower.
const OTHER_MODEL_COST: f64 = 0.6;

/// A [`Need`] that outlives its item.
#[derive(Clone, Debug, PartialEq, Eq)]
struct NeedKey {
    service: String,
    regions: Regions,
    model: String,
    min_version: u64,
    exact: Option<u64>,
}

impl NeedKey {
    fn of(need: &Need<'_>) -> Self {
        Self {
            service: need.service.to_string(),
            regions: need.regions.clone(),
            model: need.model.to_string(),
            min_version: need.min_version,
            exact: need.exact,
        }
    }

    fn need(&self) -> Need<'_> {
        Need {
            service: &self.service,
            regions: &self.regions,
            model: &self.model,
            min_version: self.min_version,
            exact: self.exact,
        }
    }

    fn is(&self, need: &Need<'_>) -> bool {
        self.min_version == need.min_version
            && self.exact == need.exact
            && self.model == need.model
            && self.service == need.service
            && self.regions == *need.regions
    }
}

/// A replica at its cost when it was put into a queue.
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

/// What a look at a replica needs.
#[derive(Clone, Copy)]
pub(crate) struct Sight<'a> {
    pub replicas: &'a Replicas,
    pub orders: &'a Orders,
    pub now: Millis,
}

impl Sight<'_> {
    /// What it costs a run to go on at a replica; none: the replica does not take it.
    fn cost(&self, need: &Need<'_>, id: &str, replica: &Replica) -> Option<f64> {
        let may_be_sent = !replica.has_budget(self.now)
            || (self.replicas.warming.may_grant() && replica.budget_left(self.now) > 0);
        let takes = may_be_sent
            && replica.standing.takes(&need.work(self.now)).is_ok()
            && replica.running < replica.slots
            && replica.paused_until <= self.now
            && !self.orders.is_loading(id, need.model);
        if !takes {
            return None;
        }
        let cost = self.replicas.pace_with(replica, 0);
        // Before any pace is known the emptiest is the cheapest.
        let cost = cost.unwrap_or_else(|| 1.0 + replica.fill());
        let first = self.orders.serves_first.get(id);
        let serves_first = first.is_none_or(|model| *model == need.model);
        let other_model = if serves_first { 0.0 } else { OTHER_MODEL_COST };
        Some(cost * (1.0 + other_model))
    }

    fn candidate(&self, need: &Need<'_>, id: &str) -> Option<Candidate> {
        let replica = self.replicas.by_id.get(id)?;
        let cost = self.cost(need, id, replica)?;
        let replica = id.to_string();
        Some(Candidate { cost, replica })
    }

    fn queue(&self, need: &Need<'_>) -> Queue {
        let replicas = self.replicas.by_id.iter();
        let candidates = replicas.filter_map(|(id, replica)| {
            let cost = self.cost(need, id, replica)?;
            let replica = id.clone();
            Some(Reverse(Candidate { cost, replica }))
        });
        candidates.collect()
    }
}

/// Queues of replicas by need.
#[derive(Debug, Default)]
pub(crate) struct Placement {
    queues: Vec<(NeedKey, Queue)>,
    made_at: Millis,
    /// Replicas that got room since queues were last looked at.
    freed: Vec<String>,
}

impl Placement {
    /// Anything may have changed: the fleet is looked at anew.
    pub fn forget(&mut self) {
        self.queues.clear();
        self.freed.clear();
    }

    /// A replica has room that it had not, or serves something newer.
    pub fn freed(&mut self, replica: &str) {
        if !self.queues.is_empty() {
            self.freed.push(replica.to_string());
        }
    }

    /// Brings the queues up to date.
    pub fn refresh(&mut self, sight: Sight<'_>) {
        let life = sight.replicas.by_id.len() as Millis / REPLICAS_A_MS;
        if sight.now >= self.made_at + life {
            self.forget();
            self.made_at = sight.now;
        }
        for replica in std::mem::take(&mut self.freed) {
            for (key, queue) in &mut self.queues {
                let candidate = sight.candidate(&key.need(), &replica);
                queue.extend(candidate.map(Reverse));
            }
        }
    }

    /// The replica on which a run is expected to end first; none has room.
    pub fn choose(&mut self, need: &Need<'_>, sight: Sight<'_>) -> Option<String> {
        let known = self.queues.iter().position(|(key, _)| key.is(need));
        let number = known.unwrap_or_else(|| {
            self.queues.push((NeedKey::of(need), sight.queue(need)));
            self.queues.len() - 1
        });
        let queue = &mut self.queues[number].1;
        while let Some(Reverse(head)) = queue.pop() {
            let Some(present) = sight.candidate(need, &head.replica) else {
                continue;
            };
            let is_cheapest = queue.peek().is_none_or(|Reverse(next)| present <= *next);
            let replica = present.replica.clone();
            // It goes back: it may take another, at a cost that is looked at then.
            queue.push(Reverse(present));
            if is_cheapest {
                return Some(replica);
            }
        }
        None
    }
}
