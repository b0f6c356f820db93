//! Runs: begun, told of, ended, moved.

use crate::dispatcher::{Action, Dispatcher, Edge};
use crate::jobs::{JobRun, State, draft_of};
use crate::placement::Sight;
use crate::replicas::Need;
use brasspond_cluster_protocol::{AttemptId, Pace, RunEnd, RunSpec, StreamEvent};
use brasspond_distance::{Distance, Place};
use brasspond_fleet::{Life, Regions};
use brasspond_jobs::{JobTable, Listing, Outcome, Part, Piece};
use brasspond_units::Millis;
use std::collections::{BTreeMap, HashMap};

/// Runs started at a time: a few ms of work, so that a leader with thousands of items
/// to place is heard between them. The next event, ms later, goes on with the others.
const MOST_STARTS: usize = 512;
/// Events of a run that are worth an entry of the log.
const KEPT_EVENTS: usize = 8;
/// An edge that was not heard for so long, in ms, is given runs only where all are: it tells
/// something each 500 ms, so that two words are missing. While six edges stood still for 1.8 s
/// a leader ordered 16 to 40 runs of a job of 24 items from them, none of which could be of use.
const QUIET: Millis = 1_000;
/// Opening a connection is worth avoiding as much as so many runs on an edge.
const NEW_CONNECTION: usize = 6;

/// How many runs an edge may have more than another that is farther from the replica. An
/// edge with a small part of a core bears some tens of runs; each event that passes between
/// zones or regions is paid for, and between regions it is late by several ms.
const fn crossing(distance: Distance) -> usize {
    match distance {
        Distance::SameZone => 0,
        Distance::SameRegion => 40,
        Distance::OtherRegion => 160,
    }
}

/// A run under way.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub machine: String,
    pub job: String,
    pub item: u32,
    pub item_id: String,
    pub replica: String,
    /// Its life, as it was known when the run began.
    pub life: Life,
    /// All events so far, those of earlier runs included.
    pub events: Vec<StreamEvent>,
    /// How many of them the log keeps, or is about to.
    pub kept: usize,
    /// When it began, or was last heard of.
    pub heard_at: Millis,
    pub made: u64,
    /// It is being stopped.
    pub cancelled: bool,
    /// Since when it is being handed over to another replica.
    pub handed_over_at: Option<Millis>,
    /// When it was granted, if its replica warmed up.
    pub granted_at: Option<Millis>,
}

/// The version that must go on with what was made, where one must make all.
pub(crate) fn exact_version(job: &JobRun, events: &[StreamEvent]) -> Option<u64> {
    let first = events.first()?;
    job.is_single_version().then_some(first.version)
}

