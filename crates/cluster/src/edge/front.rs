//! The HTTP front end: accepts callers' connections and dispatches their requests.
//!
//! Requests go to [`super::forward`], calls about jobs to [`super::job_calls`].

use super::body_reader::BodyLimits;
use super::caller_stream::CallerStream;
use super::draining::RequestGuard;
use super::forward::{Admitted, forward};
use super::headers::{header_text, host_of};
use super::job_calls::{JobCall, admit_job_call, job_call, submit};
use super::process::Edge;
use super::responses::{Body, plain};
use super::retry_after::Missing;
use crate::clock::Moment;
use crate::platform::Call;
use brasspond_fleet::{Denial, Limits};
use bytes::Bytes;
use futures::future::Either;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioTimer;
use std::convert::Infallible;
use std::fmt::Display;
use std::os::fd::AsRawFd;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Minimum buffer size of a connection, in bytes.
const MIN_BUFFER_BYTES: usize = 32 * 1024;

/// Pause after a failed accept.
const CALLER_ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Accepts callers' connections until the edge stops.
pub(super) async fn serve(edge: Rc<Edge>, listener: TcpListener) {
    let mut closing = edge.callers.watch_closing();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // Closes the listener, so that new connections are refused instead of being closed
            // before their request is read.
            _ = closing.wait_for(|closing| *closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let is_reserved = edge.callers.descriptors.is_reserved(stream.as_raw_fd());
                tokio::task::spawn_local(serve_connection(Rc::clone(&edge), stream));
                if is_reserved {
                    await_descriptors(&edge, &listener).await;
                }
                edge.callers.accept_health.succeeded();
            }
            Err(error) => {
                edge.accept_failed(&error);
                tokio::time::sleep(CALLER_ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Sheds connections until a further caller would leave the reserved descriptors free, or the edge
/// stops.
async fn await_descriptors(edge: &Edge, listener: &TcpListener) {
    let closing = edge.callers.watch_closing();
    while !edge.callers.descriptors.has_room(listener) && !*closing.borrow() {
        edge.accept_failed(&"few file descriptors are left");
        tokio::time::sleep(CALLER_ACCEPT_RETRY_PAUSE).await;
    }
}

impl Edge {
    /// Sheds connections after a failed accept, or while few file descriptors are left.
    fn accept_failed(&self, error: &impl Display) {
        if self.callers.accept_health.failed(self.clock.now()) {
            log::warn!(
                "event=accept_failed error=\"{error}\" requests={}",
                self.callers.requests()
            );
            self.pool.close_all_idle();
            self.callers.shed_connections();
        }
    }
}

async fn serve_connection(edge: Rc<Edge>, stream: TcpStream) {
    let stream = CallerStream::new(stream, &edge.slow_readers);
    let writes = stream.writes();
    let limits = {
        let view = edge.fleet.view.borrow();
        view.configuration
            .as_ref()
            .map(|configuration| configuration.limits)
    };
    // Default limits apply until a configuration is known.
    let limits = limits.unwrap_or_default();
    let mut closing = edge.callers.watch_closing();
    let handler = Rc::clone(&edge);
    let service = service_fn(move |request| {
        let edge = Rc::clone(&handler);
        async move { Ok::<_, Infallible>(handle_request(&edge, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(max_idle(&limits))
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(stream, service);
    let mut connection = pin!(connection);
    let mut shed = edge.callers.watch_shed();
    let stopped = pin!(async {
        tokio::select! {
            _ = closing.wait_for(|closing| *closing) => {}
            _ = shed.changed() => {}
        }
    });
    if let Either::Right((_, mut connection)) =
        futures::future::select(connection.as_mut(), stopped).await
    {
        connection.as_mut().graceful_shutdown();
        // Errors of a caller's connection are not logged.
        let _ = connection.await;
    }
    edge.report_cut(&writes);
}

/// Handles one request of a caller.
async fn handle_request(edge: &Rc<Edge>, request: Request<Incoming>) -> Response<Body> {
    let guard = RequestGuard::new(edge);
    let started = Moment::now();
    let (head, body) = request.into_parts();
    let call = edge.platform.wire.call(&head);
    let job = JobCall::of(&call);
    let mut response = match call {
        Call::Unknown => plain(StatusCode::NOT_FOUND, Bytes::new()),
        Call::Request => service_request(edge, head, body, guard).await,
        call => match admit_job_call(edge, &head).await {
            Ok(tenant) => job_call(edge, call, tenant).await,
            Err(response) => *response,
        },
    };
    if let Some(job) = job {
        job.log(edge, response.status(), started);
    }
    if edge.callers.is_draining() {
        let close = HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(hyper::header::CONNECTION, close);
    }
    response
}

/// Rejects a call whose API key is not accepted. An isolated edge responds 503 instead of 401 to an
/// unknown key, because it may lack the newest configuration and callers do not retry after 401.
pub(super) fn deny(
    edge: &Edge,
    head: &Parts,
    denial: Denial,
    configuration: u64,
) -> Response<Body> {
    let is_isolated = edge.is_isolated();
    edge.metrics.denial(denial.name());
    log::info!(
        "event=request_denied request={} path={} reason={} configuration={configuration} cut_off={is_isolated}",
        request_id(edge, head),
        head.uri.path(),
        denial.name()
    );
    if is_isolated && denial == Denial::KeyUnknown {
        return edge.reject(Missing::Configuration, 0);
    }
    plain(StatusCode::UNAUTHORIZED, Bytes::new())
}

/// Admits a request by its head and reads its body. Submits a job, and forwards any other request.
async fn service_request(
    edge: &Rc<Edge>,
    head: Parts,
    body: Incoming,
    guard: RequestGuard,
) -> Response<Body> {
    let arrived = Moment::now();
    let Some(index) = edge.known_index(&head.headers).await else {
        log::info!(
            "event=request_failed request={} path={} reason=no_configuration",
            request_id(edge, &head),
            head.uri.path()
        );
        return edge.reject(Missing::Configuration, 0);
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
    let mut body = body;
    let body = match edge
        .read_body(&mut body, body_limits(&configuration.limits))
        .await
    {
        Ok(read) => read,
        Err(error) => {
            let id = request_id(edge, &head);
            return edge.refuse_body(&id, &head.headers, body, error, route.priority);
        }
    };
    if route.kind.is_job() {
        if head.method != Method::POST {
            return plain(StatusCode::METHOD_NOT_ALLOWED, Bytes::new());
        }
        return submit(edge, &head, &admitted, body, arrived).await;
    }
    edge.await_fleet(&head.headers, arrived.elapsed()).await;
    forward(edge, admitted, head, body, arrived, guard).await
}

fn body_limits(limits: &Limits) -> BodyLimits {
    BodyLimits {
        max_bytes: limits.body_bytes,
        idle_timeout: Some(max_idle(limits)),
    }
}

/// Maximum time for which a caller may send nothing, between requests and within one.
fn max_idle(limits: &Limits) -> Duration {
    Duration::from_millis(limits.idle_timeout_ms.max(limits.header_timeout_ms))
}

/// Request id from the header, for logs; empty if it is missing.
pub(super) fn request_id(edge: &Edge, head: &Parts) -> String {
    let names = edge.platform.wire.names();
    header_text(&head.headers, &names.request_id)
}
