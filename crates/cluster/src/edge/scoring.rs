//! Calls that score complete texts.
//!
//! A scoring call is a request of the cluster itself. It uses the same routes and replicas as
//! callers' requests, and yields to them when the service is busy. It is sent only while this edge
//! holds the work lease ([`super::work_lease`]). [`super::attempts`] holds its retry policy.

use super::attempt::ReplicaResponse;
use super::attempt_error::AttemptError;
use super::attempts::{
    SCORING_BACKOFF, full_replica_pause, pause_fits, scoring_has_failed, weighted_timeouts,
};
use super::forward::{Admitted, ForwardedRequest};
use super::headers::header_text;
use super::hedged_attempt::{FailedAttempt, HedgedOutcome};
use super::hedging::HedgeClass;
use super::process::Edge;
use super::request_body::RequestBody;
use crate::clock::{Moment, within};
use brasspond_cluster_protocol::{AttemptId, Message, ScoringEnd, ScoringSpec};
use brasspond_eligibility::Clearance;
use brasspond_fleet::Regions;
use brasspond_jobs::ScoringCall;
use hyper::http::request::Parts;
use hyper::{Method, Request, StatusCode};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;

/// Timeout of a call whose route is unknown. A configuration with the route may arrive meanwhile.
const UNKNOWN_ROUTE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum time for which an attempt yields to callers' requests to a busy service, if its route has
/// a shorter latency objective. A call whose route has a longer one yields for that long.
const YIELD_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum share of the call's remaining time in which it yields, so that it can still be answered.
const MAX_YIELD_SHARE: u32 = 2;
/// Minimum pause between two checks of a busy service's capacity. Up to twice as much is added at
/// random, so that calls that wait do not all see the same free slot.
const CAPACITY_CHECK_PAUSE: Duration = Duration::from_millis(10);

/// Tasks that score texts that were generated through other edges.
pub(super) type ScoringTasks = HashMap<AttemptId, AbortHandle>;

