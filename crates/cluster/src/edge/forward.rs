//! Forwards a caller's request to replicas, with retries.
//!
//! [`super::attempts`] holds the retry policy, [`super::attempt`] makes a single attempt, and the
//! load balancer chooses the replica.

use super::attempt::ReplicaResponse;
use super::attempt_error::AttemptError;
use super::attempts::{MIN_TIME_TO_SEND, attempt_timeout, may_retry};
use super::draining::RequestGuard;
use super::headers::{header_number, header_text, host_of};
use super::hedging::HedgeClass;
use super::process::Edge;
use super::refusal::AttemptHistory;
use super::request_body::RequestBody;
use super::responses::{Body, forwarded_response, full_body, unknown_outcome};
use super::retry_after::Missing;
use super::stream_forwarding::forward_stream;
use crate::clock::Moment;
use brasspond_distance::Distance;
use brasspond_eligibility::{Clearance, Ineligible, Requirements};
use brasspond_fleet::{Regions, Route, RouteKind, Target, Tenant, choose_target, usable_target};
use brasspond_quarantine::{Fingerprint, RequestContent};
use brasspond_warmup::Permit;
use bytes::Bytes;
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// A request that is being forwarded.
pub(super) struct ForwardedRequest {
    pub edge: Rc<Edge>,
    pub route: Route,
    pub deadline: Moment,
    pub id: String,
    /// When the edge began to forward the request, after it had read the body.
    forwarded_at: Moment,
    head: Parts,
    body: RequestBody,
    service: String,
    /// Regions that the route, the tenant and, for a job, its data allow.
    regions: Regions,
    pub tenant: Option<Arc<Tenant>>,
    /// Whether the request belongs to a job. It is then sent only while this edge holds the work
    /// lease ([`super::work_lease`]).
    is_for_job: bool,
    /// Whether the request is already counted in the tenant's usage.
    pub is_metered: Cell<bool>,
    /// Fingerprint of the content, computed on demand.
    fingerprint: OnceCell<Fingerprint>,
}

/// Route and tenant of an admitted request.
pub(super) struct Admitted<'a> {
    pub route: &'a Route,
    pub tenant: Option<&'a Arc<Tenant>>,
}

impl Admitted<'_> {
    /// Regions in which the request may be served.
    pub(super) fn regions(&self) -> Regions {
        match self.tenant {
            Some(tenant) => self.route.regions.and(&tenant.regions),
            None => self.route.regions.clone(),
        }
    }
}

/// Forwards a request and retries failed attempts as [`may_retry`] allows. A request that must not
/// run twice is not retried if an attempt may have run.
pub(super) async fn forward(
    edge: &Rc<Edge>,
    admitted: Admitted<'_>,
    head: Parts,
    body: RequestBody,
    arrived: Moment,
    guard: RequestGuard,
) -> Response<Body> {
    let route = admitted.route;
    let names = edge.platform.wire.names();
    let timeout_ms = header_number(&head.headers, &names.deadline_ms).unwrap_or(route.timeout_ms);
    let timeout_ms = timeout_ms.min(route.timeout_ms.max(1));
    let deadline = arrived + Duration::from_millis(timeout_ms);
    let id = header_text(&head.headers, &names.request_id);
    let Some(request) = ForwardedRequest::new(edge, admitted, head, body, deadline) else {
        log::info!(
            "event=request_failed request={id} route={} reason=no_service",
            route.name
        );
        return edge.reject(Missing::Configuration, route.priority);
    };
    if request.is_repeatable() || request.route.kind == RouteKind::Streaming {
        return request.run(guard).await;
    }
    // A request that must not run twice and is not a stream is forwarded in its own task, which
    // continues when the caller disconnects. Otherwise the outcome would be unknown.
    let running = tokio::task::spawn_local(request.run(guard));
    running.await.unwrap_or_else(|error| {
        log::error!("event=request_task_failed request={id} error=\"{error}\"");
        unknown_outcome(StatusCode::BAD_GATEWAY)
    })
}

impl Edge {
    /// Chooses the target of a route's next request, or its substitute while no replica of its
    /// service takes work in the allowed regions.
    fn choose_target<'a>(&self, route: &'a Route, regions: &Regions) -> Option<&'a Target> {
        let preferred = choose_target(&route.targets, self.next_request_number(route))?;
        let view = self.fleet.view.borrow();
        let is_usable = |service: &str| {
            let mut replicas = view.replicas_taking_work(service);
            replicas.any(|replica| regions.allows(replica.region.as_deref()))
        };
        Some(usable_target(&route.targets, preferred, is_usable))
    }

    /// Number of the next request of a route that splits traffic between services; 0 for other
    /// routes. Each route has its own counter, so that its shares do not depend on other routes.
    fn next_request_number(&self, route: &Route) -> u64 {
        if route.targets.len() < 2 {
            return 0;
        }
        let mut counts = self.route_counts.borrow_mut();
        // Starts at a random number so that edges do not choose targets in lockstep.
        let count = counts
            .entry(route.name.clone())
            .or_insert_with(rand::random);
        *count = count.wrapping_add(1);
        *count
    }
}

