//! Runs that go on at another replica: from one that stalls, loads or is slow.
//!
//! A run goes on after its last event, so a move costs reading the text so far,
//! which takes milliseconds.

use crate::dispatcher::Dispatcher;
use crate::replicas::{Need, Replica};
use crate::runs::{Run, exact_version};
use brasspond_cluster_protocol::AttemptId;
use brasspond_units::Millis;
use std::collections::{BTreeMap, HashMap};

/// Events of a run after which it is worth moving.
const MOVE_EVENTS: u64 = 2;
/// Events of a run after which it may go on at a faster replica.
const FASTER_EVENTS: u64 = 10;
/// A replica is worth moving to when an event takes this many times longer
/// where the run is.
const FASTER_FACTOR: f64 = 1.15;
/// Runs moved to faster replicas at a time.
const FASTER_AT_ONCE: usize = 8;

/// Time for an edge to tell the last events of a run that is handed over, in ms.
const HAND_OVER: Millis = 300;
/// An edge tells of all its runs within this time, in ms.
const SAME_REPORT: Millis = 50;

/// Time of an event where nothing is known of the service's replicas: no replica is
/// moved to because it is faster.
const UNKNOWN_EVENT_MS: f64 = f64::INFINITY;

/// Free places on a replica.
struct Room<'a> {
    replica: &'a Replica,
    /// Milliseconds an event takes there.
    event_ms: f64,
    free: usize,
}

/// Free places by the model that their replicas serve first, the fastest first.
struct Rooms<'a> {
    by_model: HashMap<Option<&'a str>, Vec<Room<'a>>>,
    now: Millis,
}

impl<'a> Rooms<'a> {
    /// Takes a place on a replica that may go on with a run, on a faster one than the
    /// run's own (in ms an event) where that is given.
    fn take(&mut self, need: &Need<'a>, own_ms: Option<f64>) -> bool {
        for first in [Some(need.model), None] {
            for room in self.by_model.get_mut(&first).into_iter().flatten() {
                if own_ms.is_some_and(|own_ms| own_ms <= room.event_ms * FASTER_FACTOR) {
                    // All that follow are slower yet.
                    break;
                }
                let fits = room.replica.standing.takes(&need.work(self.now)).is_ok();
                if room.free > 0 && fits {
                    room.free -= 1;
                    return true;
                }
            }
        }
        false
    }
}

impl Dispatcher {
    /// Stops a run at its edge and waits for its last events, so that its item
    /// goes on elsewhere without making any of them again.
    pub(crate) fn hand_over(&mut self, attempt: AttemptId, reason: &str, now: Millis) {
        self.log_move(attempt, reason, now);
        self.cancel(attempt);
        if let Some(run) = self.runs.by_id.get_mut(&attempt) {
            run.handed_over_at = Some(now);
        }
    }

    /// Runs whose edge does not tell their last events go on from what is known.
    fn abandon_late_handovers(&mut self, now: Millis) {
        let late = self.runs.by_id.iter().filter(|(_, run)| {
            let since = run.handed_over_at;
            since.is_some_and(|since| now >= since + HAND_OVER)
        });
        let late: Vec<AttemptId> = late.map(|(attempt, _)| *attempt).collect();
        for attempt in late {
            self.abandon_run(attempt, now);
        }
    }

    /// Stops a run at its edge; its item goes on elsewhere at once, from what is
    /// known of it.
    pub(crate) fn move_run(&mut self, attempt: AttemptId, reason: &str, now: Millis) {
        self.log_move(attempt, reason, now);
        self.cancel(attempt);
        self.abandon_run(attempt, now);
    }

    fn log_move(&self, attempt: AttemptId, reason: &str, now: Millis) {
        if let Some(run) = self.runs.by_id.get(&attempt) {
            log::info!(
                "event=run_moved job={} item={} attempt={attempt} replica={} reason={reason} events={} silent_ms={}",
                run.job,
                run.item_id,
                run.replica,
                run.events.len(),
                now - run.heard_at
            );
        }
    }

