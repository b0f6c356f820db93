//! Runs of items on this edge.

use super::pace::PaceMeter;
use super::process::Edge;
use super::scoring::score;
use super::stream::{EventReader, StreamEnd};
use crate::clock::{Moment, within};
use crate::upstream::UpstreamError;
use brasspond_cluster_protocol::{
    AttemptId, Message, RunEnd, RunProgress, RunReport, RunSpec, ScoringEnd, StreamEvent,
};
use brasspond_eligibility::{Clearance, Unfit};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;

/// Time for a replica to begin to answer.
const HEAD_TIME: Duration = Duration::from_millis(3_000);

/// A run as its task and the event loop share it.
#[derive(Debug, Default)]
struct Progress {
    /// All events, those of earlier runs included.
    events: Vec<StreamEvent>,
    /// How many of them the leader knows.
    told: usize,
    pace: PaceMeter,
}

struct Held {
    job: String,
    item: u32,
    replica: String,
    progress: Rc<RefCell<Progress>>,
    task: AbortHandle,
    end: Option<RunEnd>,
    /// Whether its whole text is to be scored, and how that ended.
    is_scored: bool,
    scoring: Option<ScoringEnd>,
}

/// What a run's task tells.
pub(super) enum RunNews {
    /// It has ended.
    Ended(AttemptId, RunEnd),
    /// Its text is scored, or could not be.
    Scored(AttemptId, ScoringEnd),
}

/// All runs that this edge holds.
#[derive(Default)]
pub(super) struct Runs {
    held: HashMap<AttemptId, Held>,
}

impl Runs {
    fn is_being_scored(&self, attempt: AttemptId) -> bool {
        let held = self.held.get(&attempt);
        held.is_some_and(|one| one.end == Some(RunEnd::Whole) && one.is_scored)
    }
}

impl Edge {
    pub(super) fn start_run(self: &Rc<Self>, spec: RunSpec) {
        let is_old = spec.attempt.term < self.cluster.borrow().newest_term();
        if is_old || self.runs.borrow().held.contains_key(&spec.attempt) {
            return;
        }
        let progress = Rc::new(RefCell::new(Progress {
            told: spec.events.len(),
            events: spec.events.clone(),
            pace: PaceMeter::default(),
        }));
        let attempt = spec.attempt;
        let (job, item, replica) = (spec.job.clone(), spec.item, spec.replica.clone());
        let clearance = self.clear_run(&spec);
        let unfit = clearance.as_ref().err().copied();
        let is_scored = spec.scoring.is_some();
        let edge = Rc::clone(self);
        let shared = Rc::clone(&progress);
        let task = tokio::task::spawn_local(async move {
            let Ok(clearance) = clearance else {
                return;
            };
            let begun = Moment::now();
            let end = run_item(&edge, &spec, &clearance, &shared).await;
            if end == RunEnd::Broken {
                edge.look_after_run(&spec, begun);
            }
            if matches!(end, RunEnd::Whole | RunEnd::Failed) && !edge.quarantine.borrow().is_idle()
            {
                edge.content_answered(spec.content());
            }
            edge.tell_news(RunNews::Ended(attempt, end)).await;
            if end == RunEnd::Whole
                && let Some(call) = &spec.scoring
            {
                let regions = edge.regions_of(&spec);
                let end = score(&edge, call, &spec.item_id, &regions, 0).await;
                edge.tell_news(RunNews::Scored(attempt, end)).await;
            }
        });
        let held = Held {
            job,
            item,
            replica,
            progress,
            task: task.abort_handle(),
            end: None,
            is_scored,
            scoring: None,
        };
        self.runs.borrow_mut().held.insert(attempt, held);
        if self.draining.get() {
            self.end_run(attempt, RunEnd::Cancelled);
        } else if let Some(unfit) = unfit {
            // The leader does not know it yet.
            log::info!(
                "event=run_refused attempt={attempt} reason={}",
                unfit.name()
            );
            let end = match unfit {
                Unfit::WarmingUp => RunEnd::Unsent,
                _ => RunEnd::NotRun {
                    other_replica: false,
                },
            };
            self.end_run(attempt, end);
        }
    }

    /// Whether work for jobs may begin now: see [`WorkLease`](super::work_lease::WorkLease).
    pub(super) fn may_begin(&self) -> bool {
        self.cluster.borrow().lease().allows(self.clock.now())
    }

    /// Waits for leave to begin work for jobs; for ever where no leader gives it any more: a
    /// run or scoring that nobody wants is ended from outside. Whether there was a wait.
    pub(super) async fn await_leave(&self) -> bool {
        if self.may_begin() {
            return false;
        }
        let begun = Moment::now();
        let mut renewed = self.cluster.borrow().lease().watch();
        while !self.may_begin() {
            if renewed.changed().await.is_err() {
                // The sender lives as long as the edge.
                std::future::pending::<()>().await;
            }
        }
        log::info!(
            "event=leave_awaited waited_ms={}",
            begun.elapsed().as_millis()
        );
        true
    }