impl ForwardedRequest {
    /// Creates a request with a deadline; `None` if its route has no target service.
    pub(super) fn new(
        edge: &Rc<Edge>,
        admitted: Admitted<'_>,
        head: Parts,
        body: RequestBody,
        deadline: Moment,
    ) -> Option<Self> {
        let route = admitted.route;
        let regions = admitted.regions();
        let target = edge.choose_target(route, &regions)?;
        let names = edge.platform.wire.names();
        let id = header_text(&head.headers, &names.request_id);
        Some(Self {
            edge: Rc::clone(edge),
            route: route.clone(),
            service: target.service.clone(),
            regions,
            deadline,
            head,
            body,
            id,
            tenant: admitted.tenant.cloned(),
            is_for_job: false,
            is_metered: Cell::new(false),
            fingerprint: OnceCell::new(),
            forwarded_at: Moment::now(),
        })
    }

    /// Marks the request as belonging to a job whose data is restricted to `regions`.
    pub(super) fn for_job(mut self, regions: &Regions) -> Self {
        self.regions = self.regions.and(regions);
        self.is_for_job = true;
        self
    }

    async fn run(self, guard: RequestGuard) -> Response<Body> {
        let mut history = AttemptHistory::default();
        let max_attempts = self.max_attempts();
        self.count_for_hedges();
        while may_retry(history.delivered, history.attempts, max_attempts) {
            history.attempts += 1;
            let left = self.left();
            if left < MIN_TIME_TO_SEND {
                break;
            }
            if history.delivered == 0 && self.is_too_late(left) {
                break;
            }
            let clearance = match self.choose(&history.tried).await {
                Ok(clearance) => clearance,
                Err(reason) => {
                    history.reason = reason;
                    break;
                }
            };
            let timeout = self.timeout_after(history.delivered);
            let hedge_timeout = self.timeout_after(history.delivered + 1);
            let plan = self.plan_hedge(history.delivered, hedge_timeout, HedgeClass::Caller);
            let attempt = self.attempt_hedged(&clearance, timeout, &history.tried, plan);
            let outcome = attempt.await;
            let first_number = history.attempts;
            history.attempts += u32::from(outcome.was_hedged());
            for (number, failed) in (first_number..).zip(outcome.failed) {
                self.log_failure(&failed.replica, number, &failed.error, left);
                history.record(failed.replica, failed.error);
            }
            if let Some(cancelled) = outcome.cancelled {
                history.record_cancelled(cancelled);
            }
            if let Some((response, replica)) = outcome.answer {
                return self.respond(response, &replica, history, guard);
            }
            if history.may_have_run && !self.is_repeatable() {
                break;
            }
        }
        self.refuse(history)
    }

    /// Timeout of an attempt after `delivered` attempts that reached a replica. The last attempt
    /// that the route allows has all the time left.
    fn timeout_after(&self, delivered: u32) -> Duration {
        if delivered + 1 >= self.max_attempts() {
            self.left()
        } else {
            self.attempt_timeout(0)
        }
    }

    /// Maximum number of attempts that reach a replica.
    fn max_attempts(&self) -> u32 {
        self.route.max_attempts.max(1)
    }

    fn respond(
        self,
        response: ReplicaResponse,
        replica: &str,
        history: AttemptHistory,
        guard: RequestGuard,
    ) -> Response<Body> {
        match response {
            ReplicaResponse::Full(status, headers, body) => {
                self.record_completed();
                self.report_response(replica, history.attempts, status);
                forwarded_response(status, &headers, full_body(body))
            }
            ReplicaResponse::Stream(status, headers, source) => {
                self.report_response(replica, history.attempts, status);
                let body = forward_stream(self, source, history.tried, history.attempts, guard);
                forwarded_response(status, &headers, body)
            }
        }
    }

    fn log_failure(&self, replica: &str, attempt: u32, error: &AttemptError, left: Duration) {
        log::info!(
            "event=attempt_failed request={} route={} attempt={attempt} replica={replica} outcome={} cause={} content={} left_ms={}",
            self.id,
            self.route.name,
            error.name(),
            error.cause(),
            self.fingerprint(),
            left.as_millis()
        );
    }

    /// Pauses the replica of a failed attempt if the replica is at fault. If its connection broke,
    /// probes whether its process has ended. `started` is when the attempt began.
    pub(super) fn observe_failure(&self, replica: &str, started: Moment, error: &AttemptError) {
        if error.is_fault() {
            let mut balancer = self.edge.balancer.borrow_mut();
            balancer.record_fault(replica, started);
        }
        self.probe_after_failure(replica, started, error);
    }

    /// Logs a response and records the time to it in the metrics. The time of a stream ends with
    /// its response head.
    fn report_response(&self, replica: &str, attempt: u32, status: StatusCode) {
        let view = self.edge.fleet.view.borrow();
        let elapsed = self.forwarded_at.elapsed();
        let distance = self.edge.balancer.borrow().distance(replica);
        log::info!(
            "event=request_answered request={} route={} replica={replica} distance={} attempt={attempt} status={} elapsed_ms={} left_ms={} configuration={} replicas_revision={}",
            self.id,
            self.route.name,
            distance.map_or("unknown", Distance::name),
            status.as_u16(),
            elapsed.as_millis(),
            self.left().as_millis(),
            view.configuration_revision,
            view.replicas_revision
        );
        let metrics = &self.edge.metrics;
        metrics.request(&self.route.name, "answered", elapsed.as_secs_f64());
    }

