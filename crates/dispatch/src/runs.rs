//! Active runs: their reported events, their cancellation and the storage of their partial texts.
//!
//! Owns the runs by attempt id. `starting` begins them, `ending` handles their ends, `moves` hands
//! them over, and `takeover` adopts runs that edges report to a new leader.

use crate::action::Action;
use crate::dispatcher::Dispatcher;
use brasspond_cluster_protocol::{AttemptId, Pace, StreamEvent};
use brasspond_fleet::Life;
use brasspond_jobs::{Part, Piece};
use brasspond_units::Millis;
use std::collections::{BTreeMap, HashMap};

/// Interval between appends of partial texts to the log, in ms. Limits how many events are
/// generated again after a failure of all processes.
const PARTS_INTERVAL_MS: Millis = 500;
/// Minimum number of new events of a run for an append to the log. Fewer events wait for a later
/// interval.
const MIN_PART_EVENTS: usize = 8;

/// An active run.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// Machine of its edge.
    pub machine: String,
    pub job: String,
    pub item: u32,
    pub item_id: String,
    pub replica: String,
    /// Known life of the replica when the run began or was adopted.
    pub life: Life,
    /// All events so far, including those of earlier runs of the item.
    pub events: Vec<StreamEvent>,
    /// Number of events that are in the log or being appended to it.
    pub persisted: usize,
    /// When the run began or its last report arrived.
    pub last_seen: Millis,
    /// Number of events of this run alone that were reported to this leader.
    pub own_events: u64,
    /// Whether the edge was ordered to stop the run.
    pub cancelled: bool,
    /// When the hand-over to another replica began, if it has.
    pub handed_over_at: Option<Millis>,
    /// When the run was granted a request, if its replica was warming up.
    pub granted_at: Option<Millis>,
}

/// Appends reported events to the known ones; returns false if an event is missing in between.
/// Event ids count from 1 without gaps. Events that are already known are skipped, as they may
/// arrive again when an edge's old connection delivers late.
fn extend_in_order(known: &mut Vec<StreamEvent>, reported: Vec<StreamEvent>) -> bool {
    for event in reported {
        let next = known.last().map_or(1, |last| last.id + 1);
        if event.id > next {
            return false;
        }
        if event.id == next {
            known.push(event);
        }
    }
    true
}

/// All active runs.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    pub by_id: BTreeMap<AttemptId, Run>,
    /// Number in the last attempt id.
    number: u64,
}

impl Runs {
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Ids of the runs that satisfy a condition.
    pub fn ids_where(&self, condition: impl Fn(&Run) -> bool) -> Vec<AttemptId> {
        let chosen = self.by_id.iter().filter(|(_, run)| condition(run));
        chosen.map(|(attempt, _)| *attempt).collect()
    }

    /// Number of runs by replica that are not cancelled.
    pub fn active_by_replica(&self) -> HashMap<&str, usize> {
        let mut active_by_replica = HashMap::new();
        for run in self.by_id.values().filter(|run| !run.cancelled) {
            *active_by_replica.entry(run.replica.as_str()).or_default() += 1;
        }
        active_by_replica
    }

    /// Returns the id of the next run or scoring order in a leader's term.
    pub fn next_id(&mut self, term: u64) -> AttemptId {
        self.number += 1;
        AttemptId {
            term,
            number: self.number,
        }
    }
}

impl Dispatcher {
    /// Handles an edge's report of a run's new events and their pace.
    pub(crate) fn on_progress(
        &mut self,
        machine: &str,
        attempt: AttemptId,
        events: Vec<StreamEvent>,
        pace: Option<Pace>,
        now: Millis,
    ) {
        if !self.runs.by_id.contains_key(&attempt) {
            if !self.scorings.contains(attempt) {
                self.cancel_unknown(machine, attempt);
            }
            return;
        }
        if !self.extend_run(attempt, events, now) {
            self.move_run(attempt, "events_missing", now);
            return;
        }
        let run = self.runs.by_id.get(&attempt);
        let run = run.filter(|run| self.is_of_known_life(run));
        let replica = run.map(|run| &run.replica);
        if let (Some(replica), Some(pace)) = (replica.cloned(), pace)
            && pace.events >= Pace::MIN_EVENTS
            && !self.orders.is_loading_any(&replica)
        {
            self.replicas
                .record_pace(&replica, pace.ms_per_event(), now);
        }
    }

