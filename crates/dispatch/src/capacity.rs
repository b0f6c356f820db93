//! Computes how many more runs each replica accepts now.
//!
//! Placement of waiting items calls [`Replicas::spare_capacity`] for each candidate. Hand-overs
//! reserve slots in a snapshot of the fleet's spare capacity, [`SpareCapacity`], because the number
//! of a replica's runs changes only after the handed-over run has ended.

use crate::dispatcher::Dispatcher;
use crate::replicas::{Replica, Replicas, RunConstraints};
use brasspond_units::Millis;
use std::collections::HashMap;

/// Minimum ratio of the times per event on a run's replica and on another one for a hand-over. The
/// gain must exceed the time in which the other replica processes the text generated so far.
const MIN_SPEEDUP: f64 = 1.15;

/// Time per event in a service without any known pace. It is infinite, so that no replica of the
/// service counts as faster than another.
const UNKNOWN_EVENT_MS: f64 = f64::INFINITY;

/// Whether a run should move from a replica with `own_ms` per event to one with `other_ms`.
fn is_worth_moving(own_ms: f64, other_ms: f64) -> bool {
    own_ms > other_ms * MIN_SPEEDUP
}

impl Replicas {
    /// Number of runs that a replica accepts now, regardless of their constraints. The number is 0
    /// while the replica is paused after a fault. While the replica warms up, the number is limited
    /// by its budget, and is 0 unless this process is the confirmed leader.
    pub fn spare_capacity(&self, replica: &Replica, now: Millis) -> usize {
        if replica.is_paused(now) {
            return 0;
        }
        if replica.has_budget(now) && !self.warming.may_grant() {
            return 0;
        }
        replica.free_slots().min(replica.budget_left(now))
    }
}

/// A replica with spare capacity.
struct FreeReplica<'a> {
    replica: &'a Replica,
    /// Time per event with one more run, in ms.
    event_ms: f64,
    spare: usize,
}

/// Replicas with spare capacity by their primary model, fastest first.
pub(crate) struct SpareCapacity<'a> {
    by_model: HashMap<Option<&'a str>, Vec<FreeReplica<'a>>>,
    now: Millis,
}

impl<'a> SpareCapacity<'a> {
    /// Reserves a slot on a replica that can continue a run; returns whether a slot was available.
    /// `own_ms` is the time per event on the run's current replica; if given, only replicas that
    /// are faster by [`MIN_SPEEDUP`] are considered. Replicas whose primary model is the run's come
    /// first, then those without a primary model; all others are excluded.
    pub fn reserve(&mut self, constraints: &RunConstraints<'a>, own_ms: Option<f64>) -> bool {
        for primary in [Some(constraints.model), None] {
            for candidate in self.by_model.get_mut(&primary).into_iter().flatten() {
                if own_ms.is_some_and(|own_ms| !is_worth_moving(own_ms, candidate.event_ms)) {
                    // The replicas are sorted by pace, so all following ones are at least as slow.
                    break;
                }
                let fits = candidate
                    .replica
                    .endpoint
                    .check(&constraints.requirements(self.now))
                    .is_ok();
                if candidate.spare > 0 && fits {
                    candidate.spare -= 1;
                    return true;
                }
            }
        }
        false
    }
}

impl Dispatcher {
    /// Replicas that accept runs and are not loading, with their primary models and their spare
    /// capacity.
    fn replicas_with_spare(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = (Option<&str>, &Replica, usize)> {
        self.replicas_with_primary()
            .filter(|(id, _, replica)| {
                replica.endpoint.takes_work() && !self.orders.is_loading_any(id)
            })
            .map(move |(_, primary, replica)| {
                let spare = self.replicas.spare_capacity(replica, now);
                (primary, replica, spare)
            })
            .filter(|(_, _, spare)| *spare > 0)
    }

    /// Collects the spare capacity of all replicas that accept runs and are not loading.
    pub(crate) fn all_spare_capacity(&self, now: Millis) -> SpareCapacity<'_> {
        let mut by_model: HashMap<Option<&str>, Vec<FreeReplica<'_>>> = HashMap::new();
        for (primary, replica, spare) in self.replicas_with_spare(now) {
            let event_ms = self.replicas.expected_event_ms(replica, 1);
            by_model.entry(primary).or_default().push(FreeReplica {
                replica,
                event_ms: event_ms.unwrap_or(UNKNOWN_EVENT_MS),
                spare,
            });
        }
        for replicas in by_model.values_mut() {
            replicas.sort_by(|a, b| a.event_ms.total_cmp(&b.event_ms));
        }
        SpareCapacity { by_model, now }
    }

    /// Sums the spare capacity of the replicas that accept runs and are not loading, in one pass
    /// over the fleet.
    pub(crate) fn spare_capacity_by_model(&self, now: Millis) -> SpareByModel {
        let mut totals: HashMap<&str, usize> = HashMap::new();
        for (primary, _, spare) in self.replicas_with_spare(now) {
            if let Some(primary) = primary {
                *totals.entry(primary).or_default() += spare;
            }
        }
        let totals = totals.into_iter();
        SpareByModel {
            by_model: totals
                .map(|(model, spare)| (model.to_string(), spare))
                .collect(),
        }
    }

    /// Spare capacity of a replica; 0 if it accepts no runs.
    pub(crate) fn spare_capacity_of(&self, id: &str, now: Millis) -> usize {
        let replica = self.replicas.by_id.get(id);
        let replica = replica.filter(|replica| replica.endpoint.takes_work());
        replica.map_or(0, |replica| self.replicas.spare_capacity(replica, now))
    }
}

/// Spare capacity of the replicas with each primary model.
#[derive(Debug)]
pub(crate) struct SpareByModel {
    by_model: HashMap<String, usize>,
}

impl SpareByModel {
    /// Removes the capacity of a replica that begins to load, and returns what the other replicas
    /// of its primary model have.
    pub fn remove(&mut self, model: &str, spare: usize) -> usize {
        let Some(total) = self.by_model.get_mut(model) else {
            return 0;
        };
        *total = total.saturating_sub(spare);
        *total
    }
}

#[cfg(test)]
#[path = "../tests/unit/capacity.rs"]
mod tests;
