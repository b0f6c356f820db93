//! What callers connect to.

use super::answers::{Body, json, plain, uncertain};
use super::draining::Counted;
use super::forward::{Admitted, forward};
use super::headers::{header_text, host_of};
use super::process::Edge;
use super::questions::AskError;
use super::residency::RegionRefusal;
use super::retry_after::Lack;
use crate::clock::Moment;
use crate::platform::Call;
use brasspond_cluster_protocol::{Answer, Question};
use brasspond_fleet::Denial;
use brasspond_jobs::Submission;
use bytes::Bytes;
use futures::future::Either;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Longest time of a call that hands a job in or ends it.
const CALL_TIME: Duration = Duration::from_millis(4_000);
/// Longest time of a read beyond its hold: callers wait 1.5 s beyond it, and one that
/// leaves without an answer has lost that time.
const READ_TIME: Duration = Duration::from_millis(1_000);
/// Time without a leader after which a read is answered 503, in ms: the caller asks
/// another edge. This one may be cut off.
const READ_PATIENCE: u64 = 400;
/// The same for calls that hand a job in or end it, in ms: longer than most elections,
/// since what is sent again may be large.
const CALL_PATIENCE: u64 = 1_500;
/// Longest hold of a read of results, in ms.
const LONGEST_WAIT: u64 = 1_000;
/// Buffer of a connection, in bytes.
const BUFFER_BYTES: usize = 32 * 1024;

