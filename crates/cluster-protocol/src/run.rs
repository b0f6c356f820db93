//! Runs of items on replicas, scoring calls, and the reports of edges on them.

use brasspond_fleet::Life;
use brasspond_fleet::Regions;
use brasspond_jobs::ScoringCall;
use brasspond_quarantine::{Fingerprint, RequestContent};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Id of a run of an item on one replica, or of a scoring call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Term of the leader that ordered it.
    pub term: u64,
    /// Number of the run or call within that term.
    pub number: u64,
}

impl std::fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}.{}", self.term, self.number)
    }
}

/// An event of the stream with which a replica answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamEvent {
    /// Id of the event; the ids of a stream are consecutive, starting at 1.
    pub id: u64,
    /// Data of the event, as the replica sent it.
    pub data: Bytes,
    /// Version of the weights that generated it.
    pub version: u64,
}

/// Arrival rate of the events of a run at its edge, by the edge's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    /// Number of events in the time span, not counting the event at which the span begins.
    pub events: u32,
    /// Length of the time span, from its first event to its last, in ms.
    pub span_ms: u32,
}

impl Pace {
    /// Minimum value of `events`. With only one event after the first, the time span could be the
    /// time in which the replica processed the prompt.
    pub const MIN_EVENTS: u32 = 2;

    /// Mean time between consecutive events, in ms.
    pub fn ms_per_event(self) -> f64 {
        f64::from(self.span_ms) / f64::from(self.events.max(1))
    }
}

/// An order to run an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunSpec {
    /// Id of the run.
    pub attempt: AttemptId,
    /// Id of the job.
    pub job: String,
    /// Index of the item in its job, from 0.
    pub item: u32,
    /// Id of the item within its job.
    pub item_id: String,
    /// Host of the request.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Headers of the request, by name and value.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    pub body: Bytes,
    /// Id of the replica.
    pub replica: String,
    /// Address on which the replica listens.
    pub address: SocketAddr,
    /// Oldest version of the weights that may generate an event.
    pub min_version: u64,
    /// Whether one version must generate all events.
    pub single_version: bool,
    /// Events of earlier runs of the item; this run resumes after the last of them.
    pub events: Vec<StreamEvent>,
    /// Scoring call that the edge makes once the text is complete; `None` if no score is requested.
    pub scoring: Option<ScoringCall>,
    /// Tenant that owns the item, if any.
    pub tenant: Option<Arc<str>>,
    /// Deadline for sending the request to a replica that warms up, in ms of the edge's monotonic
    /// clock; `None` if the replica does not warm up as far as the leader knows.
    pub send_by: Option<u64>,
    /// Life of the replica known to the leader. The request must not go to the replica
    /// in another life.
    #[serde(default)]
    pub life: Life,
}

impl RunSpec {
    /// Fingerprint of the content of the item.
    pub fn content(&self) -> Fingerprint {
        Fingerprint::of(&RequestContent {
            method: "POST",
            host: &self.host,
            path: &self.path,
            tenant: self.tenant.as_deref(),
            body: &self.body,
        })
    }
}

/// An order to make the scoring call for a text that is in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScoringSpec {
    /// Id of the scoring call, numbered like a run.
    pub attempt: AttemptId,
    /// Id of the job, for log lines.
    pub job: String,
    /// Id of the item, for log lines.
    pub item_id: String,
    /// The call.
    pub call: ScoringCall,
    /// Regions where the data of the job may be sent; the route of the call may restrict them
    /// further.
    pub regions: Regions,
    /// Number of earlier scoring calls for this text that timed out.
    #[serde(default)]
    pub ran_out: u32,
}

/// Outcome of scoring a text, after all attempts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ScoringEnd {
    /// A replica answered. Contains the score, which is the signature of its complete answer.
    Scored(String),
    /// As many attempts as the route allows failed with status 500.
    Failed,
    /// There was no score before the deadline, or the scoring was cancelled, the edge stopped, or
    /// the content is quarantined.
    Unanswered,
}

impl ScoringEnd {
    /// Name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Scored(_) => "scored",
            Self::Failed => "failed",
            Self::Unanswered => "unanswered",
        }
    }
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The stream is complete.
    Whole,
    /// The replica did not run the item.
    NotRun {
        /// The address now belongs to another replica, or the replica has restarted since.
        other_replica: bool,
    },
    /// The replica ran the item and failed (status 500).
    Failed,
    /// No replica can run the item: the replica answered with status 422, or the request of the
    /// item is not valid HTTP.
    Impossible,
    /// The replica's weights are older than the item allows.
    TooOld,
    /// The replica cannot be reached.
    Unreachable,
    /// The response is late, incomplete or invalid.
    Broken,
    /// The events have different versions although one version is required for all.
    Mixed,
    /// The request was not sent: the replica warms up, and the permit was missing or had expired.
    Unsent,
    /// The leader cancelled the run, the edge stops, or the run did not begin because the work
    /// lease of the edge had expired.
    Cancelled,
}

impl RunEnd {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::NotRun { .. } => "not_run",
            Self::Failed => "failed",
            Self::Impossible => "impossible",
            Self::TooOld => "too_old",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::Mixed => "mixed",
            Self::Unsent => "unsent",
            Self::Cancelled => "cancelled",
        }
    }
}

/// Progress of a run since the last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunProgress {
    /// The run.
    pub attempt: AttemptId,
    /// New events.
    pub events: Vec<StreamEvent>,
    /// Arrival rate of the events; `None` if it has fewer than [`Pace::MIN_EVENTS`] events.
    pub pace: Option<Pace>,
}

/// A run in the registration of an edge.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// Id of the run.
    pub attempt: AttemptId,
    /// Id of the job.
    pub job: String,
    /// Index of the item in its job, from 0.
    pub item: u32,
    /// Id of the replica.
    pub replica: String,
    /// All events so far, including those of earlier runs.
    pub events: Vec<StreamEvent>,
    /// Outcome of the run; `None` while it is in progress.
    pub end: Option<RunEnd>,
    /// Outcome of scoring its complete text; `None` if unfinished or not requested.
    pub scoring: Option<ScoringEnd>,
}
