//! Starts the runs of items that the leader orders, and reports their progress and ends to it.
//!
//! Keeps every run until the leader has recorded its end. [`super::item_run`] executes a run. The
//! leader decides where an item runs and whether it runs again.

use super::item_run::run_item;
use super::pace::PaceMeter;
use super::process::Edge;
use super::scoring::{ScoringTasks, score};
use crate::clock::Moment;
use brasspond_cluster_protocol::{
    AttemptId, Message, RunEnd, RunProgress, RunReport, RunSpec, ScoringEnd, StreamEvent,
};
use brasspond_eligibility::{Clearance, Ineligible};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Events of a run, shared between its task and the event loop.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// All events, including those of earlier runs of the item.
    events: Vec<StreamEvent>,
    /// Number of events that were reported to the leader.
    reported: usize,
    pace: PaceMeter,
}

impl Progress {
    /// Begins with the events of earlier runs of the item, which the leader already knows.
    fn new(events: Vec<StreamEvent>) -> Self {
        Self {
            reported: events.len(),
            events,
            pace: PaceMeter::default(),
        }
    }

    pub fn events(&self) -> &[StreamEvent] {
        &self.events
    }

    pub fn push(&mut self, event: StreamEvent, now: Moment) {
        self.events.push(event);
        self.pace.record_event(now);
    }

    /// Returns the events not reported yet and marks them as reported.
    fn take_unreported(&mut self) -> Vec<StreamEvent> {
        let events = self.events[self.reported..].to_vec();
        self.reported = self.events.len();
        events
    }

    /// Returns all events for a registration and marks them as reported.
    fn take_all(&mut self) -> Vec<StreamEvent> {
        self.reported = self.events.len();
        self.events.clone()
    }
}

/// State of a run until the leader has recorded its end.
struct RunState {
    job: String,
    item: u32,
    replica: String,
    progress: Rc<RefCell<Progress>>,
    task: AbortHandle,
    /// How the run ended; `None` while it is in progress.
    end: Option<RunEnd>,
    /// Whether the order contains a scoring call for the complete text.
    has_scoring_call: bool,
    /// How the scoring of the text ended; `None` until then.
    scoring: Option<ScoringEnd>,
}

/// Updates from a run's task to the event loop.
pub(super) enum RunUpdate {
    /// The run has ended.
    Ended(AttemptId, RunEnd),
    /// Scoring of the run's text has ended.
    Scored(AttemptId, ScoringEnd),
}

/// Runs and scorings of this edge.
pub(super) struct JobTasks {
    pub runs: RefCell<Runs>,
    /// Scorings of texts that were generated through other edges.
    pub scorings: RefCell<ScoringTasks>,
    updates: mpsc::Sender<RunUpdate>,
}

impl JobTasks {
    /// Creates an empty set of tasks. Tasks of runs send their updates to `updates`.
    pub fn new(updates: mpsc::Sender<RunUpdate>) -> Self {
        Self {
            runs: RefCell::default(),
            scorings: RefCell::default(),
            updates,
        }
    }
}

/// All runs of this edge.
#[derive(Default)]
pub(super) struct Runs {
    by_attempt: HashMap<AttemptId, RunState>,
}

impl Runs {
    /// Whether a run has completed and its text is scored by the run's task.
    fn is_being_scored(&self, attempt: AttemptId) -> bool {
        let run = self.by_attempt.get(&attempt);
        run.is_some_and(|run| run.end == Some(RunEnd::Whole) && run.has_scoring_call)
    }
}

impl Edge {
    /// Starts a run that the leader ordered, unless a newer leader is known.
    pub(super) fn start_run(self: &Rc<Self>, spec: RunSpec) {
        let is_old = spec.attempt.term < self.storage.borrow().contact.newest_term();
        if is_old
            || self
                .jobs
                .runs
                .borrow()
                .by_attempt
                .contains_key(&spec.attempt)
        {
            return;
        }
        let attempt = spec.attempt;
        let clearance = self.authorize_run(&spec);
        let reason = clearance.as_ref().err().copied();
        self.spawn_run(spec, clearance);
        if self.callers.is_draining() {
            self.end_run(attempt, RunEnd::Cancelled);
        } else if let Some(reason) = reason {
            // The leader's view differs from this edge's: it shows the replica as eligible.
            log::info!(
                "event=run_refused attempt={attempt} reason={}",
                reason.name()
            );
            let end = match reason {
                Ineligible::WarmingUp => RunEnd::Unsent,
                _ => RunEnd::NotRun {
                    other_replica: false,
                },
            };
            self.end_run(attempt, end);
        }
    }

    /// Spawns the task of a run. Without a clearance the task does nothing.
    fn spawn_run(self: &Rc<Self>, spec: RunSpec, clearance: Result<Clearance, Ineligible>) {
        let attempt = spec.attempt;
        let progress = Progress::new(spec.events.clone());
        let progress = Rc::new(RefCell::new(progress));
        let (job, item, replica) = (spec.job.clone(), spec.item, spec.replica.clone());
        let has_scoring_call = spec.scoring.is_some();
        let edge = Rc::clone(self);
        let shared = Rc::clone(&progress);
        let task = tokio::task::spawn_local(async move {
            if let Ok(clearance) = clearance {
                edge.run_and_score(&spec, &clearance, &shared).await;
            }
        });
        let run = RunState {
            job,
            item,
            replica,
            progress,
            task: task.abort_handle(),
            end: None,
            has_scoring_call,
            scoring: None,
        };
        self.jobs.runs.borrow_mut().by_attempt.insert(attempt, run);
    }

