//! Decides which replicas load which version next.
//!
//! Keeps no state; begins loads in `Orders`. Replicas should serve the newest version of their
//! primary model or the one before it, or only the newest if a job requires it. A load is due on a
//! replica with an older version whether or not items wait. On the other replicas a load is due
//! only while no item of the model waits, and only until [`NEWEST_SHARE`] of the model's replicas
//! have the newest version. Module `loads` limits concurrent loads, and module `assignment` chooses
//! the primary model of each replica.

use crate::dispatcher::Dispatcher;
use crate::loading::PlannedLoad;
use crate::loads::MAX_LOADS;
use crate::replicas::Replica;
use brasspond_units::Millis;
use std::cmp::Reverse;

/// Number of replicas for each ms of the interval between two plans. With 10,000 replicas, loads are
/// planned every 208 ms; with fewer than 48, after each event that may make loads due. This bounds
/// the leader's processor time for passes over the fleet.
const PLAN_REPLICAS_PER_MS: u64 = 48;
/// While no item waits, replicas load the newest version until this share of a model's replicas has
/// it, 0 to 1. The other replicas skip versions, as each load interrupts or moves their runs.
const NEWEST_SHARE: f64 = 0.5;

/// A load that is due. The order of the fields is the priority within a model: replicas whose
/// version is too old come first, then those with the fewest runs, then those with the highest
/// version, which served the last jobs and to which edges have open connections.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueLoad<'a> {
    /// Whether the replica's version is at least [`ModelPlan::oldest_allowed`].
    has_allowed_version: bool,
    running: usize,
    version: Reverse<u64>,
    replica: &'a str,
    slots: usize,
}

/// State of a model across its replicas.
struct ModelPlan<'a> {
    model: &'a str,
    /// The newest version.
    newest: u64,
    /// The oldest version that replicas may keep, see [`oldest_allowed`].
    oldest_allowed: u64,
    /// Number of replicas that must still load the newest version until [`NEWEST_SHARE`] of the
    /// required ones have it; 0 while items of the model wait.
    missing_newest: usize,
    /// Number of loads that the current work needs. Further loads wait for them.
    urgent: usize,
    /// Waiting items minus the free slots of replicas that have an allowed version or are loading
    /// any version.
    shortage: i64,
    /// Free slots of replicas that are not loading, regardless of the version they serve.
    free_slots: usize,
    /// Whether any replica has an allowed version or is loading any version.
    has_allowed_replica: bool,
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

/// Whether a replica that serves `version` should load the newest one, because its version is too
/// old or because too few replicas have the newest. A `version` of 0 stands for no version.
fn is_load_due(version: u64, newest: u64, oldest_allowed: u64, missing_newest: usize) -> bool {
    version < newest && (version < oldest_allowed || missing_newest > 0)
}

impl Dispatcher {
    /// Polls replicas that load and begins due loads. If zones can be evacuated, no load begins
    /// before the evacuated zones are known.
    pub(crate) fn plan_loads(&mut self, now: Millis) {
        // Not bound to the interval: a late poll delays the next load and makes this one look slow.
        self.poll_loads(now);
        let interval = self.orders.primary_models.len() as Millis / PLAN_REPLICAS_PER_MS;
        let planned_at = self.orders.planned_at;
        if planned_at.is_some_and(|planned_at| now < planned_at + interval) {
            return;
        }
        self.orders.planned_at = Some(now);
        self.drop_unavailable_loads();
        if !self.view.knows_evacuations() {
            return;
        }
        let replicas = self.orders.primary_models.len();
        let limit = self.orders.load_limit.update_max_loads(replicas);
        self.observe_peaks(now);
        let planned = self.next_loads(limit, now);
        if planned.is_empty() {
            return;
        }
        // Summed once for all loads: a pass over 10,000 replicas for each of 64 loads occupied the
        // leader for longer than an election timeout.
        let mut spare = self.spare_capacity_by_model(now);
        for load in planned {
            let own = self.spare_capacity_of(&load.replica, now);
            let elsewhere = spare.remove(&load.model, own);
            self.begin_load(load, elsewhere, now);
        }
    }

    /// Drops the loads of replicas that are draining, in an evacuated zone or removed, so that they
    /// do not count against the limit on concurrent loads.
    fn drop_unavailable_loads(&mut self) {
        let replicas = &self.replicas.by_id;
        self.orders.retain(|id| {
            replicas.get(id).is_some_and(|replica| {
                let endpoint = &replica.endpoint;
                !endpoint.is_draining && !endpoint.is_evacuated
            })
        });
    }

    fn observe_peaks(&mut self, now: Millis) {
        for model in self.view.versions.keys() {
            let items = self.jobs.open_items(model);
            self.orders.peaks.observe(model, items, now);
        }
    }

