//! Error responses of the HTTP interfaces.

use brasspond_control::{Refusal, RefusalKind};
use brasspond_http::{Response, json_response};
use hyper::StatusCode;
use hyper::header::HeaderValue;
use serde_json::json;
use std::time::Duration;

/// Header that tells whether a failed request may have run.
pub(crate) const RUN_HEADER: &str = "x-brasspond-run";

/// Whether a failed request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Execution {
    /// No back end has started the request.
    NotRun,
    /// A back end may have started the request.
    Unknown,
}

impl Execution {
    pub(crate) fn of(not_run: bool) -> Self {
        if not_run { Self::NotRun } else { Self::Unknown }
    }

    fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// An error response with its code, message and retry delay.
#[derive(Debug)]
pub(crate) struct ApiError {
    pub(crate) status: StatusCode,
    pub(crate) code: &'static str,
    pub(crate) message: String,
    pub(crate) execution: Execution,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) findings: Vec<String>,
}

impl ApiError {
    /// Creates an error of a request that did not run.
    pub(crate) fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            execution: Execution::NotRun,
            retry_after: None,
            findings: Vec::new(),
        }
    }

    pub(crate) fn bad_request(message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "bad_request", message)
    }

    pub(crate) fn not_found(message: impl Into<String>) -> Self {
        Self::new(StatusCode::NOT_FOUND, "not_found", message)
    }

    pub(crate) fn forbidden(message: impl Into<String>) -> Self {
        Self::new(StatusCode::FORBIDDEN, "forbidden", message)
    }

    pub(crate) fn unavailable(message: impl Into<String>) -> Self {
        let mut error = Self::new(StatusCode::SERVICE_UNAVAILABLE, "unavailable", message);
        error.retry_after = Some(Duration::from_secs(1));
        error
    }

    pub(crate) fn with_execution(mut self, execution: Execution) -> Self {
        self.execution = execution;
        self
    }

    /// The JSON body of the error.
    pub(crate) fn body(&self) -> serde_json::Value {
        let mut error = json!({
            "code": self.code,
            "message": self.message,
            "run": self.execution.as_str(),
        });
        if !self.findings.is_empty() {
            error["findings"] = json!(self.findings);
        }
        if let Some(after) = self.retry_after {
            error["retry_after_milliseconds"] = json!(after.as_millis() as u64);
        }
        json!({ "error": error })
    }

    /// The HTTP response with the body, the run header and `Retry-After`.
    pub(crate) fn response(&self) -> Response {
        let mut response = json_response(self.status, &self.body());
        let headers = response.headers_mut();
        headers.insert(
            RUN_HEADER,
            HeaderValue::from_static(self.execution.as_str()),
        );
        if let Some(after) = self.retry_after {
            let seconds = after.as_secs_f64().ceil().max(1.0) as u64;
            headers.insert(hyper::header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

impl From<Refusal> for ApiError {
    fn from(refusal: Refusal) -> Self {
        let (status, code, message) = match refusal.kind {
            RefusalKind::NotReady => (
                StatusCode::SERVICE_UNAVAILABLE,
                "not_ready",
                "this node is starting or draining",
            ),
            RefusalKind::NoEngine => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no_engine",
                "no engine is configured",
            ),
            RefusalKind::Overloaded => (
                StatusCode::TOO_MANY_REQUESTS,
                "overloaded",
                "the queues of the tried engines are full",
            ),
            RefusalKind::DeadlinePassed => (
                StatusCode::GATEWAY_TIMEOUT,
                "deadline",
                "the deadline passed",
            ),
            RefusalKind::Failed => (
                StatusCode::BAD_GATEWAY,
                "engine_failed",
                "engines failed and no retry is left",
            ),
        };
        let mut error = Self::new(status, code, message);
        error.execution = Execution::of(refusal.not_run);
        error.retry_after = Some(refusal.retry_after);
        error
    }
}