impl Edge {
    /// Starts a scoring that the leader ordered for a text that was generated through another edge,
    /// unless a newer leader is known.
    pub(super) fn start_scoring(self: &Rc<Self>, spec: ScoringSpec) {
        let attempt = spec.attempt;
        let is_old = attempt.term < self.storage.borrow().contact.newest_term();
        if is_old || self.jobs.scorings.borrow().contains_key(&attempt) {
            return;
        }
        let edge = Rc::clone(self);
        let task = tokio::task::spawn_local(async move {
            let end = if edge.callers.is_draining() {
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
            edge.jobs.scorings.borrow_mut().remove(&attempt);
            edge.report_scored(attempt, end);
        });
        let task = task.abort_handle();
        self.jobs.scorings.borrow_mut().insert(attempt, task);
    }

    /// Aborts an ordered scoring.
    pub(super) fn abort_scoring(&self, attempt: AttemptId) {
        let task = self.jobs.scorings.borrow_mut().remove(&attempt);
        if let Some(task) = task {
            task.abort();
        }
    }

    /// Aborts the ordered scorings when runs are registered, because a registration does not
    /// contain them. The leader orders them again; it would not cancel the old ones when their job
    /// ends.
    pub(super) fn drop_ordered_scorings(&self) {
        for (attempt, task) in self.jobs.scorings.borrow_mut().drain() {
            log::info!("event=scoring_dropped attempt={attempt} reason=older_telling");
            task.abort();
        }
    }

    /// Aborts the ordered scorings and reports them as unanswered, so that the leader orders them
    /// from other edges.
    pub(super) fn hand_over_scorings(&self) {
        let scorings = std::mem::take(&mut *self.jobs.scorings.borrow_mut());
        for (attempt, task) in scorings {
            task.abort();
            self.report_scored(attempt, ScoringEnd::Unanswered);
        }
    }

    pub(super) fn report_scored(&self, attempt: AttemptId, end: ScoringEnd) {
        self.send_to_leader(&Message::Scored { attempt, end });
    }
}

/// Timeout of a call: that of its route, or [`UNKNOWN_ROUTE_TIMEOUT`] without a known route.
fn call_timeout(edge: &Edge, call: &ScoringCall) -> Duration {
    let view = edge.fleet.view.borrow();
    let configuration = view.configuration.as_ref();
    let route = configuration.and_then(|configuration| configuration.route(&call.host, &call.path));
    route.map_or(UNKNOWN_ROUTE_TIMEOUT, |route| {
        Duration::from_millis(route.timeout_ms.max(1))
    })
}

/// Logs the start of a call, with the term of the known leader and the time since its last
/// announcement.
fn log_begin(edge: &Edge, call: &ScoringCall, item_id: &str) {
    let last_contact = edge.storage.borrow().contact.last_contact(edge.clock.now());
    let (term, heard_ms) = last_contact.unzip();
    log::info!(
        "event=scoring_begun item={item_id} request={} leader_term={} leader_heard_ms={}",
        call.id,
        optional_text(term),
        optional_text(heard_ms)
    );
}

/// Formats an optional number for the log.
fn optional_text(number: Option<u64>) -> String {
    number.map_or_else(|| "none".to_string(), |number| number.to_string())
}

/// Makes a scoring call and retries it until a replica responds successfully, the number of
/// responses with status 500 reaches the route's maximum number of attempts, or no attempt can begin
/// before the deadline. `regions` are the regions allowed for the job's data, which further restrict
/// those of the route. `earlier_timeouts` is the number of earlier calls for the text that reached
/// their deadline; each lengthens the attempts' timeout.
pub(super) async fn score(
    edge: &Rc<Edge>,
    call: &ScoringCall,
    item_id: &str,
    regions: &Regions,
    earlier_timeouts: u32,
) -> ScoringEnd {
    // The wait for the lease before the first attempt does not count towards the call's timeout.
    edge.await_work_lease().await;
    let started = Moment::now();
    let timeout = call_timeout(edge, call);
    log_begin(edge, call, item_id);
    let mut scorer = Scorer {
        edge,
        call,
        regions,
        deadline: started + timeout,
        earlier_timeouts,
        tried: Vec::new(),
        server_errors: 0,
        timeouts: 0,
        full_pause: None,
    };
    let end = scorer.run().await;
    let elapsed = started.elapsed();
    edge.metrics.scoring(end.name(), elapsed.as_secs_f64());
    log::info!(
        "event=scored item={item_id} request={} end={} attempts={} failures={} silent={} ran_out={earlier_timeouts} time_ms={} elapsed_ms={}",
        call.id,
        end.name(),
        scorer.tried.len() + usize::from(matches!(end, ScoringEnd::Scored(_))),
        scorer.server_errors,
        scorer.timeouts,
        timeout.as_millis(),
        elapsed.as_millis()
    );
    end
}

/// Maximum time for which an attempt yields to callers. `objective` is the latency objective of the
/// call's route, `left` the call's remaining time.
fn yield_timeout(objective: Duration, left: Duration) -> Duration {
    objective.max(YIELD_TIMEOUT).min(left / MAX_YIELD_SHARE)
}

/// State of a scoring call.
struct Scorer<'a> {
    edge: &'a Rc<Edge>,
    call: &'a ScoringCall,
    /// Regions allowed for the job's data.
    regions: &'a Regions,
    deadline: Moment,
    /// Number of earlier calls for the text that reached their deadline.
    earlier_timeouts: u32,
    /// Replicas of failed attempts.
    tried: Vec<String>,
    /// Number of responses with status 500.
    server_errors: u32,
    /// Number of attempts that timed out.
    timeouts: u32,
    /// Minimum pause before the next attempt if a full replica rejected the last one.
    full_pause: Option<Duration>,
}

