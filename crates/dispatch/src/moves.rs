//! Runs that go on at another replica: from one that stalls, loads or is slow.
//!
//! A run goes on after its last event, so a move costs reading the text so far,
//! which takes milliseconds.

use crate::dispatcher::{Dispatcher, Millis};
use crate::runs::exact_version;
use brasspond_cluster_protocol::AttemptId;
use std::collections::BTreeMap;

/// Events of a run after which it is worth moving.
const MOVE_EVENTS: u64 = 2;
/// Events of a run after which it may go on at a faster replica.
const FASTER_EVENTS: u64 = 10;
/// A replica is worth moving to when an event takes this many times longer
/// where the run is.
const FASTER_FACTOR: f64 = 1.15;
/// Runs moved to faster replicas at a time.
const FASTER_AT_ONCE: usize = 8;

/// Free places on a replica.
struct FastRoom {
    service: String,
    model: String,
    version: u64,
    event_ms: f64,
    free: usize,
}

impl Dispatcher {
    /// Stops a run at its edge; its item goes on elsewhere at once.
    pub(crate) fn move_run(&mut self, attempt: AttemptId, reason: &str, now: Millis) {
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
        self.cancel(attempt);
        self.abandon_run(attempt, now);
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
            self.move_run(attempt, "replica_loads", now);
        }
    }

    /// Free places on other replicas that serve the same model first.
    fn room_beside(&self, loading: &str, now: Millis) -> usize {
        let model = self.orders.serves_first.get(loading);
        let others = self.replicas.by_id.iter().filter(|(id, replica)| {
            id.as_str() != loading
                && !replica.draining
                && replica.paused_until <= now
                && !self.orders.is_busy(id)
                && self.orders.serves_first.get(id.as_str()) == model
        });
        others
            .map(|(_, replica)| replica.slots.saturating_sub(replica.running))
            .sum()
    }

    /// A run that tells nothing goes on at another replica.
    pub(crate) fn move_stalled(&mut self, now: Millis) {
        let stall = self.settings.stall_ms;
        let silent = self.runs.by_id.iter().filter(|(_, run)| {
            let loads = self.orders.is_busy(&run.replica);
            let patience = if loads { 4 * stall } else { stall };
            !run.cancelled && now >= run.heard_at + patience
        });
        let stalled: Vec<(AttemptId, String)> = silent
            .map(|(attempt, run)| (*attempt, run.replica.clone()))
            .collect();
        for (attempt, replica) in stalled {
            self.replicas.note_fault(&replica, now);
            self.move_run(attempt, "stalled", now);
        }
    }

    /// Runs on a replica that has become slow go on elsewhere while others have
    /// room.
    pub(crate) fn move_from_slow_replicas(&mut self, now: Millis) {
        let mut free: BTreeMap<String, usize> = BTreeMap::new();
        let mut slow: Vec<String> = Vec::new();
        for (id, replica) in &self.replicas.by_id {
            let typical = self.replicas.typical_event_ms(&replica.service);
            let is_slow = match (replica.event_ms, typical) {
                (Some(own), Some(typical)) => own > typical * self.settings.slow_factor,
                _ => false,
            };
            if is_slow {
                slow.push(id.clone());
            } else if !replica.draining && !self.orders.is_busy(id) {
                let room = replica.slots.saturating_sub(replica.running);
                *free.entry(replica.service.clone()).or_default() += room;
            }
        }
        for id in slow {
            if self.orders.is_busy(&id) {
                continue;
            }
            let Some(service) = self.replicas.by_id.get(&id).map(|one| one.service.clone()) else {
                continue;
            };
            let on_it =
                self.runs.by_id.iter().filter(|(_, run)| {
                    run.replica == id && run.made >= MOVE_EVENTS && !run.cancelled
                });
            let moving: Vec<AttemptId> = on_it.map(|(attempt, _)| *attempt).collect();
            for attempt in moving {
                let room = free.entry(service.clone()).or_default();
                if *room == 0 {
                    break;
                }
                *room -= 1;
                self.move_run(attempt, "replica_slow", now);
            }
        }
    }

    /// Once nothing waits, a step ends with its longest runs: those on slower
    /// replicas go on at faster ones that have room. Going on elsewhere costs
    /// reading the text so far, which takes milliseconds; staying costs the
    /// difference in speed for all the events to come.
    pub(crate) fn move_to_faster_replicas(&mut self, now: Millis) {
        let mut room = self.fast_rooms(now);
        let mut moving = Vec::new();
        for (attempt, run) in &self.runs.by_id {
            if run.cancelled || run.made < FASTER_EVENTS || moving.len() >= FASTER_AT_ONCE {
                continue;
            }
            let Some(job) = self.jobs.jobs.get(&run.job) else {
                continue;
            };
            let own = self.replicas.by_id.get(&run.replica);
            let Some((own, service)) = own.and_then(|one| Some((one.event_ms?, &one.service)))
            else {
                continue;
            };
            if self.jobs.has_waiting(&job.model) {
                continue;
            }
            let exact = exact_version(job, &run.events);
            let faster = room.iter_mut().find(|place| {
                place.free > 0
                    && exact.is_none_or(|exact| place.version == exact)
                    && place.service == *service
                    && place.model == job.model
                    && place.version >= job.min_version
                    && own > place.event_ms * FASTER_FACTOR
            });
            if let Some(place) = faster {
                place.free -= 1;
                moving.push(*attempt);
            }
        }
        for attempt in moving {
            self.move_run(attempt, "faster_replica", now);
        }
    }

    /// Free places on replicas of known speed, the fastest first.
    fn fast_rooms(&self, now: Millis) -> Vec<FastRoom> {
        let mut rooms = Vec::new();
        for (id, replica) in &self.replicas.by_id {
            let Some(event_ms) = replica.event_ms else {
                continue;
            };
            let Some(model) = self.orders.serves_first.get(id) else {
                continue;
            };
            if replica.draining || replica.paused_until > now || self.orders.is_busy(id) {
                continue;
            }
            rooms.push(FastRoom {
                service: replica.service.clone(),
                model: model.clone(),
                version: replica.versions.get(model).copied().unwrap_or(0),
                event_ms,
                free: replica.slots.saturating_sub(replica.running),
            });
        }
        rooms.sort_by(|a, b| a.event_ms.total_cmp(&b.event_ms));
        rooms
    }
}