/// Pause before the next connection is accepted where one could not be.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts callers until the edge stops.
pub(super) async fn serve(edge: Rc<Edge>, listener: TcpListener) {
    let mut closing = edge.callers.watch_closing();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // Callers that come now are refused, so that they know that nothing was read: one
            // that was accepted would be closed before its request.
            _ = closing.wait_for(|closing| *closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                edge.callers.accepting.succeeded();
                tokio::task::spawn_local(serve_connection(Rc::clone(&edge), stream));
            }
            Err(error) => {
                edge.accept_failed(&error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

impl Edge {
    /// Makes room for new connections: descriptors are most likely used up.
    fn accept_failed(&self, error: &std::io::Error) {
        if self.callers.accepting.failed(self.clock.now()) {
            log::warn!(
                "event=accept_failed error=\"{error}\" requests={}",
                self.callers.requests()
            );
            self.pool.close_all();
            self.callers.relieve();
        }
    }
}

async fn serve_connection(edge: Rc<Edge>, stream: TcpStream) {
    crate::link::prepare(&stream);
    let limits = {
        let view = edge.fleet.view.borrow();
        view.configuration.as_ref().map(|one| one.limits)
    };
    let limits = limits.unwrap_or_default();
    let mut closing = edge.callers.watch_closing();
    let handler = Rc::clone(&edge);
    let service = service_fn(move |request| {
        let edge = Rc::clone(&handler);
        async move { Ok::<_, Infallible>(answer(&edge, request).await) }
    });
    let idle = Duration::from_millis(limits.idle_timeout_ms.max(limits.header_timeout_ms));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(limits.header_bytes.max(BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut relief = edge.callers.watch_relief();
    let stopped = pin!(async {
        tokio::select! {
            _ = closing.wait_for(|closing| *closing) => {}
            _ = relief.changed() => {}
        }
    });
    if let Either::Right((_, connection)) =
        futures::future::select(connection.as_mut(), stopped).await
    {
        connection.graceful_shutdown();
    } else {
        return;
    }
    let _ = connection.await;
}

async fn answer(edge: &Rc<Edge>, request: Request<Incoming>) -> Response<Body> {
    let counted = Counted::new(edge);
    let begun = Moment::now();
    let (head, body) = request.into_parts();
    let call = edge.platform.wire.call(&head);
    let told = JobCall::of(&call);
    let mut response = match call {
        Call::Unknown => plain(StatusCode::NOT_FOUND, Bytes::new()),
        Call::Request => service_request(edge, head, body, counted).await,
        call => match admit_job_call(edge, &head).await {
            Ok(tenant) => job_call(edge, call, tenant).await,
            Err(response) => *response,
        },
    };
    if let Some(told) = told {
        told.log(edge, response.status(), begun);
    }
    if edge.callers.is_draining() {
        let close = HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(hyper::header::CONNECTION, close);
    }
    response
}

/// The tenant that makes a call about a job.
async fn admit_job_call(
    edge: &Edge,
    head: &hyper::http::request::Parts,
) -> Result<Option<Arc<str>>, Box<Response<Body>>> {
    let Some(index) = edge.known_index(&head.headers).await else {
        return Err(Box::new(edge.turn_away(Lack::Configuration, 0)));
    };
    let credential = edge.platform.wire.credential(&head.headers);
    let is_public = index.has_public_jobs(&host_of(head));
    match index.admit(credential, is_public) {
        Ok(tenant) => Ok(tenant.map(|tenant| Arc::clone(&tenant.name))),
        Err(denial) => {
            let version = index.configuration().version;
            Err(Box::new(deny(edge, head, denial, version)))
        }
    }
}

/// Turns a call away for its key. An edge that may not know the newest configuration
/// says 503 instead: the key may be a new one, and callers do not come again after 401.
fn deny(
    edge: &Edge,
    head: &hyper::http::request::Parts,
    denial: Denial,
    configuration: u64,
) -> Response<Body> {
    let is_cut_off = edge.is_cut_off();
    edge.metrics.denial(denial.name());
    log::info!(
        "event=request_denied request={} path={} reason={} configuration={configuration} cut_off={is_cut_off}",
        request_id(edge, head),
        head.uri.path(),
        denial.name()
    );
    if is_cut_off && denial == Denial::KeyUnknown {
        return edge.turn_away(Lack::Configuration, 0);
    }
    plain(StatusCode::UNAUTHORIZED, Bytes::new())
}

async fn job_call(edge: &Rc<Edge>, call: Call, tenant: Option<Arc<str>>) -> Response<Body> {
    match call {
        Call::Results {
            job,
            since,
            wait_ms,
        } => {
            let wait_ms = wait_ms.min(LONGEST_WAIT);
            let question = Question::Results {
                job,
                since,
                wait_ms,
                tenant,
            };
            results(edge, question, wait_ms).await
        }
        Call::Body { job, item } => item_body(edge, Question::Body { job, item, tenant }).await,
        Call::End { job } => end(edge, Question::End { job, tenant }).await,
        Call::Unknown | Call::Request => plain(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

/// A call about a job, for log and metrics.
struct JobCall {
    name: &'static str,
    job: String,
}

impl JobCall {
    fn of(call: &Call) -> Option<Self> {
        let (name, job) = match call {
            Call::Results { job, .. } => ("results", job),
            Call::Body { job, .. } => ("body", job),
            Call::End { job } => ("end", job),
            Call::Unknown | Call::Request => return None,
        };
        Some(Self {
            name,
            job: job.clone(),
        })
    }

    fn log(&self, edge: &Edge, status: StatusCode, begun: Moment) {
        let elapsed = begun.elapsed();
        let code = status.as_u16();
        edge.metrics
            .job_call(self.name, &code.to_string(), elapsed.as_secs_f64());
        if !status.is_success() || self.name == "end" {
            log::info!(
                "event=job_call call={} job={} status={code} elapsed_ms={} leader_known={}",
                self.name,
                self.job,
                elapsed.as_millis(),
                edge.storage.borrow().contact.leader().is_some()
            );
        }
    }
}

async fn service_request(
    edge: &Rc<Edge>,
    head: hyper::http::request::Parts,
    body: Incoming,
    counted: Counted,
) -> Response<Body> {
    let arrived = Moment::now();
    let Some(index) = edge.known_index(&head.headers).await else {
        log::info!(
            "event=request_failed request={} path={} reason=no_configuration",
            request_id(edge, &head),
            head.uri.path()
        );
        return edge.turn_away(Lack::Configuration, 0);
    };
    let configuration = index.configuration();
    let host = host_of(&head);
    let Some(route) = index.route(&host, head.uri.path()) else {
        log::info!(
            "event=request_failed request={} host={host} path={} reason=no_route configuration={}",
            request_id(edge, &head),
            head.uri.path(),
            configuration.version
        );
        return plain(StatusCode::NOT_FOUND, Bytes::new());
    };
    let credential = edge.platform.wire.credential(&head.headers);
    let tenant = match index.admit(credential, route.is_public) {
        Ok(tenant) => tenant,
        Err(denial) => return deny(edge, &head, denial, configuration.version),
    };
    let admitted = Admitted { route, tenant };
    if let Err(response) = edge.check_regions(&head, route, &admitted.regions()) {
        return *response;
    }
    let body = match Limited::new(body, configuration.limits.body_bytes)
        .collect()
        .await
    {
        Ok(collected) => collected.to_bytes(),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, Bytes::new());
        }
        Err(_) => return plain(StatusCode::BAD_REQUEST, Bytes::new()),
    };
    if route.kind.is_job() {
        if head.method != Method::POST {
            return plain(StatusCode::METHOD_NOT_ALLOWED, Bytes::new());
        }
        return submit(edge, &head, &admitted, &body, arrived).await;
    }
    edge.await_fleet(&head.headers, arrived.elapsed()).await;
    forward(edge, admitted, head, body, arrived, counted).await
}

/// Takes a job: answers 202 once a quorum keeps it.
async fn submit(
    edge: &Rc<Edge>,
    head: &hyper::http::request::Parts,
    admitted: &Admitted<'_>,
    body: &[u8],
    arrived: Moment,
) -> Response<Body> {
    let names = edge.platform.wire.names();
    let id = head.headers.get(&names.request_id);
    let Some(id) = id.and_then(|id| id.to_str().ok()) else {
        return plain(StatusCode::BAD_REQUEST, Bytes::new());
    };
    let parsed = edge
        .platform
        .wire
        .submission(id, &host_of(head), head.uri.path(), body);
    let submission = match parsed {
        Ok(submission) => Submission {
            tenant: admitted.tenant.map(|tenant| Arc::clone(&tenant.name)),
            ..submission
        },
        Err(problem) => {
            log::info!("event=job_refused job={id} problem=\"{problem}\"");
            return plain(StatusCode::BAD_REQUEST, Bytes::from(problem));
        }
    };
    if let Err(outside) = edge.check_bodies(admitted.route, &submission) {
        return edge.refuse_outside(id, admitted.route, outside);
    }
    let deadline = arrived + CALL_TIME;
    let question = Question::Submit(submission);
    let answer = edge
        .ask(question, Duration::ZERO, deadline, CALL_PATIENCE)
        .await;
    let (outcome, response) = match answer {
        Ok(Answer::Done) => ("taken", plain(StatusCode::ACCEPTED, Bytes::new())),
        Ok(Answer::Taken) => ("other_tenant", plain(StatusCode::CONFLICT, Bytes::new())),
        Ok(Answer::Evacuated) => ("evacuated", edge.turn_away(Lack::Zone, 0)),
        Ok(Answer::OutsideRegions) => (
            "outside_regions",
            edge.refuse_outside(id, admitted.route, RegionRefusal::Members),
        ),
        Err(AskError::NotAsked) => ("no_leader", edge.turn_away(Lack::Leader, 0)),
        Ok(_) | Err(AskError::Uncertain) => ("unknown", uncertain(StatusCode::GATEWAY_TIMEOUT)),
    };
    let elapsed = arrived.elapsed();
    log::info!(
        "event=job_call call=submit job={id} outcome={outcome} status={} elapsed_ms={}",
        response.status().as_u16(),
        elapsed.as_millis()
    );
    edge.metrics
        .job_call("submit", outcome, elapsed.as_secs_f64());
    response
}

async fn results(edge: &Rc<Edge>, question: Question, wait_ms: u64) -> Response<Body> {
    let wait = Duration::from_millis(wait_ms);
    let deadline = Moment::now() + wait + READ_TIME;
    let answer = edge.ask_results(question, wait, deadline, READ_PATIENCE);
    match answer.await {
        Ok(Answer::Page(Some(page))) => json(edge.platform.wire.page(&page)),
        Ok(Answer::Page(None)) => plain(StatusCode::NOT_FOUND, Bytes::new()),
        _ => edge.turn_away(Lack::Answer, 0),
    }
}

async fn item_body(edge: &Rc<Edge>, question: Question) -> Response<Body> {
    let deadline = Moment::now() + READ_TIME;
    let answer = edge.ask(question, Duration::ZERO, deadline, READ_PATIENCE);
    match answer.await {
        Ok(Answer::Body(Ok(body))) => plain(StatusCode::OK, body),
        Ok(Answer::Body(Err(_))) => plain(StatusCode::NOT_FOUND, Bytes::new()),
        _ => edge.turn_away(Lack::Answer, 0),
    }
}

async fn end(edge: &Rc<Edge>, question: Question) -> Response<Body> {
    let deadline = Moment::now() + CALL_TIME;
    let answer = edge.ask(question, Duration::ZERO, deadline, CALL_PATIENCE);
    match answer.await {
        Ok(Answer::Done) => plain(StatusCode::OK, Bytes::new()),
        Ok(Answer::Page(None)) => plain(StatusCode::NOT_FOUND, Bytes::new()),
        _ => edge.turn_away(Lack::Answer, 0),
    }
}

/// Identity of a request, for logs.
pub(super) fn request_id(edge: &Edge, head: &hyper::http::request::Parts) -> String {
    let names = edge.platform.wire.names();
    header_text(&head.headers, &names.request_id)
}
