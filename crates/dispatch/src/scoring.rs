//! Whole texts that wait for their scores.
//!
//! The edge that ran an item makes its scoring call as soon as the text is whole;
//! meanwhile the text goes into the log. Where that edge is lost, or its call
//! finds no answer, another edge is ordered to score the text that the log holds.
//! A score counts only from the edge that is expected to tell it, so a text has
//! one; and every call to be counted was made after the text was whole.

use crate::dispatcher::{Action, Dispatcher};
use crate::jobs::{State, draft_of};
use crate::runs::Run;
use crate::withheld::SCORING_PAUSE;
use brasspond_cluster_protocol::{AttemptId, RunReport, ScoringEnd, ScoringSpec};
use brasspond_fleet::FleetView;
use brasspond_jobs::{JobTable, Score, ScoringCall};
use brasspond_units::Millis;
use std::collections::BTreeMap;

/// Time beyond that of a call for an edge to tell its score before another edge is ordered,
/// in ms: messages both ways, and a pause between two attempts.
const MARGIN: Millis = 200;
/// Time of a call to which no route leads, in ms: its edge hands it back after as long, so this
/// must be no less than the edge's.
const UNROUTED: Millis = 1_000;
/// A call that ends unanswered has had all its time if no more than this was left of it, in
/// ms: no attempt is begun in less than the longest pause between two.
const LITTLE: Millis = 200;
/// Pause before a text that found no answer is scored again, in ms.
const PAUSE: Millis = 150;

/// A scoring under way.
#[derive(Clone, Debug)]
struct Scoring {
    machine: String,
    job: String,
    item: u32,
    since: Millis,
    /// Time for the call, in ms, once it was looked up.
    time: Option<Millis>,
}

impl Scoring {
    /// Whether another edge is to be ordered.
    fn is_late(&self, now: Millis) -> bool {
        let time = self.time;
        time.is_some_and(|time| now >= self.since + time + MARGIN)
    }

    /// Whether all the time for the call has passed.
    fn has_run_out(&self, now: Millis) -> bool {
        let time = self.time;
        time.is_some_and(|time| now + LITTLE >= self.since + time)
    }
}

/// All scorings under way, by the run that made the text or the order to score it.
#[derive(Debug, Default)]
pub(crate) struct Scorings {
    by_id: BTreeMap<AttemptId, Scoring>,
}

impl Scorings {
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether this run or order scores a text.
    pub fn holds(&self, attempt: AttemptId) -> bool {
        self.by_id.contains_key(&attempt)
    }

    /// Scorings at an edge.
    fn at(&self, machine: &str) -> usize {
        let held = self.by_id.values();
        held.filter(|one| one.machine == machine).count()
    }
}

impl Dispatcher {
    /// A text is whole: it is kept, and its edge scores it.
    pub(crate) fn begin_scoring(
        &mut self,
        attempt: AttemptId,
        machine: &str,
        run: Run,
        now: Millis,
    ) {
        let draft = draft_of(&run.job, run.item, &run.events, run.kept);
        self.actions.push(Action::Keep(draft));
        self.jobs.note_text(&run.job, run.item, &run.item_id);
        self.set_state(&run.job, run.item, State::Scoring(Some(attempt)));
        let scoring = Scoring {
            machine: machine.to_string(),
            job: run.job,
            item: run.item,
            since: now,
            time: None,
        };
        self.scorings.by_id.insert(attempt, scoring);
    }

    pub(crate) fn on_scored(
        &mut self,
        machine: &str,
        attempt: AttemptId,
        end: ScoringEnd,
        now: Millis,
    ) {
        let Some(scoring) = self.scorings.by_id.remove(&attempt) else {
            self.recorded(machine, attempt);
            return;
        };
        log::info!(
            "event=scoring_ended job={} item={} attempt={attempt} edge={machine} end={} elapsed_ms={} time_ms={:?}",
            scoring.job,
            self.item_id(&scoring),
            end.name(),
            now - scoring.since,
            scoring.time
        );
        match end {
            ScoringEnd::Scored(score) => {
                self.set_state(
                    &scoring.job,
                    scoring.item,
                    State::Ending(Some((attempt, machine.to_string()))),
                );
                self.actions.push(Action::ListScored(Score {
                    job: scoring.job,
                    item: scoring.item,
                    score,
                }));
            }
            ScoringEnd::Failed => {
                self.set_state(
                    &scoring.job,
                    scoring.item,
                    State::Ending(Some((attempt, machine.to_string()))),
                );
                self.terminate(&scoring.job, scoring.item);
            }
            ScoringEnd::Unanswered => {
                self.recorded(machine, attempt);
                self.note_unanswered(&scoring, now);
                let from = now + PAUSE;
                self.jobs.wait_for_score(&scoring.job, scoring.item, from);
            }
        }
    }

