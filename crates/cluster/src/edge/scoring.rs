//! Calls that score whole texts.
//!
//! A scoring call is a plain request of the cluster's own: the route, the
//! replicas' health, load and limits are those of callers' requests, and callers
//! go before it where the service is busy.

use super::forward::{Admitted, Attempt, Failed, Forwarded, header_text};
use super::process::Edge;
use crate::clock::{Moment, within};
use brasspond_cluster_protocol::{AttemptId, Message, ScoringEnd, ScoringSpec};
use brasspond_eligibility::Unfit;
use brasspond_fleet::Regions;
use brasspond_jobs::ScoringCall;
use hyper::http::request::Parts;
use hyper::{Method, Request, StatusCode};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;

/// Time for a configuration with the call's route to come where this edge knows none; after
/// it the leader orders another edge.
const ROUTE_TIME: Duration = Duration::from_millis(1_000);
/// First pause after a failure; it doubles with each more.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause between two attempts.
const LONGEST_PAUSE: Duration = Duration::from_millis(160);
/// Longest time to wait for callers of a busy service.
const YIELD_TIME: Duration = Duration::from_millis(100);
/// Pause between two looks at a busy service.
const YIELD_PAUSE: Duration = Duration::from_millis(10);

/// Scorings that the leader ordered of texts made elsewhere.
pub(super) type Scorings = HashMap<AttemptId, AbortHandle>;

impl Edge {
    /// Scores a text made elsewhere.
    pub(super) fn order_scoring(self: &Rc<Self>, spec: ScoringSpec) {
        let attempt = spec.attempt;
        let is_old = attempt.term < self.cluster.borrow().newest_term();
        if is_old || self.scorings.borrow().contains_key(&attempt) {
            return;
        }
        let edge = Rc::clone(self);
        let task = tokio::task::spawn_local(async move {
            let end = if edge.draining.get() {
                ScoringEnd::Unanswered
            } else {
                score(
                    &edge,
                    &spec.call,
                    &spec.item_id,
                    &spec.regions,
                    spec.ran_out,
                )
                .await
            };
            edge.scorings.borrow_mut().remove(&attempt);
            edge.tell_scored(attempt, end);
        });
        let task = task.abort_handle();
        self.scorings.borrow_mut().insert(attempt, task);
    }

    /// Ends a scoring that is not wanted any more.
    pub(super) fn forget_scoring(&self, attempt: AttemptId) {
        let task = self.scorings.borrow_mut().remove(&attempt);
        if let Some(task) = task {
            task.abort();
        }
    }

    /// Drops the scorings that were ordered before a registration of runs, which leaves them out: no
    /// leader would end them with their job. Whoever takes the registration orders them again. Kept,
    /// they made 107 calls past the end of a job of 24 items whose leader was lost.
    pub(super) fn drop_ordered_scorings(&self) {
        for (attempt, task) in self.scorings.borrow_mut().drain() {
            log::info!("event=scoring_dropped attempt={attempt} reason=older_telling");
            task.abort();
        }
    }

    /// Hands ordered scorings back, so that other edges go on with them.
    pub(super) fn hand_over_scorings(&self) {
        let scorings = std::mem::take(&mut *self.scorings.borrow_mut());
        for (attempt, task) in scorings {
            task.abort();
            self.tell_scored(attempt, ScoringEnd::Unanswered);
        }
    }

    pub(super) fn tell_scored(&self, attempt: AttemptId, end: ScoringEnd) {
        self.tell_leader(&Message::Scored { attempt, end });
    }
}

/// Time for a call: as long as its route allows a request to be held.
fn time_of(edge: &Edge, call: &ScoringCall) -> Duration {
    let view = edge.view.borrow();
    let configuration = view.configuration.as_ref();
    let route = configuration.and_then(|one| one.route(&call.host, &call.path));
    route.map_or(ROUTE_TIME, |route| {
        Duration::from_millis(route.timeout_ms.max(1))
    })
}

/// Tells by whose word a call is begun, and how old that is: only a leader knows that the
/// call's job has ended.
fn log_begin(edge: &Edge, call: &ScoringCall, item_id: &str) {
    let heard = edge.cluster.borrow().leader_heard(edge.clock.now());
    let (term, heard_ms) = heard.unzip();
    log::info!(
        "event=scoring_begun item={item_id} request={} leader_term={} leader_heard_ms={}",
        call.id,
        text_of(term),
        text_of(heard_ms)
    );
}

/// A number for a line of the log; `none` where there is none.
fn text_of(number: Option<u64>) -> String {
    number.map_or_else(|| "none".to_string(), |number| number.to_string())
}

