//! Runs of items on replicas.

use brasspond_fleet::Life;
use brasspond_fleet::Regions;
use brasspond_jobs::ScoringCall;
use brasspond_quarantine::{Content, Fingerprint};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// A run of an item on one replica: the leader's term and a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Term of the leader that began it.
    pub term: u64,
    /// Number within the term.
    pub number: u64,
}

impl std::fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}.{}", self.term, self.number)
    }
}

/// An event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamEvent {
    /// Its identity; they rise within a stream.
    pub id: u64,
    /// Its data.
    pub data: Bytes,
    /// Version of the weights that made it.
    pub version: u64,
}

/// How fast a run's events came to its edge, by the edge's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    /// Events that came, counted from the one that began the span.
    pub events: u32,
    /// Time they took, in ms.
    pub span_ms: u32,
}

impl Pace {
    /// Events that tell a pace: a single gap may be one that reading a prompt made.
    pub const LEAST_EVENTS: u32 = 2;

    /// Time of an event, in ms.
    pub fn event_ms(self) -> f64 {
        f64::from(self.span_ms) / f64::from(self.events.max(1))
    }
}

/// What an edge needs to run an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunSpec {
    /// The run.
    pub attempt: AttemptId,
    /// Its job.
    pub job: String,
    /// Index of the item in its job.
    pub item: u32,
    /// Identity of the item.
    pub item_id: String,
    /// Host asked for.
    pub host: String,
    /// Path asked for.
    pub path: String,
    /// Headers of the item.
    pub headers: Vec<(String, String)>,
    /// Body of the item.
    pub body: Bytes,
    /// Id of the replica.
    pub replica: String,
    /// Where the replica listens.
    pub address: SocketAddr,
    /// Oldest version that may make an event.
    pub min_version: u64,
    /// Only one version may make the events.
    pub single_version: bool,
    /// Events that earlier runs made; the run goes on after them.
    pub events: Vec<StreamEvent>,
    /// The call that the edge makes once the text is whole.
    pub scoring: Option<ScoringCall>,
    /// Tenant that the item is run for.
    pub tenant: Option<Arc<str>>,
    /// The replica warms up: before which moment the run must leave, by the edge's clock in
    /// ms; none: it is warm as far as the leader knows.
    pub send_by: Option<u64>,
    /// The replica's life, as the leader knows it.
    #[serde(default)]
    pub life: Life,
}

impl RunSpec {
    /// What the item asks for.
    pub fn content(&self) -> Fingerprint {
        Fingerprint::of(&Content {
            method: "POST",
            host: &self.host,
            path: &self.path,
            tenant: self.tenant.as_deref(),
            body: &self.body,
        })
    }
}

/// What an edge needs to score a text that the log holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScoringSpec {
    /// Numbered like a run.
    pub attempt: AttemptId,
    /// Its job, for logs.
    pub job: String,
    /// Identity of the item, for logs.
    pub item_id: String,
    /// The call.
    pub call: ScoringCall,
    /// Where the job's data may be; the call's own route binds beside them.
    pub regions: Regions,
    /// Calls for this text before it that were given all their time and not answered.
    #[serde(default)]
    pub ran_out: u32,
}

/// How the scoring of a text ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ScoringEnd {
    /// The signature of a whole answer that succeeded.
    Scored(String),
    /// It failed (500) as often as its route allows.
    Failed,
    /// No replica answered in the time for it.
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

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The stream is whole.
    Whole,
    /// The replica said that it did not run the item.
    NotRun {
        /// It is no longer the replica it was taken for.
        other_replica: bool,
    },
    /// The replica ran it and failed (500).
    Failed,
    /// It can never be done (422).
    Impossible,
    /// The replica's weights are older than the item allows.
    TooOld,
    /// The replica cannot be reached.
    Unreachable,
    /// The stream broke off, or its bytes made no sense.
    Broken,
    /// Another version went on with it, where one must make the whole.
    Mixed,
    /// It was not sent: its replica warms up, and it had no leave, or its leave was over.
    Unsent,
    /// Stopped by the leader, by the edge's own stop, or not begun as its edge had no leave any
    /// more.
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

/// What a run made since the last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunProgress {
    /// The run.
    pub attempt: AttemptId,
    /// New events.
    pub events: Vec<StreamEvent>,
    /// How fast they came; none if too few did.
    pub pace: Option<Pace>,
}

/// A run as an edge tells a new leader of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// The run.
    pub attempt: AttemptId,
    /// Its job.
    pub job: String,
    /// Index of the item in its job.
    pub item: u32,
    /// The replica.
    pub replica: String,
    /// All events so far, those of earlier runs included.
    pub events: Vec<StreamEvent>,
    /// How it ended, if it has.
    pub end: Option<RunEnd>,
    /// How the scoring of its whole text ended, if it has.
    pub scoring: Option<ScoringEnd>,
}
