//! A single attempt to send a request to a replica: connects, sends, validates the response.
//!
//! Takes the connection from the pool and reports response time and load to the load balancer.
//! Keeps no state beyond the attempt.

use super::attempt_error::{AttemptError, UncertainCause};
use super::balance::LoadBalancer;
use super::forward::ForwardedRequest;
use super::headers::{copy_headers, header_text};
use super::load_report::LoadReport;
use super::process::Edge;
use super::stream_forwarding::ReplicaStream;
use super::usage::UsageGuard;
use crate::clock::{Moment, within};
use crate::upstream::{Connection, UpstreamError};
use brasspond_eligibility::Clearance;
use brasspond_fleet::RouteKind;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Lowest priority in the replica's protocol; 0 is the highest.
const LOWEST_PRIORITY: u32 = 9;

/// A replica's response: read completely, or a stream that is still being received.
pub(super) enum ReplicaResponse {
    Full(StatusCode, HeaderMap, Bytes),
    Stream(StatusCode, HeaderMap, ReplicaStream),
}

/// The part of a request that cannot be encoded for a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InvalidPart {
    Path,
    Tenant,
    Replica,
}

impl InvalidPart {
    fn name(self) -> &'static str {
        match self {
            Self::Path => "path",
            Self::Tenant => "tenant",
            Self::Replica => "replica",
        }
    }
}

impl ForwardedRequest {
    /// Sends the request to a replica. `after` is the id of the last event that the caller was sent
    /// if a stream is resumed. The attempt fails at the request's deadline or, if the request is
    /// repeatable, after `timeout`, whichever is earlier.
    ///
    /// # Errors
    /// See [`AttemptError`].
    pub(super) async fn attempt(
        &self,
        clearance: &Clearance,
        after: Option<u64>,
        timeout: Duration,
    ) -> Result<ReplicaResponse, AttemptError> {
        let replica: &str = clearance.replica();
        let limit = if self.is_repeatable() {
            self.left().min(timeout)
        } else {
            self.left()
        };
        let in_flight = InFlight::begin(&self.edge, replica);
        let started = Moment::now();
        let sent = Cell::new(false);
        let exchange = self.exchange(clearance, after, &sent, in_flight);
        let result = match within(limit, exchange).await {
            Ok(result) => result,
            Err(_) if sent.get() => {
                // Idle connections to the same address have probably failed as well.
                self.edge.pool.close_idle(clearance.address());
                Err(AttemptError::MayHaveRun(UncertainCause::TimedOut))
            }
            Err(_) => Err(AttemptError::NotSent),
        };
        self.record_attempt(replica, started, &result);
        result
    }

    fn record_attempt(
        &self,
        replica: &str,
        started: Moment,
        result: &Result<ReplicaResponse, AttemptError>,
    ) {
        let outcome = match result {
            Ok(_) => "answered",
            Err(error) => error.name(),
        };
        let metrics = &self.edge.metrics;
        metrics.attempt(outcome, started.elapsed().as_secs_f64());
        if result.is_ok() {
            let mut balancer = self.edge.balancer.borrow_mut();
            balancer.record_response(replica, started, started.elapsed());
        }
    }

    async fn exchange(
        &self,
        clearance: &Clearance,
        after: Option<u64>,
        sent: &Cell<bool>,
        in_flight: InFlight,
    ) -> Result<ReplicaResponse, AttemptError> {
        let started = Moment::now();
        let mut connection = self.connect(clearance).await?;
        let replica: &str = clearance.replica();
        let request = match self.build_request(replica, after) {
            Ok(request) => request,
            Err(part) => {
                log::warn!(
                    "event=request_not_encoded request={} replica={replica} part={}",
                    self.id,
                    part.name()
                );
                return Err(AttemptError::NotSent);
            }
        };
        if !self.is_in_time(clearance) {
            self.edge.pool.release(connection);
            return Err(AttemptError::Expired);
        }
        sent.set(true);
        let (head, body) = self.send(replica, &mut connection, request).await?;
        if head.status.is_success() && self.route.kind == RouteKind::Streaming {
            let source = ReplicaStream {
                body,
                connection,
                _in_flight: in_flight,
                replica: replica.to_string(),
                started,
            };
            return Ok(ReplicaResponse::Stream(head.status, head.headers, source));
        }
        self.read_full(head, body, connection).await
    }

    /// Takes a connection and checks that the replica's zone was not evacuated meanwhile.
    async fn connect(&self, clearance: &Clearance) -> Result<Connection, AttemptError> {
        let Ok(connection) = self.edge.pool.take(clearance).await else {
            return Err(AttemptError::NotSent);
        };
        if !self.edge.is_zone_in_service(clearance) {
            self.edge.pool.release(connection);
            return Err(AttemptError::NotSent);
        }
        Ok(connection)
    }

    /// Whether the clearance, and for a job the work lease, is still valid.
    fn is_in_time(&self, clearance: &Clearance) -> bool {
        let may_begin_work = !self.is_for_job() || self.edge.may_begin_work();
        may_begin_work && clearance.is_in_time(self.edge.clock.now())
    }

