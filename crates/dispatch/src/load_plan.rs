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
use crate::model_plan::ModelPlan;
use crate::replicas::Replica;
use brasspond_units::Millis;
use std::cmp::Reverse;

/// Number of replicas for each ms of the interval between two plans. With 10,000 replicas, loads are
/// planned every 208 ms; with fewer than 48, after each event that may make loads due. This bounds
/// the leader's processor time for passes over the fleet.
const PLAN_REPLICAS_PER_MS: u64 = 48;

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

/// Whether a replica that serves `version` should load the newest one, because its version is too
/// old or because too few replicas have the newest. A `version` of 0 stands for no version.
fn is_load_due(version: u64, newest: u64, oldest_allowed: u64, missing_newest: usize) -> bool {
    version < newest && (version < oldest_allowed || missing_newest > 0)
}

/// Whether orders may be sent to a replica; false for an unknown one.
fn takes_orders(replica: Option<&Replica>) -> bool {
    replica.is_some_and(|replica| {
        let endpoint = &replica.endpoint;
        !endpoint.is_draining && !endpoint.is_evacuated
    })
}

impl Dispatcher {
    /// Polls replicas that load and begins due loads. If zones can be evacuated, no load begins
    /// before the evacuated zones are known.
    pub(crate) fn plan_loads(&mut self, now: Millis) {
        // Not bound to the interval: a late poll delays the next load and makes this one look slow.
        // Unavailable replicas are dropped first, as nothing may be sent to evacuated ones.
        self.drop_unavailable_loads();
        self.poll_loads(now);
        let interval = self.orders.primary_models.len() as Millis / PLAN_REPLICAS_PER_MS;
        let planned_at = self.orders.planned_at;
        if planned_at.is_some_and(|planned_at| now < planned_at + interval) {
            return;
        }
        self.orders.planned_at = Some(now);
        let replicas = &self.replicas.by_id;
        self.orders
            .retain_replicas(|id| takes_orders(replicas.get(id)));
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
        self.orders
            .retain_loads(|id| takes_orders(replicas.get(id)));
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