    /// Fingerprint of the request's content.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let host = host_of(&self.head);
            let path = self.head.uri.path_and_query();
            Fingerprint::of(&RequestContent {
                method: self.head.method.as_str(),
                host: &host,
                path: path.map_or("", |path| path.as_str()),
                tenant: self.tenant.as_ref().map(|tenant| &*tenant.name),
                body: &self.body.bytes,
            })
        })
    }

    /// Whether the request may run more than once.
    pub(super) fn is_repeatable(&self) -> bool {
        match self.route.kind {
            RouteKind::Idempotent => true,
            RouteKind::Streaming => self.route.resumable,
            RouteKind::NonIdempotent | RouteKind::Rollout | RouteKind::Batch => false,
        }
    }

    /// Priority of the tenant, or else of the route; 0 is the highest.
    pub(super) fn priority(&self) -> u32 {
        let own = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Time until the deadline.
    pub(super) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Moment::now())
    }

    /// Time since the edge began to forward the request.
    pub(super) fn elapsed(&self) -> Duration {
        self.forwarded_at.elapsed()
    }

    /// Latency objective of the route.
    pub(super) fn objective(&self) -> Duration {
        Duration::from_millis(self.route.objective_ms)
    }

    /// Timeout of an attempt that may be retried. `timeouts` is the number of earlier attempts that
    /// timed out.
    pub(super) fn attempt_timeout(&self, timeouts: u32) -> Duration {
        attempt_timeout(self.objective(), timeouts)
    }

    /// Head of the caller's request.
    pub(super) fn head(&self) -> &Parts {
        &self.head
    }

    /// Body of the caller's request.
    pub(super) fn body(&self) -> Bytes {
        self.body.bytes.clone()
    }

    /// Whether the request belongs to a job and needs the work lease.
    pub(super) fn is_for_job(&self) -> bool {
        self.is_for_job
    }

    /// Requirements that a replica must meet for this request.
    pub(super) fn requirements(&self) -> Requirements<'_> {
        Requirements {
            service: &self.service,
            regions: &self.regions,
            weights: None,
            is_quarantined: self.is_quarantined(),
            now: self.edge.clock.now(),
            permit: None,
        }
    }

    /// Service that the request is sent to.
    pub(super) fn service(&self) -> &str {
        &self.service
    }

    /// Regions in which the request may be served.
    pub(super) fn regions(&self) -> &Regions {
        &self.regions
    }

    /// Chooses a replica without asking the leader. A permit also allows its replica while that is
    /// warming up.
    ///
    /// # Errors
    /// Why no replica is eligible; `None` if no replica is known.
    pub(super) fn choose_local(
        &self,
        tried: &[String],
        permit: Option<&Permit>,
    ) -> Result<Clearance, Option<Ineligible>> {
        let requirements = Requirements {
            permit,
            ..self.requirements()
        };
        let balancer = self.edge.balancer.borrow();
        let chosen = balancer.choose(&requirements, tried, Moment::now());
        chosen.ok_or_else(|| {
            balancer
                .refusal_reason(&requirements)
                .map(|(reason, _)| reason)
        })
    }

    /// Whether an eligible replica has capacity for scoring calls.
    pub(super) fn has_spare_capacity(&self) -> bool {
        let balancer = self.edge.balancer.borrow();
        balancer.has_spare_capacity(&self.requirements(), Moment::now())
    }

    /// Chooses a replica that has capacity for scoring calls, is expected to meet the latency
    /// objective and was not tried; `None` if there is none.
    pub(super) fn choose_with_spare_capacity(&self, tried: &[String]) -> Option<Clearance> {
        let balancer = self.edge.balancer.borrow();
        let objective = self.objective();
        balancer.choose_spare(&self.requirements(), tried, objective, Moment::now())
    }

    /// Typical response time of the service; zero if it is not known.
    pub(super) fn typical_response(&self) -> Duration {
        let balancer = self.edge.balancer.borrow();
        let typical_ms = balancer.typical_response_ms(&self.requirements());
        Duration::from_secs_f64(typical_ms.unwrap_or(0.0) / 1_000.0)
    }

    /// Whether every replica that could take the request is so busy that no answer is expected in
    /// the time left. Streams are excluded: their time left covers more than the response head.
    fn is_too_late(&self, left: Duration) -> bool {
        if self.route.kind == RouteKind::Streaming {
            return false;
        }
        let balancer = self.edge.balancer.borrow();
        let is_too_late = balancer.is_overloaded(&self.requirements(), left, Moment::now());
        if is_too_late {
            log::info!(
                "event=request_overloaded request={} route={} service={} left_ms={}",
                self.id,
                self.route.name,
                self.service,
                left.as_millis()
            );
        }
        is_too_late
    }
}
