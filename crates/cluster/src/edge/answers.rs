//! Answers to callers: bodies and statuses.

use super::headers::copy_headers;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::pin::Pin;
use std::time::Duration;

/// Body of an answer.
pub(super) type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = std::io::Error>>>;

/// A body known in full.
pub(super) fn whole(bytes: Bytes) -> Body {
    Box::pin(Full::new(bytes).map_err(|never| match never {}))
}

/// An answer of this edge's own.
pub(super) fn plain(status: StatusCode, bytes: Bytes) -> Response<Body> {
    let mut response = Response::new(whole(bytes));
    *response.status_mut() = status;
    response
}

/// An answer of this edge's own in JSON.
pub(super) fn json(bytes: Bytes) -> Response<Body> {
    let mut response = plain(StatusCode::OK, bytes);
    let kind = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, kind);
    response
}

/// An answer that promises nothing: the request may have run.
pub(super) fn uncertain(status: StatusCode) -> Response<Body> {
    plain(status, Bytes::new())
}

/// The request was not run and will not be; it may be sent again after `pause`.
pub(super) fn unavailable(pause: Duration) -> Response<Body> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    let seconds = format!("{:.3}", pause.as_secs_f64());
    // Digits and a point are always a header's value.
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// A replica's answer with a body that may be sent to the caller another way.
pub(super) fn passed_on(status: StatusCode, headers: &HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    copy_headers(headers, response.headers_mut());
    response.headers_mut().remove(hyper::header::CONTENT_LENGTH);
    response
}
