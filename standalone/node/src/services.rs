//! Plain HTTP services: routing, choice of a replica, and at-most-once execution of requests that
//! have an idempotency key.

use crate::auth::{authenticate, require_role};
use crate::errors::{ApiError, Execution};
use crate::handle::Handle;
use crate::server::Server;
use crate::service_replicas::Slot;
use crate::view::View;
use brasspond_control::{Event, Reply, RequestId};
use brasspond_http::{CallError, Request, Response, ResponseBody, full_body, read_body};
use brasspond_idempotency::{ClaimKey, Decision, Outcome};
use brasspond_resource::{Backend, Kind, Role, ServiceSpec, Spec};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use std::time::Duration;

/// Header that names a non-repeatable request (IETF draft "The Idempotency-Key
/// HTTP Header Field").
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Longest response body stored for repeats of the same key, in bytes.
const MAX_STORED_BYTES: usize = 64 * 1024;
/// Time for the voters to decide on an idempotency key.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of attempts to connect per request without a body, each to another replica. A
/// request with a body is attempted once.
const MAX_CONNECT_ATTEMPTS: usize = 3;

/// Headers that concern one connection only (RFC 9110, section 7.6.1), without `Keep-Alive` and
/// `Proxy-Connection`, for which `hyper` has no constants.
const HOP_BY_HOP: [HeaderName; 7] = [
    hyper::header::CONNECTION,
    hyper::header::PROXY_AUTHENTICATE,
    hyper::header::PROXY_AUTHORIZATION,
    hyper::header::TE,
    hyper::header::TRAILER,
    hyper::header::TRANSFER_ENCODING,
    hyper::header::UPGRADE,
];

/// The service with the longest route that is a prefix of the path. A route matches whole path
/// segments only.
pub(crate) fn find<'a>(view: &'a View, path: &str) -> Option<(&'a str, &'a ServiceSpec)> {
    let services = view.catalogue.of_kind(Kind::Service);
    let routes = services.flat_map(|object| match &object.spec {
        Spec::Service(spec) => {
            let routes = spec.routes.iter();
            routes
                .map(|route| (route.as_str(), object.metadata.name.as_str(), spec))
                .collect()
        }
        _ => Vec::new(),
    });
    let matching = routes.filter(|(route, _, _)| {
        let rest = path.strip_prefix(route.trim_end_matches('/'));
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    });
    let longest = matching.max_by_key(|(route, _, _)| route.len());
    longest.map(|(_, name, spec)| (name, spec))
}

/// Forwards a request to the service of its path. If the request has an idempotency key and the
/// service does not list its method as repeatable, it runs at most once.
pub(crate) async fn serve(server: &Server, request: Request) -> Result<Response, ApiError> {
    let view = server.handle.view();
    let caller = authenticate(request.headers(), &view)?;
    require_role(&caller, &[Role::Application, Role::Trainer])?;
    let (name, service) = find(&view, request.uri().path())
        .ok_or_else(|| ApiError::not_found("no service has a route for this path"))?;
    if !view.ready {
        return Err(ApiError::unavailable("this node is starting or draining"));
    }
    let key = request.headers().get(IDEMPOTENCY_KEY);
    let key = key.map(|key| key.as_bytes().to_vec());
    let is_repeatable = service
        .repeatable_methods
        .contains(request.method().as_str());
    match key.filter(|_| !is_repeatable) {
        Some(key) => {
            let key = String::from_utf8_lossy(&key).into_owned();
            let key = ClaimKey::new(&caller.name, name, &key);
            run_once(server, request, service, &view, key).await
        }
        None => {
            let result = forward(server, request, service, &view).await;
            result.map_err(|failure| failure.error)
        }
    }
}

/// Why a request has no response of a replica, and whether it was sent to one.
struct ForwardError {
    error: ApiError,
    sent: bool,
}

fn not_sent(error: ApiError) -> ForwardError {
    ForwardError { error, sent: false }
}

/// Runs a request at most once for its idempotency key.
async fn run_once(
    server: &Server,
    request: Request,
    service: &ServiceSpec,
    view: &View,
    key: ClaimKey,
) -> Result<Response, ApiError> {
    let id = server.handle.next_request();
    let decision = server
        .handle
        .ask(id, Event::Claim { request: id, key }, CLAIM_TIMEOUT)
        .await;
    let mut claim = Claim {
        handle: server.handle.clone(),
        request: id,
        unregister_on_drop: true,
    };
    match decision {
        Some(Reply::Claim(Decision::Run)) => {}
        Some(Reply::Claim(Decision::Known(outcome))) => {
            claim.unregister_on_drop = false;
            return Ok(replay(&outcome));
        }
        Some(Reply::Claim(Decision::Unknown)) => {
            claim.unregister_on_drop = false;
            let message = "a request with this idempotency key is running or has run";
            let error = ApiError::new(StatusCode::CONFLICT, "outcome_unknown", message);
            return Err(error.with_execution(Execution::Unknown));
        }
        Some(Reply::Refused(refusal)) => return Err(refusal.into()),
        _ => {
            return Err(ApiError::unavailable(
                "no decision on the idempotency key was obtained",
            ));
        }
    }
    match forward(server, request, service, view).await {
        Ok(response) => {
            let (response, outcome) = read_outcome(response).await?;
            claim.unregister_on_drop = false;
            let event = Event::ClaimEnded {
                request: id,
                outcome: Some(outcome),
            };
            server.handle.send(event).await;
            Ok(response)
        }
        Err(failure) => {
            claim.unregister_on_drop = failure.sent;
            if !failure.sent {
                let event = Event::ClaimEnded {
                    request: id,
                    outcome: None,
                };
                server.handle.send(event).await;
            }
            Err(failure.error)
        }
    }
}