/// Adds the events that follow those known, which are numbered from 1 without a
/// gap; says whether none is missing. Events known already come again where an
/// edge's old link delivers late, after its new link told of all runs.
fn extend_in_order(known: &mut Vec<StreamEvent>, told: Vec<StreamEvent>) -> bool {
    for event in told {
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

/// All runs.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    pub by_id: BTreeMap<AttemptId, Run>,
    number: u64,
}

impl Edge {
    /// Whether it was not heard for long.
    pub(crate) fn is_quiet(&self, now: Millis) -> bool {
        now >= self.heard_at + QUIET
    }

    /// Whether a connection to a replica is at rest here.
    fn rests_to(&self, replica: &str) -> bool {
        self.resting
            .get(replica)
            .is_some_and(|resting| *resting > 0)
    }

    /// A run begins, on a connection at rest if there is one.
    fn begin_run(&mut self, replica: &str) {
        self.running += 1;
        if let Some(resting) = self.resting.get_mut(replica) {
            *resting = resting.saturating_sub(1);
        }
    }
}

impl Runs {
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// How many runs that are not being stopped each replica has.
    pub fn lasting(&self) -> HashMap<&str, usize> {
        let mut lasting = HashMap::new();
        for run in self.by_id.values().filter(|run| !run.cancelled) {
            *lasting.entry(run.replica.as_str()).or_default() += 1;
        }
        lasting
    }

    /// The identity of the next run or scoring of a leader.
    pub fn next_id(&mut self, term: u64) -> AttemptId {
        self.number += 1;
        AttemptId {
            term,
            number: self.number,
        }
    }
}

impl Dispatcher {
    /// Starts as many waiting items as replicas have room for.
    pub(crate) fn start_runs(&mut self, table: &JobTable, now: Millis) {
        if now < self.began + self.settings.adopt_ms {
            return;
        }
        let waiting = self.jobs.with_waiting();
        if waiting.is_empty() {
            return;
        }
        self.note_reopened(now);
        let sight = Sight {
            replicas: &self.replicas,
            orders: &self.orders,
            now,
        };
        self.placement.refresh(sight);
        let mut started = 0;
        for id in waiting {
            while started < MOST_STARTS && self.start_one(&id, table, now) {
                started += 1;
            }
        }
    }

    fn start_one(&mut self, id: &str, table: &JobTable, now: Millis) -> bool {
        let Some(item) = self.jobs.next_waiting(id) else {
            return false;
        };
        if self.withhold(id, item, table, now) {
            return true;
        }
        let Some(job) = self.jobs.jobs.get(id) else {
            return false;
        };
        let Some(route) = &job.route else {
            return false;
        };
        let regions = route.regions.clone();
        let bodies = route.bodies.clone();
        let need = Need {
            service: route.service(item),
            regions: &regions,
            model: &job.model,
            min_version: job.min_version,
            exact: exact_version(job, &job.items[item as usize].events),
        };
        let sight = Sight {
            replicas: &self.replicas,
            orders: &self.orders,
            now,
        };
        let mut chosen = self.placement.choose(&need, sight);
        let mut begins_anew = false;
        if chosen.is_none() && need.exact.is_some() {
            let anew = Need {
                exact: None,
                ..need
            };
            chosen = self.placement.choose(&anew, sight);
            begins_anew = true;
        }
        let Some(replica) = chosen else {
            return false;
        };
        let Some(machine) = self.choose_edge(&replica, &bodies, now) else {
            return false;
        };
        let single_version = route.single_version;
        let Some(stored) = table.job(id).and_then(|job| job.items.get(item as usize)) else {
            return false;
        };
        let attempt = self.runs.next_id(self.term);
        let life = self.replicas.lives.of(&replica);
        let granted_at = self.spend_for_item(&replica, now);
        let Some(job) = self.jobs.jobs.get_mut(id) else {
            return false;
        };
        job.waiting.pop_first();
        let item_run = &mut job.items[item as usize];
        item_run.state = State::Running(attempt);
        let mut events = std::mem::take(&mut item_run.events);
        let mut kept = std::mem::take(&mut item_run.kept);
        if begins_anew {
            events.clear();
            kept = 0;
        }
        let mut send_by = None;
        if let Some(edge) = self.edges.get_mut(&machine) {
            edge.begin_run(&replica);
            send_by = granted_at.and_then(|_| edge.send_by(now));
        }
        let Some(known) = self.replicas.by_id.get_mut(&replica) else {
            return false;
        };
        known.running += 1;
        let spec = RunSpec {
            attempt,
            job: id.to_string(),
            item,
            item_id: stored.id.clone(),
            host: job.host.clone(),
            path: stored.path.clone(),
            headers: stored.headers.clone(),
            body: stored.body.clone(),
            replica: replica.clone(),
            address: known.standing.address,
            min_version: job.min_version,
            single_version,
            events: events.clone(),
            scoring: stored.scoring.clone(),
            tenant: table.job(id).and_then(|job| job.tenant.clone()),
            send_by,
            life,
        };
        log::info!(
            "event=run_started job={id} item={} attempt={} replica={replica} edge={machine} events={} waited_ms={} expected_tokens={} version={} min_version={} runs_there={} event_ms={:.1} granted={} replicas_revision={}",
            stored.id,
            attempt,
            events.len(),
            now - job.since,
            stored.expected_tokens,
            known
                .standing
                .versions
                .get(&job.model)
                .copied()
                .unwrap_or(0),
            job.min_version,
            known.running,
            known.event_ms.unwrap_or(0.0),
            granted_at.is_some(),
            self.view.replicas_revision
        );
        let run = Run {
            machine: machine.clone(),
            job: id.to_string(),
            item,
            item_id: stored.id.clone(),
            replica,
            life,
            events,
            kept,
            heard_at: now,
            made: 0,
            cancelled: false,
            handed_over_at: None,
            granted_at,
        };
        self.runs.by_id.insert(attempt, run);
        self.actions.push(Action::Run {
            machine,
            spec: Box::new(spec),
        });
        true
    }

    /// The edge with the fewest runs; one that was heard, one near the replica, and one with a
    /// connection to it at rest, before others. The item's body goes there, and its scoring call's: none
    /// outside their regions is taken. Where the leader is far from the replica the text
    /// passes that way once, whichever side the edge is on: an edge tells it packed, several
    /// events at a time.
    fn choose_edge(&self, replica: &str, bodies: &Regions, now: Millis) -> Option<String> {
        let known = self.replicas.by_id.get(replica)?;
        let standing = &known.standing;
        let there = Place::new(&standing.zone, standing.region.clone());
        // A run that must leave in time goes to an edge whose clock is known.
        let must_hurry = known.has_budget(now);
        let taking = self.edges.iter().filter(|(_, edge)| {
            let keeps_time = !must_hurry || edge.send_by(now).is_some();
            keeps_time && !edge.draining && bodies.allows(edge.region.as_deref())
        });
        let cost = |edge: &Edge| {
            let distance = there.distance_to(&edge.zone, edge.region.as_deref());
            let opens = if edge.rests_to(replica) {
                0
            } else {
                NEW_CONNECTION
            };
            (
                edge.is_quiet(now),
                edge.running + crossing(distance) + opens,
            )
        };
        let best = taking.min_by_key(|(_, edge)| cost(edge));
        best.map(|(machine, _)| machine.clone())
    }

    pub(crate) fn on_progress(
        &mut self,
        machine: &str,
        attempt: AttemptId,
        events: Vec<StreamEvent>,
        pace: Option<Pace>,
        now: Millis,
    ) {
        if !self.runs.by_id.contains_key(&attempt) {
            if !self.scorings.holds(attempt) {
                self.end_unknown(machine, attempt);
            }
            return;
        }
        if !self.take_events(attempt, events, now) {
            self.move_run(attempt, "events_missing", now);
            return;
        }
        let run = self.runs.by_id.get(&attempt);
        let run = run.filter(|run| self.is_of_present_life(run));
        let replica = run.map(|run| &run.replica);
        if let (Some(replica), Some(pace)) = (replica.cloned(), pace)
            && pace.events >= Pace::LEAST_EVENTS
            && !self.orders.is_busy(&replica)
        {
            self.replicas.note_speed(&replica, pace.event_ms(), now);
        }
    }

    /// Ends a run that an edge holds and this leader does not know: it takes a place on a
    /// replica, and nothing else would ever end it. Its edge told of such runs four times a
    /// second for the 7 s of a text, past the end of their job. It is not told to forget it: a
    /// text that is whole there may be on its way into the log, and a cancellation leaves it.
    fn end_unknown(&mut self, machine: &str, attempt: AttemptId) {
        log::info!("event=run_unknown attempt={attempt} edge={machine}");
        self.actions.push(Action::Cancel {
            machine: machine.to_string(),
            attempt,
        });
    }

    /// Adds events of a run to those known; says whether none is missing between
    /// them.
    fn take_events(&mut self, attempt: AttemptId, events: Vec<StreamEvent>, now: Millis) -> bool {
        let Some(run) = self.runs.by_id.get_mut(&attempt) else {
            return true;
        };
        run.heard_at = now;
        if let Some(edge) = self.edges.get_mut(&run.machine) {
            edge.heard_at = now;
        }
        let known = run.events.len();
        let is_complete = extend_in_order(&mut run.events, events);
        run.made += (run.events.len() - known) as u64;
        is_complete
    }

    pub(crate) fn on_ended(
        &mut self,
        machine: &str,
        attempt: AttemptId,
        events: Vec<StreamEvent>,
        end: RunEnd,
        now: Millis,
    ) {
        let is_complete = self.take_events(attempt, events, now);
        let end = if is_complete { end } else { RunEnd::Broken };
        let Some(run) = self.remove_run(attempt) else {
            self.recorded(machine, attempt);
            return;
        };
        let is_present = self.is_of_present_life(&run);
        if is_present {
            self.judge_replica(&run, end, now);
        }
        if end == RunEnd::Unsent && run.granted_at.is_none() {
            // Its edge knows that the replica warms up: it waits until this process does.
            self.replicas.note_fault(&run.replica, now);
        }
        self.take_back(attempt, &run.replica, run.granted_at, end);
        if end == RunEnd::Whole
            && is_present
            && let Some(edge) = self.edges.get_mut(machine)
        {
            *edge.resting.entry(run.replica.clone()).or_default() += 1;
        }
        log::info!(
            "event=run_ended job={} item={} attempt={attempt} replica={} end={} events={}",
            run.job,
            run.item_id,
            run.replica,
            end.name(),
            run.events.len()
        );
        let Some(job) = self.jobs.jobs.get_mut(&run.job) else {
            self.keep_for_later(run);
            self.recorded(machine, attempt);
            return;
        };
        let exact = exact_version(job, &run.events);
        let is_mixed = exact.is_some_and(|exact| run.events.iter().any(|one| one.version != exact));
        let end = if is_mixed { RunEnd::Mixed } else { end };
        let item = &mut job.items[run.item as usize];
        if item.state != State::Running(attempt) {
            self.recorded(machine, attempt);
            return;
        }
        let max_attempts = job.route.as_ref().map_or(1, |route| route.max_attempts);
        let is_failed = matches!(end, RunEnd::Failed);
        item.failures += u32::from(is_failed);
        let gives_up = end == RunEnd::Impossible || item.failures >= max_attempts;
        if end == RunEnd::Whole && item.is_scored {
            self.begin_scoring(attempt, machine, run, now);
            return;
        }
        if end == RunEnd::Whole {
            item.state = State::Ending(Some((attempt, machine.to_string())));
            let draft = draft_of(&run.job, run.item, &run.events, run.kept);
            self.actions.push(Action::Finish(draft));
            return;
        }
        if gives_up {
            item.state = State::Ending(Some((attempt, machine.to_string())));
            self.terminate(&run.job, run.item);
            return;
        }
        if end != RunEnd::Mixed {
            item.events = run.events;
            item.kept = run.kept;
        }
        self.jobs.wait(&run.job, run.item);
        self.recorded(machine, attempt);
    }

    /// Gives an item up for good.
    pub(crate) fn terminate(&mut self, job: &str, item: u32) {
        self.actions.push(Action::List(Listing {
            job: job.to_string(),
            item,
            outcome: Outcome::Terminated,
        }));
    }

    pub(crate) fn recorded(&mut self, machine: &str, attempt: AttemptId) {
        self.actions.push(Action::Recorded {
            machine: machine.to_string(),
            attempt,
        });
    }

    /// Whether a run was begun at the life of its replica that is known.
    pub(crate) fn is_of_present_life(&self, run: &Run) -> bool {
        self.replicas.lives.of(&run.replica) == run.life
    }

    fn judge_replica(&mut self, run: &Run, end: RunEnd, now: Millis) {
        let replica = &run.replica;
        let job = self.jobs.jobs.get(&run.job);
        if let Some(job) = job.filter(|_| end == RunEnd::TooOld) {
            self.replicas.disprove(replica, &job.model, job.min_version);
            self.orders.forget_count(replica);
        }
        match end {
            RunEnd::Broken | RunEnd::Unreachable | RunEnd::NotRun { .. } | RunEnd::TooOld => {
                self.replicas.note_fault(replica, now);
            }
            RunEnd::Whole
            | RunEnd::Failed
            | RunEnd::Impossible
            | RunEnd::Mixed
            | RunEnd::Unsent
            | RunEnd::Cancelled => {}
        }
    }

    /// Takes a run out and frees its place.
    pub(crate) fn remove_run(&mut self, attempt: AttemptId) -> Option<Run> {
        let run = self.runs.by_id.remove(&attempt)?;
        if let Some(replica) = self.replicas.by_id.get_mut(&run.replica) {
            replica.running = replica.running.saturating_sub(1);
            self.placement.freed(&run.replica);
        }
        if let Some(edge) = self.edges.get_mut(&run.machine) {
            edge.running = edge.running.saturating_sub(1);
        }
        Some(run)
    }

    fn keep_for_later(&mut self, run: Run) {
        self.jobs.keep(run.item_id, run.events);
    }

    pub(crate) fn on_listed(&mut self, job: &str, item: u32, table: &JobTable) {
        let stored = table.job(job);
        if stored.is_some_and(|stored| !stored.listed[item as usize] && !stored.ended) {
            self.begin_anew(job, item);
            return;
        }
        let before = self.jobs.listed(job, item, table);
        match before {
            Some(State::Ending(Some((attempt, machine)))) => self.recorded(&machine, attempt),
            Some(State::Running(attempt)) => self.cancel(attempt),
            Some(State::Scoring(Some(attempt))) => self.forget_scoring(attempt),
            _ => {}
        }
    }

    /// What was to be listed did not fit what the log keeps: the item's text is made
    /// from the first event.
    fn begin_anew(&mut self, job: &str, item: u32) {
        let run = self.jobs.jobs.get_mut(job);
        let Some(item_run) = run.and_then(|run| run.items.get_mut(item as usize)) else {
            return;
        };
        if let State::Ending(told) = item_run.state.clone() {
            log::warn!("event=result_void job={job} item={}", item_run.id);
            item_run.events = Vec::new();
            item_run.kept = 0;
            self.jobs.wait(job, item);
            if let Some((attempt, machine)) = told {
                self.recorded(&machine, attempt);
            }
        }
    }

    pub(crate) fn cancel(&mut self, attempt: AttemptId) {
        if let Some(run) = self.runs.by_id.get_mut(&attempt)
            && !run.cancelled
        {
            run.cancelled = true;
            let machine = run.machine.clone();
            self.actions.push(Action::Cancel { machine, attempt });
        }
    }

    pub(crate) fn end_job(&mut self, id: &str) {
        let Some(job) = self.jobs.close(id) else {
            return;
        };
        for item in job.items {
            match item.state {
                State::Running(attempt) => self.cancel(attempt),
                State::Waiting | State::Withheld => self.jobs.keep(item.id, item.events),
                State::Scoring(Some(attempt)) => self.forget_scoring(attempt),
                State::Scoring(None) | State::Ending(_) | State::Listed => {}
            }
        }
    }

    /// Gives up a run without waiting for its end; its item waits again.
    pub(crate) fn abandon_run(&mut self, attempt: AttemptId, _now: Millis) {
        let Some(run) = self.remove_run(attempt) else {
            return;
        };
        let Some(job) = self.jobs.jobs.get_mut(&run.job) else {
            return;
        };
        let item = &mut job.items[run.item as usize];
        if item.state == State::Running(attempt) {
            item.events = run.events;
            item.kept = run.kept;
            self.jobs.wait(&run.job, run.item);
        }
    }

    /// Keeps from time to time what runs have made: texts of some length are worth
    /// more than the bytes, and none of these is sent again with the whole text.
    pub(crate) fn keep_parts(&mut self, now: Millis) {
        if now < self.kept_at + self.settings.keep_ms {
            return;
        }
        self.kept_at = now;
        for run in self.runs.by_id.values_mut() {
            let untold = run.events.len().saturating_sub(run.kept);
            if run.cancelled || untold < KEPT_EVENTS || !self.jobs.jobs.contains_key(&run.job) {
                continue;
            }
            let parts = run.events[run.kept..].iter().map(|event| Part {
                data: event.data.clone(),
                version: event.version,
            });
            self.actions.push(Action::Extend(Piece {
                job: run.job.clone(),
                item: run.item,
                after: run.kept as u64,
                parts: parts.collect(),
            }));
            run.kept = run.events.len();
        }
    }

    /// Items that waited longer than their route allows are given up.
    pub(crate) fn give_up_overdue(&mut self, now: Millis) {
        let mut overdue = Vec::new();
        for (id, job) in &self.jobs.jobs {
            let Some(route) = &job.route else {
                continue;
            };
            if route.max_queue_ms == 0 || now < job.since + route.max_queue_ms {
                continue;
            }
            let waiting = job.waiting.iter().map(|(_, item)| item);
            for item in waiting.chain(job.withheld.keys()) {
                overdue.push((id.clone(), *item));
            }
            for (index, item) in job.items.iter().enumerate() {
                if matches!(item.state, State::Scoring(_)) {
                    overdue.push((id.clone(), index as u32));
                }
            }
        }
        for (id, item) in overdue {
            self.jobs.take_waiting(&id, item);
            self.stop_scoring(&id, item);
            if let Some(job) = self.jobs.jobs.get_mut(&id) {
                job.withheld.remove(&item);
                log::info!(
                    "event=item_given_up job={id} item={} waited_ms={}",
                    job.items[item as usize].id,
                    now - job.since
                );
                job.items[item as usize].state = State::Ending(None);
            }
            self.terminate(&id, item);
        }
    }
}