    /// Runs an item. If the text is complete, also makes the scoring call of the order, if any.
    async fn run_and_score(
        self: &Rc<Self>,
        spec: &RunSpec,
        clearance: &Clearance,
        progress: &RefCell<Progress>,
    ) {
        let end = run_item(self, spec, clearance, progress).await;
        if matches!(end, RunEnd::Whole | RunEnd::Failed) && !self.quarantine.borrow().is_idle() {
            self.content_answered(spec.content());
        }
        self.send_update(RunUpdate::Ended(spec.attempt, end)).await;
        if end == RunEnd::Whole
            && let Some(call) = &spec.scoring
        {
            let regions = self.regions_of(spec);
            let end = score(self, call, &spec.item_id, &regions, 0).await;
            self.send_update(RunUpdate::Scored(spec.attempt, end)).await;
        }
    }

    /// Sends an update to the event loop. This fails only if the event loop has ended.
    async fn send_update(&self, update: RunUpdate) {
        if self.jobs.updates.send(update).await.is_err() {
            log::info!("event=run_update_lost reason=the_process_ends");
        }
    }

    /// Cancels a run on the order of the leader of `term`, unless a newer leader is known.
    pub(super) fn cancel_run(&self, term: u64, attempt: AttemptId) {
        if term >= self.storage.borrow().contact.newest_term() {
            self.end_run(attempt, RunEnd::Cancelled);
            // If the run has completed meanwhile, its scoring is cancelled as well.
            if self.jobs.runs.borrow().is_being_scored(attempt) {
                self.end_scoring(attempt, ScoringEnd::Unanswered);
            }
        }
    }

    /// Drops a run or scoring whose end the leader has recorded.
    pub(super) fn forget_run(&self, attempt: AttemptId) {
        let run = self.jobs.runs.borrow_mut().by_attempt.remove(&attempt);
        if let Some(run) = run {
            run.task.abort();
        }
        self.abort_scoring(attempt);
    }

    pub(super) fn on_run_update(&self, update: RunUpdate) {
        match update {
            RunUpdate::Ended(attempt, end) => self.end_run(attempt, end),
            RunUpdate::Scored(attempt, end) => self.end_scoring(attempt, end),
        }
    }

    /// Records how the scoring of a run's text ended and reports it to the leader. Only the first
    /// call has an effect.
    fn end_scoring(&self, attempt: AttemptId, end: ScoringEnd) {
        let mut runs = self.jobs.runs.borrow_mut();
        let Some(run) = runs.by_attempt.get_mut(&attempt) else {
            return;
        };
        if run.scoring.is_none() {
            run.scoring = Some(end.clone());
            run.task.abort();
            self.report_scored(attempt, end);
        }
    }

    /// Records how a run ended and reports it to the leader. Only the first call has an effect.
    fn end_run(&self, attempt: AttemptId, end: RunEnd) {
        let mut runs = self.jobs.runs.borrow_mut();
        let Some(run) = runs.by_attempt.get_mut(&attempt) else {
            return;
        };
        if run.end.is_some() {
            return;
        }
        run.end = Some(end);
        self.metrics.run(end.name());
        // The task of a complete run may still score the text.
        if end != RunEnd::Whole {
            run.task.abort();
        }
        let events = run.progress.borrow_mut().take_unreported();
        self.send_to_leader(&Message::Ended {
            attempt,
            events,
            end,
        });
    }

    /// Reports the events since the last report of each run to the leader.
    pub(super) fn report_progress(&self) {
        if self.storage.borrow().contact.leader().is_none() {
            return;
        }
        let mut reports = Vec::new();
        for (attempt, run) in &self.jobs.runs.borrow().by_attempt {
            if run.end.is_some() {
                continue;
            }
            let events = run.progress.borrow_mut().take_unreported();
            if !events.is_empty() {
                reports.push(RunProgress {
                    attempt: *attempt,
                    events,
                    pace: run.progress.borrow_mut().pace.take(),
                });
            }
        }
        if !reports.is_empty() {
            self.send_to_leader(&Message::Progress(reports));
        }
    }

    /// Registers all runs with the leader. Orders for earlier registrations are ignored from
    /// then on.
    pub(super) fn register_runs(&self, term: u64) {
        if self.storage.borrow().contact.leader().is_none() {
            return;
        }
        let uptime = self.clock.now();
        let registration = self.storage.borrow_mut().begin_registration(uptime);
        self.drop_ordered_scorings();
        let mut reports = Vec::new();
        for (attempt, run) in &self.jobs.runs.borrow().by_attempt {
            reports.push(RunReport {
                attempt: *attempt,
                job: run.job.clone(),
                item: run.item,
                replica: run.replica.clone(),
                events: run.progress.borrow_mut().take_all(),
                end: run.end,
                scoring: run.scoring.clone(),
            });
        }
        self.send_to_leader(&Message::Runs {
            term,
            registration,
            uptime,
            runs: reports,
            draining: self.callers.is_draining(),
        });
    }

    /// Returns all runs to the leader, so that it continues them through other edges.
    pub(super) fn hand_over_runs(&self) {
        self.send_to_leader(&Message::Draining);
        let attempts: Vec<AttemptId> = self.jobs.runs.borrow().by_attempt.keys().copied().collect();
        for attempt in attempts {
            self.end_run(attempt, RunEnd::Cancelled);
            if self.jobs.runs.borrow().is_being_scored(attempt) {
                self.end_scoring(attempt, ScoringEnd::Unanswered);
            }
        }
    }
}