    /// Chooses replicas to load next, each with a model and a version, so that up to `limit` load.
    /// Replicas whose version is too old come first. Among these and among the others, the model
    /// with the largest shortage comes first, and within a model the replicas with the fewest runs.
    /// Loads that the current work does not need begin only while fewer than [`MAX_LOADS`] are in
    /// progress.
    fn next_loads(&self, limit: usize, now: Millis) -> Vec<PlannedLoad> {
        let in_progress = self.orders.loads.len();
        let available = limit.saturating_sub(in_progress);
        if available == 0 {
            return Vec::new();
        }
        let mut plans = self.model_plans();
        let mut due = self.due_loads(&plans, now);
        let mut chosen = Vec::new();
        while chosen.len() < available {
            let may_wait = in_progress + chosen.len() >= MAX_LOADS;
            let heads = due.iter().enumerate();
            let heads = heads.filter_map(|(model, due)| Some((model, due.last()?)));
            let heads = heads.filter(|(model, _)| !may_wait || plans[*model].urgent > 0);
            let next = heads.min_by_key(|(model, load)| {
                let plan = &plans[*model];
                (
                    plan.urgent == 0,
                    load.has_allowed_version,
                    Reverse(plan.shortage),
                    *model,
                )
            });
            let Some((model, _)) = next else {
                break;
            };
            let Some(load) = due[model].pop() else {
                break;
            };
            let plan = &mut plans[model];
            plan.shortage -= load.slots as i64;
            plan.urgent = plan.urgent.saturating_sub(1);
            chosen.push(PlannedLoad {
                replica: load.replica.to_string(),
                model: plan.model.to_string(),
                version: plan.newest,
            });
        }
        chosen
    }

    /// Collects the due loads of each of `plans`, the one with the highest priority last.
    fn due_loads(&self, plans: &[ModelPlan<'_>], now: Millis) -> Vec<Vec<DueLoad<'_>>> {
        let active_by_replica = self.runs.active_by_replica();
        let mut due: Vec<Vec<DueLoad<'_>>> = plans.iter().map(|_| Vec::new()).collect();
        for (id, primary, replica) in self.replicas_with_models() {
            let Some(index) = plans.iter().position(|plan| plan.model == primary) else {
                continue;
            };
            let plan = &plans[index];
            let version = replica.version_of(primary);
            let has_allowed_version = version >= plan.oldest_allowed;
            let is_due = is_load_due(
                version,
                plan.newest,
                plan.oldest_allowed,
                plan.missing_newest,
            );
            let runs = active_by_replica.get(id).copied().unwrap_or(0);
            if is_due && self.orders.may_load(id, now) && self.may_begin_load(id, runs, plan) {
                due[index].push(DueLoad {
                    has_allowed_version,
                    running: replica.running,
                    version: Reverse(version),
                    replica: id,
                    slots: replica.slots,
                });
            }
        }
        for (loads, plan) in due.iter_mut().zip(plans) {
            loads.sort_unstable();
            let too_old = loads
                .iter()
                .filter(|load| !load.has_allowed_version)
                .count();
            loads.truncate(too_old.max(plan.missing_newest));
            loads.reverse();
        }
        due
    }

    /// Computes the state of each model with a known version in one pass over the fleet.
    fn model_plans(&self) -> Vec<ModelPlan<'_>> {
        let plans = self.view.versions.iter().map(|(model, newest)| ModelPlan {
            model,
            newest: *newest,
            oldest_allowed: oldest_allowed(*newest, self.jobs.highest_min_version(model)),
            missing_newest: 0,
            urgent: 0,
            shortage: self.jobs.waiting_for_model(model) as i64,
            free_slots: 0,
            has_allowed_replica: false,
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
        if self.jobs.waiting_for_model(plan.model) == 0 {
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

    /// Replicas with their primary models, sorted by id. Both maps are sorted by id and are merged.
    pub(crate) fn replicas_with_models(&self) -> impl Iterator<Item = (&str, &str, &Replica)> {
        let mut replicas = self.replicas.by_id.iter().peekable();
        self.orders
            .primary_models
            .iter()
            .filter_map(move |(id, primary)| {
                while replicas.next_if(|(other, _)| *other < id).is_some() {}
                let (_, replica) = replicas.next_if(|(other, _)| *other == id)?;
                Some((id.as_str(), primary.as_str(), replica))
            })
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

    /// Whether a replica with `runs` active runs may begin a due load now. A load pauses runs that
    /// are not handed over, and a single paused run can delay its whole job. A replica with runs
    /// therefore waits until other replicas of the model have free slots for all of them. It does
    /// not wait if no replica of the model has an allowed version or is loading, or if the replica
    /// finishes its runs before it loads.
    fn may_begin_load(&self, id: &str, runs: usize, plan: &ModelPlan<'_>) -> bool {
        if runs == 0 || !plan.has_allowed_replica || self.runs_finish_first(id) {
            return true;
        }
        let own = self.replicas.by_id.get(id);
        let own_free = own.map_or(0, Replica::free_slots);
        plan.free_slots.saturating_sub(own_free) >= runs
    }
}

#[cfg(test)]
#[path = "../tests/unit/load_plan.rs"]
mod tests;