    /// Sends the request and validates the response head. The request is metered unless it
    /// certainly did not run.
    async fn send(
        &self,
        replica: &str,
        connection: &mut Connection,
        request: Request<Full<Bytes>>,
    ) -> Result<(response::Parts, Incoming), AttemptError> {
        let mut guard = UsageGuard::begin(self);
        let received = connection.send(request).await;
        let received = received.map_err(|error| match error {
            UpstreamError::NotSent => AttemptError::NotSent,
            UpstreamError::Broken => AttemptError::MayHaveRun(UncertainCause::Broken),
            UpstreamError::Invalid => AttemptError::MayHaveRun(UncertainCause::InvalidResponse),
        });
        let checked = received.and_then(|response| self.check_head(replica, response));
        match &checked {
            Ok(_) if self.route.kind == RouteKind::Streaming => {
                if let Some(guard) = &mut guard {
                    guard.move_to_current_window();
                }
            }
            Err(AttemptError::NotSent | AttemptError::NotRun { .. }) => {
                if let Some(guard) = guard {
                    guard.discard(self);
                }
            }
            Ok(_) | Err(_) => {}
        }
        checked
    }

    async fn read_full(
        &self,
        head: response::Parts,
        mut body: Incoming,
        connection: Connection,
    ) -> Result<ReplicaResponse, AttemptError> {
        let body = self.edge.read_answer(&mut body).await.map_err(|error| {
            log::info!(
                "event=answer_not_read request={} reason={}",
                self.id,
                error.name()
            );
            AttemptError::MayHaveRun(UncertainCause::of(error))
        })?;
        self.edge.pool.release(connection);
        if head.status.is_server_error() {
            self.record_completed();
            let response = Box::new((head.status, head.headers, body));
            return Err(AttemptError::ErrorResponse(response));
        }
        Ok(ReplicaResponse::Full(head.status, head.headers, body))
    }

    /// Checks that a response belongs to this request, is not a refusal and, if its status is a
    /// success, is signed and not compressed. Records the load that the replica reports.
    fn check_head(
        &self,
        replica: &str,
        response: Response<Incoming>,
    ) -> Result<(response::Parts, Incoming), AttemptError> {
        let (head, body) = response.into_parts();
        let (status, headers) = (head.status, &head.headers);
        let names = self.edge.platform.wire.names();
        if header_text(headers, &names.request_id) != self.id {
            return Err(AttemptError::MayHaveRun(UncertainCause::InvalidResponse));
        }
        record_load(
            &mut self.edge.balancer.borrow_mut(),
            replica,
            &header_text(headers, &names.load),
        );
        let is_refused =
            headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST;
        if is_refused {
            let is_full = status == StatusCode::SERVICE_UNAVAILABLE;
            return Err(AttemptError::NotRun { is_full });
        }
        let has_signature = headers.contains_key(&names.signature);
        let is_compressed = headers.contains_key(hyper::header::CONTENT_ENCODING);
        if status.is_success() && (!has_signature || is_compressed) {
            return Err(AttemptError::MayHaveRun(UncertainCause::InvalidResponse));
        }
        Ok((head, body))
    }

    /// Builds the request to send to a replica.
    ///
    /// # Errors
    /// The part of the request that cannot be encoded.
    fn build_request(
        &self,
        replica: &str,
        after: Option<u64>,
    ) -> Result<Request<Full<Bytes>>, InvalidPart> {
        let head = self.head();
        let path = head.uri.path_and_query().ok_or(InvalidPart::Path)?;
        let path = path.as_str().parse().map_err(|_| InvalidPart::Path)?;
        let mut request = Request::new(Full::new(self.body()));
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = path;
        copy_headers(&head.headers, request.headers_mut());
        self.set_edge_headers(request.headers_mut(), replica, after)?;
        Ok(request)
    }

    /// Removes the caller's credential and sets the headers that the edge controls.
    fn set_edge_headers(
        &self,
        headers: &mut HeaderMap,
        replica: &str,
        after: Option<u64>,
    ) -> Result<(), InvalidPart> {
        let names = self.edge.platform.wire.names();
        headers.remove(hyper::header::CONTENT_LENGTH);
        headers.remove(hyper::header::EXPECT);
        headers.remove(&names.credential);
        headers.remove(&names.tenant);
        if let Some(tenant) = &self.tenant {
            let name = HeaderValue::from_str(&tenant.name);
            let name = name.map_err(|_| InvalidPart::Tenant)?;
            headers.insert(names.tenant.clone(), name);
        }
        let left = u64::try_from(self.left().as_millis()).unwrap_or(u64::MAX);
        headers.insert(names.deadline_ms.clone(), HeaderValue::from(left.max(1)));
        let replica = HeaderValue::from_str(replica).map_err(|_| InvalidPart::Replica)?;
        headers.insert(names.required_replica.clone(), replica);
        if let Some(after) = after {
            headers.insert(names.last_event_id.clone(), HeaderValue::from(after));
        }
        if self.route.kind == RouteKind::Streaming {
            let priority = self.priority().min(LOWEST_PRIORITY);
            headers.insert(names.priority.clone(), HeaderValue::from(priority));
        }
        Ok(())
    }
}

/// Records the load in a replica's response header. A missing or malformed header is ignored.
fn record_load(balancer: &mut LoadBalancer, replica: &str, header: &str) {
    if let Some(report) = LoadReport::parse(header) {
        balancer.record_load(replica, &report);
    }
}

/// Guard that counts a request as in flight at a replica.
pub(super) struct InFlight {
    edge: Rc<Edge>,
    replica: String,
}

impl InFlight {
    fn begin(edge: &Rc<Edge>, replica: &str) -> Self {
        edge.balancer.borrow_mut().begin_request(replica);
        Self {
            edge: Rc::clone(edge),
            replica: replica.to_string(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.edge.balancer.borrow_mut().end_request(&self.replica);
    }
}
