//! Builds the responses to callers.

use super::headers::copy_headers;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::pin::Pin;
use std::time::Duration;

/// Body of a response.
pub(super) type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = std::io::Error>>>;

/// A body from bytes in memory.
pub(super) fn full_body(bytes: Bytes) -> Body {
    Box::pin(Full::new(bytes).map_err(|never| match never {}))
}

/// A response that this edge generates.
pub(super) fn plain(status: StatusCode, bytes: Bytes) -> Response<Body> {
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    response
}

/// A JSON response that this edge generates.
pub(super) fn json(bytes: Bytes) -> Response<Body> {
    let mut response = plain(StatusCode::OK, bytes);
    let kind = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, kind);
    response
}

/// An error response for a request that may have run.
pub(super) fn unknown_outcome(status: StatusCode) -> Response<Body> {
    plain(status, Bytes::new())
}

/// A response with status 503 to a request that may be sent again after `pause`.
pub(super) fn unavailable(pause: Duration) -> Response<Body> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    let seconds = format!("{:.3}", pause.as_secs_f64());
    // Never fails: the text consists of digits and a point.
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// A replica's response for the caller. `Content-Length` is dropped because the framing of the body
/// may change.
pub(super) fn forwarded_response(
    status: StatusCode,
    headers: &HeaderMap,
    body: Body,
) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    copy_headers(headers, response.headers_mut());
    response.headers_mut().remove(hyper::header::CONTENT_LENGTH);
    response
}