    /// Orders edges to score the texts that no edge scores.
    pub(crate) fn start_scorings(&mut self, table: &JobTable, now: Millis) {
        if now < self.began + self.settings.adopt_ms {
            return;
        }
        for (job, item) in self.jobs.take_unscored(now) {
            if self.is_scoring_held(&job, item, table) {
                self.jobs.wait_for_score(&job, item, now + SCORING_PAUSE);
            } else if !self.start_scoring(&job, item, table, now) {
                self.jobs.wait_for_score(&job, item, now + PAUSE);
            }
        }
    }

    /// Whether an edge was ordered.
    fn start_scoring(&mut self, id: &str, item: u32, table: &JobTable, now: Millis) -> bool {
        let stored = table.job(id).and_then(|job| job.items.get(item as usize));
        let Some((stored, call)) = stored.and_then(|one| Some((one, one.scoring.as_ref()?))) else {
            return false;
        };
        let route = self.jobs.jobs.get(id).and_then(|job| job.route.as_ref());
        let (regions, bodies) = route.map_or_else(Default::default, |route| {
            (route.regions.clone(), route.bodies.clone())
        });
        let taking = self.edges.iter();
        let taking =
            taking.filter(|(_, edge)| !edge.draining && bodies.allows(edge.region.as_deref()));
        // Runs alone do not tell how busy an edge is here: all texts of a lost edge, 24 of one
        // job, went to the one with the fewest runs, a silent one.
        let least = taking.min_by_key(|(machine, edge)| {
            let calls = self.scorings.at(machine);
            (edge.is_quiet(now), edge.running + calls)
        });
        let Some((machine, _)) = least else {
            return false;
        };
        let machine = machine.clone();
        let attempt = self.runs.next_id(self.term);
        let time = call_time(&self.view, call);
        let job = self.jobs.jobs.get(id);
        let ran_out = job.map_or(0, |job| job.items[item as usize].ran_out);
        log::info!(
            "event=scoring_ordered job={id} item={} attempt={attempt} edge={machine} request={} ran_out={ran_out} time_ms={time}",
            stored.id,
            call.id
        );
        let spec = ScoringSpec {
            attempt,
            job: id.to_string(),
            item_id: stored.id.clone(),
            call: call.clone(),
            regions,
            ran_out,
        };
        self.set_state(id, item, State::Scoring(Some(attempt)));
        let scoring = Scoring {
            machine: machine.clone(),
            job: id.to_string(),
            item,
            since: now,
            time: Some(time),
        };
        self.scorings.by_id.insert(attempt, scoring);
        self.actions.push(Action::Score {
            machine,
            spec: Box::new(spec),
        });
        true
    }

    /// An edge that came back tells of a scoring that was never given up.
    pub(crate) fn refresh_scoring(
        &mut self,
        machine: &str,
        attempt: AttemptId,
        end: Option<ScoringEnd>,
        now: Millis,
    ) {
        if let Some(end) = end {
            self.on_scored(machine, attempt, end, now);
        }
    }

    /// Scorings that an edge which came back, or is out of reach, does not tell
    /// of: other edges are ordered.
    pub(crate) fn forget_untold_scorings(
        &mut self,
        machine: &str,
        told: &[RunReport],
        now: Millis,
    ) {
        let is_told = |attempt: &AttemptId| told.iter().any(|one| one.attempt == *attempt);
        let held = self.scorings.by_id.iter();
        let untold = held.filter(|(id, one)| one.machine == machine && !is_told(id));
        let untold: Vec<AttemptId> = untold.map(|(attempt, _)| *attempt).collect();
        for attempt in untold {
            self.repeat_scoring(attempt, now);
        }
    }

