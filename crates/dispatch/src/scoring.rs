//! Scores complete texts.
//!
//! Owns the scorings in progress. The edge that ran an item makes its scoring call as soon as the
//! text is complete; meanwhile the text is appended to the log. If that edge fails, registers
//! without reporting the call, or is not allowed in the regions of the job, or if the call is not
//! answered, an edge is ordered to score the text from the log.
//!
//! A score is accepted only for a scoring in progress, so each text has one score, and its call was
//! made after the text was complete.

use crate::action::Action;
use crate::dispatcher::Dispatcher;
use crate::earlier_texts::draft_of;
use crate::job_run::State;
use crate::runs::Run;
use brasspond_cluster_protocol::{AttemptId, RunReport, ScoringEnd, ScoringSpec};
use brasspond_fleet::FleetView;
use brasspond_jobs::{JobTable, Score, ScoringCall};
use brasspond_units::Millis;
use std::collections::BTreeMap;

/// Time after a call's timeout in which an edge may still report the score, in ms; then the text is
/// scored again. Covers messages both ways and the edge's longest delay between two attempts
/// (160 ms).
const SCORE_REPORT_MARGIN_MS: Millis = 200;
/// Timeout of a call without a route, in ms. Must not be less than `UNKNOWN_ROUTE_TIMEOUT` in
/// `crates/cluster/src/edge/scoring.rs`, after which the edge reports such a call as unanswered.
const UNROUTED_CALL_TIMEOUT_MS: Millis = 1_000;
/// An unanswered call counts as timed out if at most this much of its timeout was left, in ms. An
/// edge begins no further attempt when less than its longest delay between attempts (160 ms) is
/// left.
const TIMEOUT_TOLERANCE_MS: Millis = 200;
/// Delay before the scoring of a text is retried after an unanswered call, or after no order could
/// be sent because no edge was available or the item has no scoring call, in ms.
const SCORING_RETRY_DELAY_MS: Millis = 150;

/// A scoring in progress.
#[derive(Clone, Debug)]
struct Scoring {
    machine: String,
    job: String,
    item: u32,
    since: Millis,
    /// Timeout of the call, in ms; `None` until a tick looks up the call's route.
    timeout: Option<Millis>,
}

impl Scoring {
    /// Whether the timeout and [`SCORE_REPORT_MARGIN_MS`] have passed, so that the text is scored
    /// again.
    fn is_late(&self, now: Millis) -> bool {
        let timeout = self.timeout;
        timeout.is_some_and(|timeout| now >= self.since + timeout + SCORE_REPORT_MARGIN_MS)
    }

    /// Whether the call counts as timed out: at most [`TIMEOUT_TOLERANCE_MS`] of its timeout is
    /// left.
    fn has_timed_out(&self, now: Millis) -> bool {
        let timeout = self.timeout;
        timeout.is_some_and(|timeout| now + TIMEOUT_TOLERANCE_MS >= self.since + timeout)
    }
}

/// Scorings in progress, by the id of the run that generated the text or of the order to score it.
#[derive(Debug, Default)]
pub(crate) struct Scorings {
    by_id: BTreeMap<AttemptId, Scoring>,
}

impl Scorings {
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether a scoring with this id is in progress.
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.by_id.contains_key(&attempt)
    }

    /// Number of scorings at an edge.
    pub fn at_edge(&self, machine: &str) -> usize {
        let scorings = self.by_id.values();
        scorings
            .filter(|scoring| scoring.machine == machine)
            .count()
    }

    /// Ids of the scorings that satisfy a condition.
    fn ids_where(&self, condition: impl Fn(&Scoring) -> bool) -> Vec<AttemptId> {
        let chosen = self.by_id.iter().filter(|(_, scoring)| condition(scoring));
        chosen.map(|(attempt, _)| *attempt).collect()
    }
}

impl Dispatcher {
    /// Appends a complete text to the log and records that the run's edge makes its scoring call.
    pub(crate) fn track_edge_scoring(
        &mut self,
        attempt: AttemptId,
        machine: &str,
        run: Run,
        now: Millis,
    ) {
        let draft = draft_of(&run.job, run.item, &run.events, run.persisted);
        self.actions.push(Action::Keep(draft));
        self.jobs.texts.record(&run.job, run.item, &run.item_id);
        let scoring = Scoring {
            machine: machine.to_string(),
            job: run.job,
            item: run.item,
            since: now,
            timeout: None,
        };
        self.add_scoring(attempt, scoring);
    }

