//! Moves stalled runs, and runs on replicas that load, depart or are slow, to other replicas.
//!
//! Keeps no state; changes the runs in `Runs`. `capacity` finds replicas with spare slots, and
//! `timeouts` decides which runs are stalled. A run continues after its last event, so a hand-over
//! costs only the time in which the new replica processes the text generated so far.

use crate::capacity::SpareCapacity;
use crate::dispatcher::Dispatcher;
use crate::replicas::RunConstraints;
use crate::runs::Run;
use crate::timeouts;
use brasspond_cluster_protocol::AttemptId;
use brasspond_units::Millis;
use std::collections::BTreeMap;

/// A replica is slow if its time per event exceeds the median of its service by this factor.
/// Healthy replicas differ by a factor of up to 1.3.
const SLOW_FACTOR: f64 = 1.8;
/// Minimum events that a run generates on a slow replica before it is handed over, so that it is
/// not handed over twice in a row.
const MIN_SLOW_EVENTS: u64 = 2;
/// Minimum events that a run generates before it may move to a faster replica, so that varying
/// paces do not move it back and forth.
const MIN_FASTER_EVENTS: u64 = 10;
/// Maximum runs handed over to faster replicas per tick, so that paces are updated before the next
/// hand-overs.
const MAX_FASTER_MOVES: usize = 8;

/// Whether a replica is slow, by its time per event and the median of its service.
fn is_slow(event_ms: f64, median_ms: f64) -> bool {
    event_ms > median_ms * SLOW_FACTOR
}

impl Dispatcher {
    /// Cancels a run at its edge and waits for its last events, so that its item continues
    /// elsewhere without generating any of them again.
    pub(crate) fn hand_over(&mut self, attempt: AttemptId, reason: &str, now: Millis) {
        self.log_move(attempt, reason, now);
        self.cancel(attempt);
        if let Some(run) = self.runs.by_id.get_mut(&attempt) {
            run.handed_over_at = Some(now);
        }
    }

    /// Cancels a run at its edge without waiting for its last events. Its item is queued again at
    /// once and continues after the events that are known to this leader.
    pub(crate) fn move_run(&mut self, attempt: AttemptId, reason: &str, now: Millis) {
        self.log_move(attempt, reason, now);
        self.cancel(attempt);
        self.abandon_run(attempt);
    }

    pub(crate) fn hand_over_all(&mut self, attempts: Vec<AttemptId>, reason: &str, now: Millis) {
        for attempt in attempts {
            self.hand_over(attempt, reason, now);
        }
    }

    fn log_move(&self, attempt: AttemptId, reason: &str, now: Millis) {
        if let Some(run) = self.runs.by_id.get(&attempt) {
            log::info!(
                "event=run_moved job={} item={} attempt={attempt} replica={} reason={reason} events={} silent_ms={}",
                run.job,
                run.item_id,
                run.replica,
                run.events.len(),
                now - run.last_seen
            );
        }
    }

    /// Abandons handed-over runs whose edge does not report their last events in time.
    fn abandon_late_hand_overs(&mut self, now: Millis) {
        let late = self.runs.ids_where(|run| {
            let since = run.handed_over_at;
            since.is_some_and(|since| timeouts::is_hand_over_late(since, now))
        });
        for attempt in late {
            self.abandon_run(attempt);
        }
    }

    /// Hands over runs on a replica that is about to load, at most `spare` of them. Hands over none
    /// if the replica finishes its runs before it loads.
    pub(crate) fn move_from_loading(&mut self, loading: &str, spare: usize, now: Millis) {
        let replica = self.replicas.by_id.get(loading);
        let has_runs = replica.is_some_and(|replica| replica.running > 0);
        if !has_runs || self.runs_finish_first(loading) {
            return;
        }
        let mut moving = self
            .runs
            .ids_where(|run| run.replica == loading && !run.cancelled);
        moving.truncate(spare);
        self.hand_over_all(moving, "replica_loads", now);
    }

    /// Hands over runs on replicas that will be shut down, up to the spare capacity of other
    /// replicas, as a long run would not finish before the shutdown.
    pub(crate) fn move_from_departing(&mut self, now: Millis) {
        let replicas = &self.replicas.by_id;
        let is_departing = |id: &str| replicas.get(id).is_some_and(|replica| replica.is_departing);
        let departing = self
            .runs
            .ids_where(|run| !run.cancelled && is_departing(&run.replica));
        if departing.is_empty() {
            return;
        }
        let mut spare = self.all_spare_capacity(now);
        let mut moving = Vec::new();
        for attempt in departing {
            let run = self.runs.by_id.get(&attempt);
            let constraints = run.and_then(|run| self.constraints_of(run));
            if constraints.is_some_and(|constraints| spare.reserve(&constraints, None)) {
                moving.push(attempt);
            }
        }
        self.hand_over_all(moving, "replica_leaves", now);
    }