    /// Tells the event loop what became of a run; a loop that has ended hears nothing more.
    async fn tell_news(&self, news: RunNews) {
        if self.run_news.send(news).await.is_err() {
            log::info!("event=run_news_lost reason=the_process_ends");
        }
    }

    pub(super) fn cancel_run(&self, term: u64, attempt: AttemptId) {
        if term >= self.cluster.borrow().newest_term() {
            self.end_run(attempt, RunEnd::Cancelled);
            // Its text may have become whole meanwhile: nothing more is to begin for it.
            if self.runs.borrow().is_being_scored(attempt) {
                self.end_scoring(attempt, ScoringEnd::Unanswered);
            }
        }
    }

    pub(super) fn forget_run(&self, attempt: AttemptId) {
        let held = self.runs.borrow_mut().held.remove(&attempt);
        if let Some(held) = held {
            held.task.abort();
        }
        self.forget_scoring(attempt);
    }

    pub(super) fn on_run_news(&self, news: RunNews) {
        match news {
            RunNews::Ended(attempt, end) => self.end_run(attempt, end),
            RunNews::Scored(attempt, end) => self.end_scoring(attempt, end),
        }
    }

    /// Notes how the scoring of a run's text ended and tells the leader, once.
    fn end_scoring(&self, attempt: AttemptId, end: ScoringEnd) {
        let mut runs = self.runs.borrow_mut();
        let Some(held) = runs.held.get_mut(&attempt) else {
            return;
        };
        if held.scoring.is_none() {
            held.scoring = Some(end.clone());
            held.task.abort();
            self.tell_scored(attempt, end);
        }
    }

    /// Notes how a run ended and tells the leader, once.
    fn end_run(&self, attempt: AttemptId, end: RunEnd) {
        let mut runs = self.runs.borrow_mut();
        let Some(held) = runs.held.get_mut(&attempt) else {
            return;
        };
        if held.end.is_some() {
            return;
        }
        held.end = Some(end);
        self.metrics.run(end.name());
        // The task of a whole run ends by itself, perhaps after scoring its text.
        if end != RunEnd::Whole {
            held.task.abort();
        }
        let events = take_untold(&held.progress);
        self.tell_leader(&Message::Ended {
            attempt,
            events,
            end,
        });
    }

    /// Tells the leader what the runs made since the last time.
    pub(super) fn report_progress(&self) {
        if self.cluster.borrow().leader().is_none() {
            return;
        }
        let mut reports = Vec::new();
        for (attempt, held) in &self.runs.borrow().held {
            if held.end.is_some() {
                continue;
            }
            let events = take_untold(&held.progress);
            if !events.is_empty() {
                reports.push(RunProgress {
                    attempt: *attempt,
                    events,
                    pace: held.progress.borrow_mut().pace.take(),
                });
            }
        }
        if !reports.is_empty() {
            self.tell_leader(&Message::Progress(reports));
        }
    }

    /// Tells a leader of all runs.
    pub(super) fn tell_runs(&self, term: u64) {
        if self.cluster.borrow().leader().is_none() {
            return;
        }
        let uptime = self.clock.now();
        let registration = self.cluster.borrow_mut().begin_registration(uptime);
        self.drop_ordered_scorings();
        let mut reports = Vec::new();
        for (attempt, held) in &self.runs.borrow().held {
            let mut progress = held.progress.borrow_mut();
            progress.told = progress.events.len();
            reports.push(RunReport {
                attempt: *attempt,
                job: held.job.clone(),
                item: held.item,
                replica: held.replica.clone(),
                events: progress.events.clone(),
                end: held.end,
                scoring: held.scoring.clone(),
            });
        }
        self.tell_leader(&Message::Runs {
            term,
            registration,
            uptime,
            runs: reports,
            draining: self.draining.get(),
        });
    }

    /// Hands every run back, so that other edges go on with them.
    pub(super) fn hand_over_runs(&self) {
        self.tell_leader(&Message::Draining);
        let held: Vec<AttemptId> = self.runs.borrow().held.keys().copied().collect();
        for attempt in held {
            self.end_run(attempt, RunEnd::Cancelled);
            if self.runs.borrow().is_being_scored(attempt) {
                self.end_scoring(attempt, ScoringEnd::Unanswered);
            }
        }
    }
}

