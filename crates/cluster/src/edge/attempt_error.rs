//! Errors of an attempt to send a request to a replica, and their consequences.

use super::body_reader::BodyError;
use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::HeaderMap;

/// Why it is unknown whether a replica ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UncertainCause {
    /// The connection broke before the response was complete.
    Broken,
    /// The attempt timed out.
    TimedOut,
    /// The response is not one of the protocol, belongs to another request, is too large, or is a
    /// success that is unsigned or compressed.
    InvalidResponse,
    /// Other responses take the memory for this one.
    NoMemory,
}

/// Status, headers and body of a response.
pub(super) type FullResponse = (StatusCode, HeaderMap, Bytes);

/// Error of an attempt.
#[derive(Clone, Debug)]
pub(super) enum AttemptError {
    /// The request was not sent.
    NotSent,
    /// The permit or the work lease expired before the request could be sent.
    Expired,
    /// The replica refused to run the request.
    NotRun { is_full: bool },
    /// The request may have run.
    MayHaveRun(UncertainCause),
    /// The replica responded with a server error, which is forwarded if no retry succeeds.
    ErrorResponse(Box<FullResponse>),
}

impl UncertainCause {
    /// Cause of a response whose body was not read.
    pub fn of(error: BodyError) -> Self {
        match error {
            BodyError::TooLarge => Self::InvalidResponse,
            BodyError::NoRoom => Self::NoMemory,
            BodyError::Stalled | BodyError::Broken => Self::Broken,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::TimedOut => "silent",
            Self::InvalidResponse => "foreign",
            Self::NoMemory => "no_memory",
        }
    }
}

impl AttemptError {
    /// For logs, why it is unknown whether the request ran; empty if that is known.
    pub fn cause(&self) -> &'static str {
        match self {
            Self::MayHaveRun(cause) => cause.name(),
            Self::NotSent | Self::Expired | Self::NotRun { .. } | Self::ErrorResponse(_) => "",
        }
    }

    /// Whether the attempt timed out after the request was sent.
    pub fn is_timeout(&self) -> bool {
        matches!(self, Self::MayHaveRun(UncertainCause::TimedOut))
    }

    /// Whether the replica rejected the request because all its slots are in use.
    pub fn is_full(&self) -> bool {
        matches!(self, Self::NotRun { is_full: true })
    }

    /// Whether the request may have reached the replica and counts as an attempt of the route.
    pub fn reached_replica(&self) -> bool {
        !matches!(self, Self::NotSent | Self::Expired)
    }

    /// Whether the replica may have run the request.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::MayHaveRun(_) | Self::ErrorResponse(_))
    }

    /// Whether the attempt counts as a fault of the replica, which is then paused. A full replica
    /// or one that responds with an error counts as healthy.
    pub fn is_fault(&self) -> bool {
        match self {
            Self::NotSent | Self::MayHaveRun(_) => true,
            Self::NotRun { is_full } => !is_full,
            Self::Expired | Self::ErrorResponse(_) => false,
        }
    }

    /// Name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Expired => "late",
            Self::NotRun { is_full: true } => "full",
            Self::NotRun { is_full: false } => "not_run",
            Self::MayHaveRun(_) => "may_have_run",
            Self::ErrorResponse(_) => "failed",
        }
    }
}