    fn add_scoring(&mut self, attempt: AttemptId, scoring: Scoring) {
        self.set_state(&scoring.job, scoring.item, State::Scoring(Some(attempt)));
        self.scorings.by_id.insert(attempt, scoring);
    }

    /// Adopts an edge's scoring call for a text in the log. The timeout of the call starts now, as
    /// the report does not state when the call began.
    pub(crate) fn adopt_scoring(&mut self, machine: &str, report: RunReport, now: Millis) {
        let attempt = report.attempt;
        let item = self.jobs.item(&report.job, report.item);
        log::info!(
            "event=scoring_adopted job={} item={} attempt={attempt} edge={machine}",
            report.job,
            item.map_or("", |item| item.id.as_str())
        );
        self.jobs.remove_unscored(&report.job, report.item);
        let scoring = Scoring {
            machine: machine.to_string(),
            job: report.job,
            item: report.item,
            since: now,
            timeout: None,
        };
        self.add_scoring(attempt, scoring);
        if let Some(end) = report.scoring {
            self.on_scored(machine, attempt, end, now);
        }
    }

    /// Handles the end of a scoring. An unanswered call is repeated until the job ends or is
    /// overdue. A job without a route or a limit on its queueing time is never overdue.
    pub(crate) fn on_scored(
        &mut self,
        machine: &str,
        attempt: AttemptId,
        end: ScoringEnd,
        now: Millis,
    ) {
        let Some(scoring) = self.scorings.by_id.remove(&attempt) else {
            self.forget_at(machine, attempt);
            return;
        };
        self.log_scored(attempt, &scoring, machine, end.name(), now);
        let ending = State::Ending(Some((attempt, machine.to_string())));
        match end {
            ScoringEnd::Scored(score) => {
                self.set_state(&scoring.job, scoring.item, ending);
                self.actions.push(Action::ListScored(Score {
                    job: scoring.job,
                    item: scoring.item,
                    score,
                }));
            }
            ScoringEnd::Failed => {
                self.set_state(&scoring.job, scoring.item, ending);
                self.terminate(&scoring.job, scoring.item);
            }
            ScoringEnd::Unanswered => {
                self.forget_at(machine, attempt);
                self.count_timed_out_call(&scoring, now);
                let from = now + SCORING_RETRY_DELAY_MS;
                self.jobs.requeue_scoring(&scoring.job, scoring.item, from);
            }
        }
    }

    fn log_scored(
        &self,
        attempt: AttemptId,
        scoring: &Scoring,
        machine: &str,
        end: &str,
        now: Millis,
    ) {
        let item = self.jobs.item(&scoring.job, scoring.item);
        log::info!(
            "event=scoring_ended job={} item={} attempt={attempt} edge={machine} end={end} elapsed_ms={} time_ms={:?}",
            scoring.job,
            item.map_or("", |item| item.id.as_str()),
            now - scoring.since,
            scoring.timeout
        );
    }

    /// Orders edges to score the texts that wait for a scoring order.
    pub(crate) fn order_scorings(&mut self, table: &JobTable, now: Millis) {
        if self.is_adopting(now) {
            return;
        }
        for (job, item) in self.jobs.take_unscored(now) {
            if !self.order_scoring(&job, item, table, now) {
                self.jobs
                    .requeue_scoring(&job, item, now + SCORING_RETRY_DELAY_MS);
            }
        }
    }

    /// Orders an edge to score an item's text; returns false if no edge is available or the item
    /// has no scoring call.
    fn order_scoring(&mut self, id: &str, item: u32, table: &JobTable, now: Millis) -> bool {
        let stored = table.job(id).and_then(|job| job.items.get(item as usize));
        let Some((stored, call)) = stored.and_then(|item| Some((item, item.scoring.as_ref()?)))
        else {
            return false;
        };
        // A job without a route is not bound to regions.
        let (regions, bodies) = match self.jobs.route(id) {
            Some(route) => (route.regions.clone(), route.bodies.clone()),
            None => Default::default(),
        };
        let item_run = self.jobs.item(id, item);
        let timed_out_calls = item_run.map_or(0, |item| item.timed_out_calls);
        let Some(machine) = self.choose_scoring_edge(&bodies, now) else {
            return false;
        };
        let attempt = self.runs.next_id(self.term);
        let timeout = call_timeout(&self.view, call);
        log::info!(
            "event=scoring_ordered job={id} item={} attempt={attempt} edge={machine} request={} ran_out={timed_out_calls} time_ms={timeout}",
            stored.id,
            call.id
        );
        let spec = ScoringSpec {
            attempt,
            job: id.to_string(),
            item_id: stored.id.clone(),
            call: call.clone(),
            regions,
            ran_out: timed_out_calls,
        };
        let scoring = Scoring {
            machine: machine.clone(),
            job: id.to_string(),
            item,
            since: now,
            timeout: Some(timeout),
        };
        self.add_scoring(attempt, scoring);
        self.actions.push(Action::Score {
            machine,
            spec: Box::new(spec),
        });
        true
    }