    /// Runs on a replica about to load go on elsewhere, as far as there is room.
    pub(crate) fn move_from_loading(&mut self, loading: &str, now: Millis) {
        if self.runs_finish_first(loading) {
            return;
        }
        let on_it = self.runs.by_id.iter();
        let on_it = on_it.filter(|(_, run)| run.replica == loading && !run.cancelled);
        let moving: Vec<AttemptId> = on_it.map(|(attempt, _)| *attempt).collect();
        let mut room = self.room_beside(loading, now);
        for attempt in moving {
            if room == 0 {
                return;
            }
            room -= 1;
            self.hand_over(attempt, "replica_loads", now);
        }
    }

    /// Runs on a replica that was given notice go on elsewhere, as far as there is room:
    /// it is gone before a long text ends.
    pub(crate) fn move_from_leaving(&mut self, now: Millis) {
        let replicas = &self.replicas.by_id;
        let leaves = |id: &str| replicas.get(id).is_some_and(|one| one.leaves);
        let on_them = self.runs.by_id.iter();
        let on_them = on_them.filter(|(_, run)| !run.cancelled && leaves(&run.replica));
        let moving: Vec<AttemptId> = on_them.map(|(attempt, _)| *attempt).collect();
        if moving.is_empty() {
            return;
        }
        let mut rooms = self.rooms(now);
        let mut leaving = Vec::new();
        for attempt in moving {
            let run = self.runs.by_id.get(&attempt);
            let need = run.and_then(|run| self.need_of(run));
            if need.is_some_and(|need| rooms.take(&need, None)) {
                leaving.push(attempt);
            }
        }
        for attempt in leaving {
            self.hand_over(attempt, "replica_leaves", now);
        }
    }