    /// The constraints on the replica that continues a run; `None` while its job has no route.
    fn constraints_of(&self, run: &Run) -> Option<RunConstraints<'_>> {
        let usable = &self.replicas.usable;
        self.jobs
            .constraints(&run.job, run.item, &run.events, usable)
    }

    /// Moves stalled runs to other replicas. Records a fault of the replica only if the run's edge
    /// has reported since the run's last message and the replica has not restarted since the run
    /// began.
    pub(crate) fn move_stalled(&mut self, now: Millis) {
        self.abandon_late_hand_overs(now);
        let mut stalled = Vec::new();
        for (attempt, run) in self.runs.by_id.iter().filter(|(_, run)| !run.cancelled) {
            let edge = self.edges.get(&run.machine);
            let edge_reported = edge
                .is_some_and(|edge| timeouts::edge_reported_since(edge.last_seen, run.last_seen));
            let is_loading = self.orders.is_loading_any(&run.replica);
            if timeouts::is_stalled(run.last_seen, is_loading, edge_reported, now) {
                let is_fault = edge_reported && self.is_of_known_life(run);
                stalled.push((*attempt, is_fault.then(|| run.replica.clone())));
            }
        }
        for (attempt, at_fault) in stalled {
            if let Some(replica) = at_fault {
                self.replicas.record_fault(&replica, now);
            }
            self.move_run(attempt, "stalled", now);
        }
    }

    /// Hands over runs on slow replicas while faster replicas have spare capacity and no item of
    /// their model waits.
    pub(crate) fn move_from_slow_replicas(&mut self, now: Millis) {
        let slow = self.slow_replicas();
        if slow.is_empty() {
            return;
        }
        let mut spare = self.all_spare_capacity(now);
        let mut moving = Vec::new();
        for (attempt, run) in &self.runs.by_id {
            let Some(own_ms) = slow.get(run.replica.as_str()) else {
                continue;
            };
            let may_move = run.own_events >= MIN_SLOW_EVENTS && !run.cancelled;
            if may_move && self.reserve_faster(&mut spare, run, *own_ms) {
                moving.push(*attempt);
            }
        }
        self.hand_over_all(moving, "replica_slow", now);
    }

    /// Slow replicas that are not loading, with their time per event in ms.
    fn slow_replicas(&self) -> BTreeMap<&str, f64> {
        let mut slow = BTreeMap::new();
        for (id, replica) in &self.replicas.by_id {
            let median = self.replicas.median_event_ms(&replica.endpoint.service);
            if let (Some(own), Some(median)) = (replica.event_ms, median)
                && is_slow(own, median)
                && !self.orders.is_loading_any(id)
            {
                slow.insert(id.as_str(), own);
            }
        }
        slow
    }

    /// Hands over runs to faster replicas with spare capacity once no item of their model waits.
    /// The longest runs then decide when a job ends.
    pub(crate) fn move_to_faster_replicas(&mut self, now: Millis) {
        let mut spare = self.all_spare_capacity(now);
        let mut moving = Vec::new();
        for (attempt, run) in &self.runs.by_id {
            if moving.len() >= MAX_FASTER_MOVES {
                break;
            }
            if run.cancelled || run.own_events < MIN_FASTER_EVENTS {
                continue;
            }
            let own = self.replicas.by_id.get(&run.replica);
            let own = own.filter(|replica| replica.event_ms.is_some());
            let Some(own_ms) = own.and_then(|replica| self.replicas.expected_event_ms(replica, 0))
            else {
                continue;
            };
            if self.reserve_faster(&mut spare, run, own_ms) {
                moving.push(*attempt);
            }
        }
        self.hand_over_all(moving, "faster_replica", now);
    }

    /// Reserves a slot for a run on a replica that is faster than its own. Returns false if there
    /// is none, while items of the run's model wait, and while its job has no route.
    fn reserve_faster<'a>(&'a self, spare: &mut SpareCapacity<'a>, run: &Run, own_ms: f64) -> bool {
        let Some(constraints) = self.constraints_of(run) else {
            return false;
        };
        !self.jobs.has_waiting(constraints.model) && spare.reserve(&constraints, Some(own_ms))
    }
}

#[cfg(test)]
#[path = "../tests/unit/moves.rs"]
mod tests;
