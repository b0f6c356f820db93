//! State of each model across its replicas, from which loads are planned.
//!
//! Computed by one pass over the fleet for each plan. `peak` tells how many replicas the current
//! work requires.

use crate::dispatcher::Dispatcher;
use crate::replicas::Replica;

/// While no item waits, replicas load the newest version until this share of a model's replicas has
/// it, 0 to 1. The other replicas skip versions, as each load interrupts or moves their runs.
const NEWEST_SHARE: f64 = 0.5;

/// State of a model across its replicas.
pub(crate) struct ModelPlan<'a> {
    pub model: &'a str,
    /// The newest version.
    pub newest: u64,
    /// The oldest version that replicas may keep, see [`oldest_allowed`].
    pub oldest_allowed: u64,
    /// Items that wait.
    waiting: usize,
    /// Number of replicas that must still load the newest version until [`NEWEST_SHARE`] of the
    /// required ones have it; 0 while items of the model wait.
    pub missing_newest: usize,
    /// Number of loads that the current work needs. Further loads wait for them.
    pub urgent: usize,
    /// Waiting items minus the free slots of replicas that have an allowed version or are loading
    /// any version.
    pub shortage: i64,
    /// Free slots of replicas that are not loading, regardless of the version they serve.
    pub free_slots: usize,
    /// Whether any replica has an allowed version or is loading any version.
    pub has_allowed_replica: bool,
}

/// Replicas of a model, and how many of them serve it.
#[derive(Clone, Copy, Debug, Default)]
struct ModelReplicas {
    replicas: usize,
    slots: usize,
    /// Replicas that have an allowed version or are loading any version.
    with_allowed: usize,
    /// Replicas that have the newest version or are loading it.
    with_newest: usize,
}

/// Number of replicas that a model requires, and how many of all have its newest version or are
/// loading it.
#[derive(Clone, Copy, Debug, Default)]
struct NewestCount {
    replicas: usize,
    with_newest: usize,
}

impl NewestCount {
    /// Number of replicas that must still load the newest version until [`NEWEST_SHARE`] have it.
    fn missing(self) -> usize {
        let wanted = (self.replicas as f64 * NEWEST_SHARE).ceil() as usize;
        wanted.saturating_sub(self.with_newest)
    }
}

/// The oldest version that replicas may keep: the one before the newest, or the newest if an active
/// job requires it. `highest_min_version` is the highest minimum version of the active jobs.
fn oldest_allowed(newest: u64, highest_min_version: u64) -> u64 {
    highest_min_version
        .max(newest.saturating_sub(1))
        .min(newest)
}

impl Dispatcher {
    /// Computes the state of each model with a known version in one pass over the fleet.
    pub(crate) fn model_plans(&self) -> Vec<ModelPlan<'_>> {
        let plans = self.view.versions.iter().map(|(model, newest)| {
            let waiting = self.jobs.waiting_for_model(model);
            ModelPlan {
                model,
                newest: *newest,
                oldest_allowed: oldest_allowed(*newest, self.jobs.highest_min_version(model)),
                waiting,
                missing_newest: 0,
                urgent: 0,
                shortage: waiting as i64,
                free_slots: 0,
                has_allowed_replica: false,
            }
        });
        let mut plans: Vec<ModelPlan<'_>> = plans.collect();
        let mut counts = vec![ModelReplicas::default(); plans.len()];
        for (id, primary, replica) in self.replicas_with_models() {
            let index = plans.iter().position(|plan| plan.model == primary);
            if let Some(index) = index {
                self.count_replica(id, replica, &mut plans[index], &mut counts[index]);
            }
        }
        for (plan, count) in plans.iter_mut().zip(counts) {
            self.set_urgent(plan, count);
        }
        plans
    }

    /// Computes how many loads of a model the current work needs.
    fn set_urgent(&self, plan: &mut ModelPlan<'_>, count: ModelReplicas) {
        let peaks = &self.orders.peaks;
        let required = peaks.required_replicas(plan.model, count.replicas, count.slots);
        if plan.waiting == 0 {
            let newest = NewestCount {
                replicas: required,
                with_newest: count.with_newest,
            };
            plan.missing_newest = newest.missing();
        }
        let slots_each = (count.slots / count.replicas.max(1)).max(1);
        let for_shortage = plan.shortage.max(0) as usize;
        plan.urgent = required
            .saturating_sub(count.with_allowed)
            .max(plan.missing_newest)
            .max(for_shortage.div_ceil(slots_each));
    }

    /// All replicas with their primary models, if they have one, sorted by id.
    pub(crate) fn replicas_with_primary(
        &self,
    ) -> impl Iterator<Item = (&str, Option<&str>, &Replica)> {
        // Both maps are sorted by id.
        let mut models = self.orders.primary_models.iter().peekable();
        self.replicas.by_id.iter().map(move |(id, replica)| {
            while models.next_if(|(other, _)| *other < id).is_some() {}
            let primary = models.next_if(|(other, _)| *other == id);
            let primary = primary.map(|(_, model)| model.as_str());
            (id.as_str(), primary, replica)
        })
    }

    /// Replicas that have a primary model, with this model, sorted by id.
    pub(crate) fn replicas_with_models(&self) -> impl Iterator<Item = (&str, &str, &Replica)> {
        let replicas = self.replicas_with_primary();
        replicas.filter_map(|(id, primary, replica)| Some((id, primary?, replica)))
    }

    /// Adds a replica to the state of its primary model.
    fn count_replica(
        &self,
        id: &str,
        replica: &Replica,
        plan: &mut ModelPlan<'_>,
        count: &mut ModelReplicas,
    ) {
        let free = replica.free_slots();
        let version = replica.version_of(plan.model);
        let load = self.orders.loads.get(id);
        if load.is_some() || version >= plan.oldest_allowed {
            plan.shortage -= free as i64;
            plan.has_allowed_replica = true;
            count.with_allowed += 1;
        }
        if load.is_none() {
            plan.free_slots += free;
        }
        let loads_newest =
            load.is_some_and(|load| load.model == plan.model && load.version >= plan.newest);
        count.replicas += 1;
        count.slots += replica.slots;
        count.with_newest += usize::from(loads_newest || version >= plan.newest);
    }
}

#[cfg(test)]
#[path = "../tests/unit/model_plan.rs"]
mod tests;