    /// What a run asks of a replica that goes on with its text; none where its job
    /// leads nowhere at present.
    fn need_of<'a>(&'a self, run: &Run) -> Option<Need<'a>> {
        let job = self.jobs.jobs.get(&run.job)?;
        let route = job.route.as_ref()?;
        Some(Need {
            service: route.service(run.item),
            regions: &route.regions,
            model: &job.model,
            min_version: job.min_version,
            exact: exact_version(job, &run.events),
        })
    }

    /// Free places on other replicas that serve the same model first.
    fn room_beside(&self, loading: &str, now: Millis) -> usize {
        let model = self.orders.serves_first.get(loading);
        let others = self.replicas.by_id.iter().filter(|(id, replica)| {
            id.as_str() != loading
                && replica.standing.takes_work()
                && replica.paused_until <= now
                && !self.orders.is_busy(id)
                && self.orders.serves_first.get(id.as_str()) == model
        });
        others
            .map(|(_, replica)| self.replicas.room_of(replica, now))
            .sum()
    }

    /// A run that tells nothing goes on at another replica. Its replica is to
    /// blame if the edge spoke since; a silent edge tells nothing of replicas.
    pub(crate) fn move_stalled(&mut self, now: Millis) {
        self.abandon_late_handovers(now);
        let stall = self.settings.stall_ms;
        let mut stalled = Vec::new();
        for (attempt, run) in &self.runs.by_id {
            let edge = self.edges.get(&run.machine);
            let edge_spoke = edge.is_some_and(|edge| edge.heard_at > run.heard_at + SAME_REPORT);
            let loads = self.orders.is_busy(&run.replica);
            let patience = match (loads, edge_spoke) {
                (true, _) => 4 * stall,
                (false, true) => stall,
                (false, false) => 2 * stall,
            };
            if !run.cancelled && now >= run.heard_at + patience {
                let is_present = self.is_of_present_life(run);
                stalled.push((*attempt, run.replica.clone(), edge_spoke, is_present));
            }
        }
        for (attempt, replica, edge_spoke, is_present) in stalled {
            if edge_spoke && is_present {
                self.replicas.note_fault(&replica, now);
            }
            self.move_run(attempt, "stalled", now);
        }
    }

    /// Runs on a replica that has become slow go on elsewhere while others that
    /// fit have room.
    pub(crate) fn move_from_slow_replicas(&mut self, now: Millis) {
        let slow = self.slow_replicas();
        if slow.is_empty() {
            return;
        }
        let mut rooms = self.rooms(now);
        let mut moving = Vec::new();
        for (attempt, run) in &self.runs.by_id {
            let Some(own_ms) = slow.get(&run.replica) else {
                continue;
            };
            let may_move = run.made >= MOVE_EVENTS && !run.cancelled;
            if may_move && self.take_faster(&mut rooms, run, *own_ms) {
                moving.push(*attempt);
            }
        }
        for attempt in moving {
            self.hand_over(attempt, "replica_slow", now);
        }
    }

    /// Replicas much slower than most of their service, with the time an event
    /// takes there.
    fn slow_replicas(&self) -> BTreeMap<String, f64> {
        let factor = self.settings.slow_factor;
        let mut slow = BTreeMap::new();
        for (id, replica) in &self.replicas.by_id {
            let typical = self.replicas.typical_event_ms(&replica.standing.service);
            if let (Some(own), Some(typical)) = (replica.event_ms, typical)
                && own > typical * factor
                && !self.orders.is_busy(id)
            {
                slow.insert(id.clone(), own);
            }
        }
        slow
    }

    /// Once nothing waits, a step ends with its longest runs: those on slower
    /// replicas go on at faster ones that have room. Going on elsewhere costs
    /// reading the text so far, which takes milliseconds; staying costs the
    /// difference in speed for all the events to come.
    pub(crate) fn move_to_faster_replicas(&mut self, now: Millis) {
        let mut rooms = self.rooms(now);
        let mut moving = Vec::new();
        for (attempt, run) in &self.runs.by_id {
            if moving.len() >= FASTER_AT_ONCE {
                break;
            }
            if run.cancelled || run.made < FASTER_EVENTS {
                continue;
            }
            let own = self.replicas.by_id.get(&run.replica);
            let own = own.filter(|one| one.event_ms.is_some());
            let Some(own_ms) = own.and_then(|one| self.replicas.pace_with(one, 0)) else {
                continue;
            };
            if self.take_faster(&mut rooms, run, own_ms) {
                moving.push(*attempt);
            }
        }
        for attempt in moving {
            self.hand_over(attempt, "faster_replica", now);
        }
    }

    /// Takes a place for a run on a replica that is faster than its own; none while
    /// items of its model wait for places.
    fn take_faster<'a>(&'a self, rooms: &mut Rooms<'a>, run: &Run, own_ms: f64) -> bool {
        let Some(need) = self.need_of(run) else {
            return false;
        };
        !self.jobs.has_waiting(need.model) && rooms.take(&need, Some(own_ms))
    }

    /// Free places on replicas that take runs.
    fn rooms(&self, now: Millis) -> Rooms<'_> {
        let mut by_model: HashMap<Option<&str>, Vec<Room<'_>>> = HashMap::new();
        let mut serves_first = self.orders.serves_first.iter().peekable();
        for (id, replica) in &self.replicas.by_id {
            // Both maps are ordered by identity.
            while serves_first.next_if(|(other, _)| *other < id).is_some() {}
            let first = serves_first.next_if(|(other, _)| *other == id);
            let free = self.replicas.room_of(replica, now);
            let takes_runs = replica.standing.takes_work() && replica.paused_until <= now;
            if takes_runs && free > 0 && !self.orders.is_busy(id) {
                let event_ms = self.replicas.pace_with(replica, 1);
                let rooms = by_model.entry(first.map(|(_, model)| model.as_str()));
                rooms.or_default().push(Room {
                    replica,
                    event_ms: event_ms.unwrap_or(UNKNOWN_EVENT_MS),
                    free,
                });
            }
        }
        for rooms in by_model.values_mut() {
            rooms.sort_by(|a, b| a.event_ms.total_cmp(&b.event_ms));
        }
        Rooms { by_model, now }
    }
}