    /// Repeats the scorings of an edge that are not in `reported`: the runs that the edge reported
    /// when it registered, or none if the edge failed.
    pub(crate) fn retry_unreported_scorings(
        &mut self,
        machine: &str,
        reported: &[RunReport],
        now: Millis,
    ) {
        let is_reported =
            |attempt: AttemptId| reported.iter().any(|report| report.attempt == attempt);
        let of_edge = self
            .scorings
            .ids_where(|scoring| scoring.machine == machine);
        for attempt in of_edge.into_iter().filter(|id| !is_reported(*id)) {
            self.retry_scoring(attempt, now);
        }
    }

    /// Looks up the timeouts that are not known yet, and repeats the scorings that are late.
    pub(crate) fn retry_late_scorings(&mut self, table: &JobTable, now: Millis) {
        for scoring in self.scorings.by_id.values_mut() {
            if scoring.timeout.is_none() {
                let call = call_of(table, &scoring.job, scoring.item);
                let timeout = call.map(|call| call_timeout(&self.view, call));
                scoring.timeout = Some(timeout.unwrap_or(UNROUTED_CALL_TIMEOUT_MS));
            }
        }
        for attempt in self.scorings.ids_where(|scoring| scoring.is_late(now)) {
            self.retry_scoring(attempt, now);
        }
    }

    /// Repeats, on another edge, each scoring whose edge is outside the regions allowed for its
    /// job. If `edge` is given, only the scorings of this edge are checked.
    pub(crate) fn move_scorings_into_regions(&mut self, edge: Option<&str>, now: Millis) {
        let outside = self.scorings.ids_where(|scoring| {
            let route = self.jobs.route(&scoring.job);
            let is_selected = edge.is_none_or(|edge| edge == scoring.machine);
            is_selected
                && route.is_some_and(|route| !self.is_edge_allowed(&scoring.machine, &route.bodies))
        });
        for attempt in outside {
            self.retry_scoring(attempt, now);
        }
    }

    /// Counts the call of a scoring that ended without an answer, if the call has timed out. The
    /// count is sent to the next edge that scores the text.
    fn count_timed_out_call(&mut self, scoring: &Scoring, now: Millis) {
        if !scoring.has_timed_out(now) {
            return;
        }
        if let Some(item) = self.jobs.item_mut(&scoring.job, scoring.item) {
            item.timed_out_calls += 1;
        }
    }

    /// Ends a scoring without a score and queues the text for another scoring order.
    fn retry_scoring(&mut self, attempt: AttemptId, now: Millis) {
        let Some(scoring) = self.scorings.by_id.get(&attempt).cloned() else {
            return;
        };
        self.drop_scoring(attempt);
        self.count_timed_out_call(&scoring, now);
        self.jobs.requeue_scoring(&scoring.job, scoring.item, now);
    }

    /// Removes a scoring and orders its edge to forget it.
    pub(crate) fn drop_scoring(&mut self, attempt: AttemptId) {
        if let Some(scoring) = self.scorings.by_id.remove(&attempt) {
            self.forget_at(&scoring.machine, attempt);
        }
    }

    /// Stops the scoring of an item's text, if there is one.
    pub(crate) fn stop_scoring(&mut self, job: &str, item: u32) {
        let item = self.jobs.item(job, item);
        if let Some(State::Scoring(Some(attempt))) = item.map(|item| &item.state) {
            self.drop_scoring(*attempt);
        }
    }

    fn set_state(&mut self, job: &str, item: u32, state: State) {
        if let Some(item) = self.jobs.item_mut(job, item) {
            item.state = state;
        }
    }
}

/// Returns the call that scores an item's text.
fn call_of<'a>(table: &'a JobTable, job: &str, item: u32) -> Option<&'a ScoringCall> {
    let item = table.job(job)?.items.get(item as usize)?;
    item.scoring.as_ref()
}

/// Timeout of a call's route, in ms.
fn call_timeout(view: &FleetView, call: &ScoringCall) -> Millis {
    let configuration = view.configuration.as_ref();
    let route = configuration.and_then(|configuration| configuration.route(&call.host, &call.path));
    route.map_or(UNROUTED_CALL_TIMEOUT_MS, |route| route.timeout_ms.max(1))
}
