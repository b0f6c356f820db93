//! Errors as callers see them.

use brasspond_control::{Refusal, RefusalKind};
use brasspond_http::{Response, json_response};
use hyper::StatusCode;
use hyper::header::HeaderValue;
use serde_json::json;
use std::time::Duration;

/// Header that tells whether a refused request ran.
pub(crate) const RUN_HEADER: &str = "x-brasspond-run";

/// What is known of the fate of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    /// No back end can have begun it.
    NotRun,
    /// A back end may have begun it.
    Unknown,
}

impl Fate {
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

/// An error on its way to a caller.
#[derive(Debug)]
pub(crate) struct ApiError {
    pub(crate) status: StatusCode,
    pub(crate) code: &'static str,
    pub(crate) message: String,
    pub(crate) fate: Fate,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) findings: Vec<String>,
}

impl ApiError {
    /// An error of a request that was not run.
    pub(crate) fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            fate: Fate::NotRun,
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

    pub(crate) fn with_fate(mut self, fate: Fate) -> Self {
        self.fate = fate;
        self
    }

    /// JSON of the error.
    pub(crate) fn body(&self) -> serde_json::Value {
        let mut error = json!({
            "code": self.code,
            "message": self.message,
            "run": self.fate.as_str(),
        });
        if !self.findings.is_empty() {
            error["findings"] = json!(self.findings);
        }
        if let Some(after) = self.retry_after {
            error["retry_after_milliseconds"] = json!(after.as_millis() as u64);
        }
        json!({ "error": error })
    }

    /// The error as a response.
    pub(crate) fn response(&self) -> Response {
        let mut response = json_response(self.status, &self.body());
        let headers = response.headers_mut();
        headers.insert(RUN_HEADER, HeaderValue::from_static(self.fate.as_str()));
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
                "this node starts or drains",
            ),
            RefusalKind::NoEngine => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no_engine",
                "no engine serves the model",
            ),
            RefusalKind::Overloaded => (
                StatusCode::TOO_MANY_REQUESTS,
                "overloaded",
                "the queues are full",
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
        error.fate = Fate::of(refusal.not_run);
        error.retry_after = Some(refusal.retry_after);
        error
    }
}