    /// Cancels a run that is unknown to this leader, as it occupies a slot on a replica. The edge
    /// must not forget the run yet: its complete text may be about to enter the log, which a
    /// cancellation does not prevent.
    fn cancel_unknown(&mut self, machine: &str, attempt: AttemptId) {
        log::info!("event=run_unknown attempt={attempt} edge={machine}");
        self.cancel_at(machine, attempt);
    }

    /// Appends reported events to a run; returns false if an event is missing in between.
    pub(crate) fn extend_run(
        &mut self,
        attempt: AttemptId,
        events: Vec<StreamEvent>,
        now: Millis,
    ) -> bool {
        let Some(run) = self.runs.by_id.get_mut(&attempt) else {
            return true;
        };
        run.last_seen = now;
        if let Some(edge) = self.edges.get_mut(&run.machine) {
            edge.last_seen = now;
        }
        let known = run.events.len();
        let is_complete = extend_in_order(&mut run.events, events);
        run.own_events += (run.events.len() - known) as u64;
        is_complete
    }

    /// Whether the replica of a run has not restarted since the run began.
    pub(crate) fn is_of_known_life(&self, run: &Run) -> bool {
        self.replicas.lives.of(&run.replica) == run.life
    }

    /// Removes a run and updates the run counts of its replica and its edge.
    pub(crate) fn remove_run(&mut self, attempt: AttemptId) -> Option<Run> {
        let run = self.runs.by_id.remove(&attempt)?;
        if let Some(replica) = self.replicas.by_id.get_mut(&run.replica) {
            replica.running = replica.running.saturating_sub(1);
            self.placement.mark_changed(&run.replica);
        }
        if let Some(edge) = self.edges.get_mut(&run.machine) {
            edge.running = edge.running.saturating_sub(1);
        }
        Some(run)
    }

    /// Orders a run's edge to stop the run, unless it was already ordered to.
    pub(crate) fn cancel(&mut self, attempt: AttemptId) {
        if let Some(run) = self.runs.by_id.get_mut(&attempt)
            && !run.cancelled
        {
            run.cancelled = true;
            let machine = run.machine.clone();
            self.actions.push(Action::Cancel { machine, attempt });
        }
    }

    /// Orders an edge to stop a run that may be unknown to this leader.
    pub(crate) fn cancel_at(&mut self, machine: &str, attempt: AttemptId) {
        self.actions.push(Action::Cancel {
            machine: machine.to_string(),
            attempt,
        });
    }

    /// Orders an edge to forget a run or scoring, as no further reports on it are needed.
    pub(crate) fn forget_at(&mut self, machine: &str, attempt: AttemptId) {
        self.actions.push(Action::Recorded {
            machine: machine.to_string(),
            attempt,
        });
    }

    /// Appends new events of runs to the log every [`PARTS_INTERVAL_MS`], so that a new leader can
    /// continue the texts after them. The draft of the complete text then contains only the events
    /// that are not in the log.
    pub(crate) fn persist_parts(&mut self, now: Millis) {
        if now < self.persisted_at + PARTS_INTERVAL_MS {
            return;
        }
        self.persisted_at = now;
        for run in self.runs.by_id.values_mut() {
            let unpersisted = run.events.len().saturating_sub(run.persisted);
            let is_open = self.jobs.contains(&run.job);
            if run.cancelled || unpersisted < MIN_PART_EVENTS || !is_open {
                continue;
            }
            let parts = run.events[run.persisted..].iter().map(|event| Part {
                data: event.data.clone(),
                version: event.version,
            });
            self.actions.push(Action::Extend(Piece {
                job: run.job.clone(),
                item: run.item,
                after: run.persisted as u64,
                parts: parts.collect(),
            }));
            run.persisted = run.events.len();
        }
    }
}