/// Makes a scoring call until a replica answers, it has failed as often as its
/// route allows, or its time is up. The job's data may be in `regions`; the call's own
/// route binds as well. `ran_out` calls for the text before it were given all their time:
/// attempts of this one have more.
pub(super) async fn score(
    edge: &Rc<Edge>,
    call: &ScoringCall,
    item_id: &str,
    regions: &Regions,
    ran_out: u32,
) -> ScoringEnd {
    // Not of the call's own time, which begins below.
    edge.await_leave().await;
    let begun = Moment::now();
    let time = time_of(edge, call);
    let deadline = begun + time;
    log_begin(edge, call, item_id);
    let mut scorer = Scorer {
        edge,
        call,
        regions,
        deadline,
        ran_out,
        tried: Vec::new(),
        failures: 0,
        silent: 0,
    };
    let mut pause = FIRST_PAUSE;
    let end = loop {
        if let Some(end) = scorer.attempt().await {
            break end;
        }
        if Moment::now() + pause >= deadline {
            break ScoringEnd::Unanswered;
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    };
    let elapsed = begun.elapsed();
    edge.metrics.scoring(end.name(), elapsed.as_secs_f64());
    log::info!(
        "event=scored item={item_id} request={} end={} attempts={} failures={} silent={} ran_out={ran_out} time_ms={} elapsed_ms={}",
        call.id,
        end.name(),
        scorer.tried.len() + usize::from(matches!(end, ScoringEnd::Scored(_))),
        scorer.failures,
        scorer.silent,
        time.as_millis(),
        elapsed.as_millis()
    );
    end
}

/// One scoring call and what became of it so far.
struct Scorer<'a> {
    edge: &'a Rc<Edge>,
    call: &'a ScoringCall,
    /// Where the job's data may be.
    regions: &'a Regions,
    deadline: Moment,
    /// Calls before it that were given all their time.
    ran_out: u32,
    tried: Vec<String>,
    /// Answers of 500.
    failures: u32,
    /// Attempts that were given up without an answer.
    silent: u32,
}

impl Scorer<'_> {
    /// One attempt; none: another is to follow.
    async fn attempt(&mut self) -> Option<ScoringEnd> {
        let left = self.deadline.saturating_duration_since(Moment::now());
        if within(left, self.edge.await_leave()).await.is_err() {
            return Some(ScoringEnd::Unanswered);
        }
        let request = self.request()?;
        self.let_callers_pass(&request).await;
        let clearance = match request.choose(&self.tried).await {
            Ok(clearance) => clearance,
            Err(Some(Unfit::Quarantined)) => return Some(ScoringEnd::Unanswered),
            Err(_) => return None,
        };
        let replica = clearance.replica().to_string();
        let begun = Moment::now();
        // Four times as long after each call that had all its time: two or three later an attempt
        // has all of it, and before that a silent replica leaves room for another.
        let silent = self.silent.saturating_add(2 * self.ran_out);
        let patience = request.patience(silent);
        let failed = match request.attempt(&clearance, None, patience).await {
            Ok(Attempt::Whole(status, headers, _)) if status.is_success() => {
                request.note_answered();
                let signature = &self.edge.platform.wire.names().signature;
                let score = header_text(&headers, signature);
                return Some(ScoringEnd::Scored(score));
            }
            Ok(Attempt::Whole(status, ..) | Attempt::Stream(status, ..)) => {
                self.log(&replica, status.as_str());
                self.tried.push(replica);
                return None;
            }
            Err(failed) => failed,
        };
        self.log(&replica, failed.name());
        request.note_failure(&replica, begun, &failed);
        request.look_after_failure(&replica, begun, &failed);
        self.tried.push(replica);
        self.silent += u32::from(failed.is_silent());
        if let Failed::Answered(answer) = failed
            && answer.0 == StatusCode::INTERNAL_SERVER_ERROR
        {
            self.failures += 1;
        }
        (self.failures >= request.route.max_attempts).then_some(ScoringEnd::Failed)
    }

    /// The request by the newest configuration's route; none: there is none.
    fn request(&self) -> Option<Forwarded> {
        let configuration = self.edge.view.borrow().configuration.clone()?;
        let route = configuration.route(&self.call.host, &self.call.path)?;
        let head = self.head()?;
        let body = self.call.body.clone();
        // The cluster's own call: no tenant makes it.
        let admitted = Admitted {
            route,
            tenant: None,
        };
        let request = Forwarded::new(self.edge, admitted, head, body, self.deadline)?;
        Some(request.for_job(self.regions))
    }

    fn head(&self) -> Option<Parts> {
        let names = self.edge.platform.wire.names();
        let request = Request::builder()
            .method(Method::POST)
            .uri(&self.call.path)
            .header(hyper::header::HOST, &self.call.host)
            .header(&names.request_id, &self.call.id)
            .body(());
        Some(request.ok()?.into_parts().0)
    }

    /// Waits a little while no replica of the service has room to spare.
    async fn let_callers_pass(&self, request: &Forwarded) {
        let until = Moment::now() + YIELD_TIME;
        while !request.has_room() && Moment::now() < until {
            tokio::time::sleep(YIELD_PAUSE).await;
        }
    }

    fn log(&self, replica: &str, outcome: &str) {
        log::info!(
            "event=attempt_failed request={} attempt={} replica={replica} outcome={outcome} left_ms={}",
            self.call.id,
            self.tried.len() + 1,
            self.deadline
                .saturating_duration_since(Moment::now())
                .as_millis()
        );
    }
}