/// The claim of an idempotency key. Unless its end is reported with [`Event::ClaimEnded`], the
/// voters keep the claim without an outcome, because the request may have run.
struct Claim {
    handle: Handle,
    request: RequestId,
    unregister_on_drop: bool,
}

impl Drop for Claim {
    fn drop(&mut self) {
        if self.unregister_on_drop {
            self.handle.unregister(self.request);
        }
    }
}

/// Builds the response for a repeated key from the stored outcome.
fn replay(outcome: &Outcome) -> Response {
    let mut response = hyper::Response::new(full_body(outcome.body.clone()));
    *response.status_mut() = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if let Ok(content_type) = HeaderValue::from_str(&outcome.content_type) {
        headers.insert(CONTENT_TYPE, content_type);
    }
    headers.insert("idempotent-replayed", HeaderValue::from_static("true"));
    if outcome.truncated {
        headers.insert("x-brasspond-body", HeaderValue::from_static("not-kept"));
    }
    response
}

/// Reads a response into the outcome that is stored for repeats of its key. The outcome of a long
/// response, or of one without a length, has no body.
async fn read_outcome(response: Response) -> Result<(Response, Outcome), ApiError> {
    let status = response.status().as_u16();
    let header = |name: HeaderName| {
        let value = response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let content_type = header(CONTENT_TYPE);
    let length: Option<usize> = header(CONTENT_LENGTH).parse().ok();
    let is_stored = length.is_some_and(|length| length <= MAX_STORED_BYTES);
    if !is_stored {
        let body = Vec::new();
        return Ok((
            response,
            Outcome {
                status,
                content_type,
                body,
                truncated: true,
            },
        ));
    }
    let (head, body) = response.into_parts();
    let bytes = read_body(body, MAX_STORED_BYTES).await.map_err(|_| {
        let error = ApiError::new(
            StatusCode::BAD_GATEWAY,
            "cut_off",
            "the response of the replica ended early",
        );
        error.with_execution(Execution::Unknown)
    })?;
    let body = bytes.to_vec();
    let outcome = Outcome {
        status,
        content_type,
        body,
        truncated: false,
    };
    Ok((Response::from_parts(head, full_body(bytes)), outcome))
}

/// Sends a request to a replica. Retries at another replica only if the connection failed and the
/// request has no body.
async fn forward(
    server: &Server,
    request: Request,
    service: &ServiceSpec,
    view: &View,
) -> Result<Response, ForwardError> {
    let attempt_timeout = Duration::from_millis(service.timeout_milliseconds);
    let (head, body) = request.into_parts();
    let is_empty = hyper::body::Body::is_end_stream(&body);
    let mut body = Some(body.map_err(std::io::Error::other).boxed());
    let mut tried = Vec::new();
    for _ in 0..MAX_CONNECT_ATTEMPTS {
        let Some((backend, slot)) = server.services.choose(service, view, &tried) else {
            break;
        };
        tried.push(backend.name.clone());
        let attempt_body: ResponseBody = match body.take() {
            Some(body) => body,
            None => brasspond_http::empty_body(),
        };
        let upstream = upstream_request(&head, backend, attempt_body);
        let sent =
            tokio::time::timeout(attempt_timeout, server.services.client.send(upstream)).await;
        match sent {
            Ok(Ok(response)) => return Ok(caller_response(response, slot)),
            Ok(Err(CallError::NotSent)) => {
                slot.eject();
                if !is_empty {
                    break;
                }
            }
            Ok(Err(_)) => {
                let error = ApiError::new(
                    StatusCode::BAD_GATEWAY,
                    "broken",
                    "the call to the replica failed",
                );
                return Err(ForwardError {
                    error: error.with_execution(Execution::Unknown),
                    sent: true,
                });
            }
            Err(_) => {
                let error = ApiError::new(
                    StatusCode::GATEWAY_TIMEOUT,
                    "timeout",
                    "the replica did not answer in time",
                );
                return Err(ForwardError {
                    error: error.with_execution(Execution::Unknown),
                    sent: true,
                });
            }
        }
    }
    Err(not_sent(ApiError::unavailable(
        "no replica is reachable and has a free slot",
    )))
}

/// Builds the request to a replica, without hop-by-hop headers, credentials and host.
fn upstream_request(
    head: &hyper::http::request::Parts,
    backend: &Backend,
    body: ResponseBody,
) -> hyper::Request<ResponseBody> {
    let mut request = hyper::Request::new(body);
    *request.method_mut() = head.method.clone();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let uri = format!("http://{}{path}", backend.address);
    *request.uri_mut() = uri.parse().unwrap_or_default();
    let mut headers = head.headers.clone();
    remove_hop_by_hop(&mut headers);
    headers.remove(hyper::header::AUTHORIZATION);
    headers.remove(hyper::header::HOST);
    *request.headers_mut() = headers;
    request
}

/// Builds the response to the caller. The replica's slot is released when the response body is
/// dropped.
fn caller_response(response: hyper::Response<hyper::body::Incoming>, slot: Slot) -> Response {
    let (mut head, body) = response.into_parts();
    remove_hop_by_hop(&mut head.headers);
    let body = body.map_err(std::io::Error::other).map_frame(move |frame| {
        let _slot = &slot;
        frame
    });
    Response::from_parts(head, BodyExt::boxed(body))
}

/// Removes the headers in [`HOP_BY_HOP`], `Keep-Alive`, `Proxy-Connection` and the headers that
/// `Connection` lists.
fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