impl Scorer<'_> {
    /// Makes attempts until the call has ended.
    async fn run(&mut self) -> ScoringEnd {
        let mut earlier_failures = 0;
        loop {
            if let Some(end) = self.attempt().await {
                return end;
            }
            let pause = self.pause(earlier_failures);
            if !pause_fits(Moment::now(), pause, self.deadline) {
                return ScoringEnd::Unanswered;
            }
            tokio::time::sleep(pause).await;
            earlier_failures += 1;
        }
    }

    /// Pause before the next attempt. The pause for a full replica is left out if no attempt could
    /// follow it.
    fn pause(&self, earlier_failures: u32) -> Duration {
        let backoff = SCORING_BACKOFF.pause(earlier_failures);
        let full_pause = self.full_pause.unwrap_or(Duration::ZERO);
        if pause_fits(Moment::now(), full_pause, self.deadline) {
            backoff.max(full_pause)
        } else {
            backoff
        }
    }

    /// Makes one attempt. Returns `None` if another attempt may follow.
    async fn attempt(&mut self) -> Option<ScoringEnd> {
        let lease = self.edge.await_work_lease();
        if within(self.left(), lease).await.is_err() {
            return Some(ScoringEnd::Unanswered);
        }
        self.full_pause = None;
        let request = self.build_request()?;
        self.yield_to_callers(&request).await;
        let clearance = self.choose(&request).await?;
        let outcome = self.attempt_at(&request, &clearance).await;
        let is_full = |failed: &FailedAttempt| failed.error.is_full();
        if outcome.failed.iter().any(is_full) {
            let typical = request.typical_response();
            self.full_pause = Some(full_replica_pause(typical, rand::random()));
        }
        for failed in outcome.failed {
            self.log_failed_attempt(&failed.replica, failed.error.name());
            self.tried.push(failed.replica);
            self.count_failure(&failed.error);
        }
        self.tried.extend(outcome.cancelled);
        match outcome.answer {
            Some((ReplicaResponse::Full(status, headers, _), _)) if status.is_success() => {
                request.record_completed();
                let signature = &self.edge.platform.wire.names().signature;
                let score = header_text(&headers, signature);
                Some(ScoringEnd::Scored(score))
            }
            Some((response, replica)) => {
                let (ReplicaResponse::Full(status, ..) | ReplicaResponse::Stream(status, ..)) =
                    response;
                self.log_failed_attempt(&replica, status.as_str());
                self.tried.push(replica);
                None
            }
            None => {
                let has_failed = scoring_has_failed(self.server_errors, request.route.max_attempts);
                has_failed.then_some(ScoringEnd::Failed)
            }
        }
    }

    /// Chooses a replica, preferably one with spare capacity, so that the last free slots of each
    /// replica are left to callers' requests.
    async fn choose(&self, request: &ForwardedRequest) -> Option<Clearance> {
        match request.choose_with_spare_capacity(&self.tried) {
            Some(clearance) => Some(clearance),
            None => request.choose(&self.tried).await.ok(),
        }
    }

    /// Makes an attempt and, if the call has attempts left, a hedge. Every earlier attempt counts
    /// towards the attempts of the route, including those that did not reach a replica.
    async fn attempt_at(&self, request: &ForwardedRequest, clearance: &Clearance) -> HedgedOutcome {
        if self.tried.is_empty() {
            request.count_for_hedges();
        }
        let attempts = u32::try_from(self.tried.len()).unwrap_or(u32::MAX);
        let timeouts = weighted_timeouts(self.timeouts, self.earlier_timeouts);
        let timeout = request.attempt_timeout(timeouts);
        let plan = request.plan_hedge(attempts, timeout, HedgeClass::ScoringCall);
        let attempt = request.attempt_hedged(clearance, timeout, &self.tried, plan);
        attempt.await
    }

    fn count_failure(&mut self, error: &AttemptError) {
        self.timeouts += u32::from(error.is_timeout());
        if let AttemptError::ErrorResponse(response) = error
            && response.0 == StatusCode::INTERNAL_SERVER_ERROR
        {
            self.server_errors += 1;
        }
    }

    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Moment::now())
    }

    /// Builds the request for the call's route in the newest configuration; `None` if there is no
    /// such route.
    fn build_request(&self) -> Option<ForwardedRequest> {
        let configuration = self.edge.fleet.view.borrow().configuration.clone()?;
        let route = configuration.route(&self.call.host, &self.call.path)?;
        let head = self.build_head()?;
        let body = RequestBody::unclaimed(self.call.body.clone());
        // The call is made by the cluster itself and not on behalf of a tenant.
        let admitted = Admitted {
            route,
            tenant: None,
        };
        let request = ForwardedRequest::new(self.edge, admitted, head, body, self.deadline)?;
        Some(request.for_job(self.regions))
    }

    fn build_head(&self) -> Option<Parts> {
        let names = self.edge.platform.wire.names();
        let request = Request::builder()
            .method(Method::POST)
            .uri(&self.call.path)
            .header(hyper::header::HOST, &self.call.host)
            .header(&names.request_id, &self.call.id)
            .body(());
        Some(request.ok()?.into_parts().0)
    }

    /// Waits until a replica of the service has spare capacity, up to [`yield_timeout`].
    async fn yield_to_callers(&self, request: &ForwardedRequest) {
        let until = Moment::now() + yield_timeout(request.objective(), self.left());
        while !request.has_spare_capacity() && Moment::now() < until {
            let pause = CAPACITY_CHECK_PAUSE.mul_f64(1.0 + 2.0 * rand::random::<f64>());
            tokio::time::sleep(pause).await;
        }
    }

    fn log_failed_attempt(&self, replica: &str, outcome: &str) {
        log::info!(
            "event=attempt_failed request={} attempt={} replica={replica} outcome={outcome} left_ms={}",
            self.call.id,
            self.tried.len() + 1,
            self.left().as_millis()
        );
    }
}