    /// Scorings that take longer than their route allows are ordered from another edge.
    pub(crate) fn forget_late_scorings(&mut self, table: &JobTable, now: Millis) {
        for scoring in self.scorings.by_id.values_mut() {
            if scoring.time.is_none() {
                let call = call_of(table, &scoring.job, scoring.item);
                let time = call.map(|call| call_time(&self.view, call));
                scoring.time = Some(time.unwrap_or(UNROUTED));
            }
        }
        let held = self.scorings.by_id.iter();
        let late = held.filter(|(_, one)| one.is_late(now));
        let late: Vec<AttemptId> = late.map(|(attempt, _)| *attempt).collect();
        for attempt in late {
            self.repeat_scoring(attempt, now);
        }
    }

    /// Scorings at edges outside their regions are ordered from others; those at one edge
    /// alone where one is named.
    pub(crate) fn move_scorings_inside(&mut self, edge: Option<&str>, now: Millis) {
        let held = self.scorings.by_id.iter();
        let held = held.filter(|(_, one)| edge.is_none_or(|edge| edge == one.machine));
        let outside = held.filter(|(_, one)| {
            let job = self.jobs.jobs.get(&one.job);
            let route = job.and_then(|job| job.route.as_ref());
            route.is_some_and(|route| !self.is_edge_inside(&one.machine, &route.bodies))
        });
        let outside: Vec<AttemptId> = outside.map(|(attempt, _)| *attempt).collect();
        for attempt in outside {
            self.repeat_scoring(attempt, now);
        }
    }

    /// What a call that found no answer tells of the next one for its text.
    fn note_unanswered(&mut self, scoring: &Scoring, now: Millis) {
        if !scoring.has_run_out(now) {
            return;
        }
        if let Some(job) = self.jobs.jobs.get_mut(&scoring.job) {
            job.items[scoring.item as usize].ran_out += 1;
        }
    }

    fn repeat_scoring(&mut self, attempt: AttemptId, now: Millis) {
        let Some(scoring) = self.scorings.by_id.get(&attempt).cloned() else {
            return;
        };
        self.forget_scoring(attempt);
        self.note_unanswered(&scoring, now);
        self.jobs.wait_for_score(&scoring.job, scoring.item, now);
    }

    /// Has an edge stop to score a text.
    pub(crate) fn forget_scoring(&mut self, attempt: AttemptId) {
        if let Some(scoring) = self.scorings.by_id.remove(&attempt) {
            self.recorded(&scoring.machine, attempt);
        }
    }

    /// Has nobody score an item's text any more.
    pub(crate) fn stop_scoring(&mut self, job: &str, item: u32) {
        let state = self.jobs.jobs.get(job).map(|job| &job.items[item as usize]);
        if let Some(State::Scoring(Some(attempt))) = state.map(|item| &item.state) {
            self.forget_scoring(*attempt);
        }
    }

    fn set_state(&mut self, job: &str, item: u32, state: State) {
        if let Some(job) = self.jobs.jobs.get_mut(job) {
            job.items[item as usize].state = state;
        }
    }

    fn item_id(&self, scoring: &Scoring) -> &str {
        let job = self.jobs.jobs.get(&scoring.job);
        job.map_or("", |job| job.items[scoring.item as usize].id.as_str())
    }
}

/// The call that scores an item's text.
fn call_of<'a>(table: &'a JobTable, job: &str, item: u32) -> Option<&'a ScoringCall> {
    let item = table.job(job)?.items.get(item as usize)?;
    item.scoring.as_ref()
}

/// Time for a call, in ms: as long as its route allows a request to be held.
fn call_time(view: &FleetView, call: &ScoringCall) -> Millis {
    let configuration = view.configuration.as_ref();
    let route = configuration.and_then(|one| one.route(&call.host, &call.path));
    route.map_or(UNROUTED, |route| route.timeout_ms.max(1))
}