fn take_untold(progress: &Rc<RefCell<Progress>>) -> Vec<StreamEvent> {
    let mut progress = progress.borrow_mut();
    let events = progress.events[progress.told..].to_vec();
    progress.told = progress.events.len();
    events
}

/// Runs an item on its replica; its events go into `progress`.
async fn run_item(
    edge: &Edge,
    spec: &RunSpec,
    clearance: &Clearance,
    progress: &RefCell<Progress>,
) -> RunEnd {
    let names = edge.platform.wire.names();
    let Some(request) = build_request(edge, spec) else {
        return RunEnd::Impossible;
    };
    // The order may have been read long after it was given, and more be known of its replica.
    if edge.await_leave().await && edge.clear_run(spec).is_err() {
        // Nothing was sent, and no replica is to blame: the item waits again.
        return RunEnd::Cancelled;
    }
    let mut connection = match edge.pool.take(clearance).await {
        Ok(connection) => connection,
        Err(_) => return RunEnd::Unreachable,
    };
    if !edge.still_takes_work(clearance) {
        edge.pool.give_back(connection);
        return RunEnd::NotRun {
            other_replica: false,
        };
    }
    if !clearance.is_in_time(edge.clock.now()) {
        edge.pool.give_back(connection);
        return RunEnd::Unsent;
    }
    if !edge.may_begin() {
        // No fault of the replica's: the item waits again.
        edge.pool.give_back(connection);
        return RunEnd::Cancelled;
    }
    let response = match within(HEAD_TIME, connection.send(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(UpstreamError::NotSent)) => return RunEnd::Unreachable,
        Ok(Err(UpstreamError::Broken)) => return RunEnd::Broken,
        Err(_) => {
            edge.pool.forget(spec.address);
            return RunEnd::Broken;
        }
    };
    let (head, body) = response.into_parts();
    let is_own = head
        .headers
        .get(&names.request_id)
        .is_none_or(|id| id.as_bytes() == spec.item_id.as_bytes());
    if !is_own {
        return RunEnd::Broken;
    }
    if head.headers.contains_key(&names.not_run) || head.status == StatusCode::MISDIRECTED_REQUEST {
        return RunEnd::NotRun {
            other_replica: head.status == StatusCode::MISDIRECTED_REQUEST,
        };
    }
    match head.status {
        StatusCode::OK => {}
        StatusCode::UNPROCESSABLE_ENTITY => return RunEnd::Impossible,
        StatusCode::INTERNAL_SERVER_ERROR => return RunEnd::Failed,
        _ => return RunEnd::Broken,
    }
    if !head.headers.contains_key(&names.signature) {
        return RunEnd::Broken;
    }
    let version = head.headers.get(&names.version);
    let version: Option<u64> = version.and_then(|value| value.to_str().ok()?.parse().ok());
    // An answer names no weights where it has no events left to make.
    let may_be_at_end = version.is_none() && !spec.events.is_empty();
    let version = version.unwrap_or(0);
    if version < spec.min_version && !may_be_at_end {
        return RunEnd::TooOld;
    }
    let mut reader = EventReader::new(body, version);
    loop {
        match reader.next(&*edge.platform.wire).await {
            Ok(event) if event.version < spec.min_version => return RunEnd::TooOld,
            Ok(event) => {
                let mut progress = progress.borrow_mut();
                let last = progress.events.last().map_or(0, |last| last.id);
                if event.id != last + 1 {
                    return RunEnd::Broken;
                }
                let first = progress.events.first().map(|first| first.version);
                if spec.single_version && first.is_some_and(|first| first != event.version) {
                    return RunEnd::Mixed;
                }
                progress.events.push(event);
                progress.pace.event_came(Moment::now());
            }
            Err(StreamEnd::Whole) => {
                edge.pool.give_back(connection);
                return RunEnd::Whole;
            }
            Err(StreamEnd::Broken) => return RunEnd::Broken,
        }
    }
}

fn build_request(edge: &Edge, spec: &RunSpec) -> Option<Request<Full<Bytes>>> {
    let names = edge.platform.wire.names();
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(&spec.path)
        .header(hyper::header::HOST, &spec.host)
        .header(&names.request_id, &spec.item_id)
        .header(&names.required_replica, &spec.replica);
    for (name, value) in &spec.headers {
        let is_ours = names.credential.as_str().eq_ignore_ascii_case(name)
            || names.tenant.as_str().eq_ignore_ascii_case(name);
        if !is_ours {
            builder = builder.header(name, value);
        }
    }
    if let Some(tenant) = &spec.tenant {
        builder = builder.header(&names.tenant, &**tenant);
    }
    if let Some(last) = spec.events.last() {
        builder = builder.header(&names.last_event_id, last.id);
    }
    builder.body(Full::new(spec.body.clone())).ok()
}
