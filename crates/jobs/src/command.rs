//! Commands of the replicated log and their encoding.

use brasspond_compression::{pack, unpack};
use brasspond_metering::UsageCommand;
use brasspond_quarantine::{CaseChange, Fingerprint, RequestContent};
use bytes::Bytes;
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// An HTTP call that asks a scoring service to rate the complete text of an item. It is routed by
/// host and path, and it may be sent more than once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScoringCall {
    /// Id that the caller chose.
    pub id: String,
    /// Requested host.
    pub host: String,
    /// Requested path.
    pub path: String,
    /// Body sent to the scoring service.
    pub body: Bytes,
}

impl ScoringCall {
    /// Computes the fingerprint of the call. The call has no tenant, because the cluster itself
    /// makes it.
    pub fn content(&self) -> Fingerprint {
        Fingerprint::of(&RequestContent {
            method: "POST",
            host: &self.host,
            path: &self.path,
            tenant: None,
            body: &self.body,
        })
    }
}

/// One request of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Id that the caller chose. A later job may contain an item with the same id.
    pub id: String,
    /// Path requested from the replica.
    pub path: String,
    /// Headers sent to the replica.
    pub headers: Vec<(String, String)>,
    /// Body sent to the replica.
    pub body: Bytes,
    /// Maximum number of prompt and output tokens together.
    pub tokens: u64,
    /// Output tokens that the caller expects; 0 if unknown.
    pub expected_tokens: u64,
    /// Name of the item's group. Items of a group share a prompt, and a group is complete once all
    /// its items are listed.
    pub group: String,
    /// Name of the requested model; empty if the service has no models.
    pub model: String,
    /// Call that scores the item's text; `None` if the text needs no score.
    pub scoring: Option<ScoringCall>,
}

impl Item {
    /// Computes the fingerprint of the item's request, for a job of the given host and tenant.
    pub fn content(&self, host: &str, tenant: Option<&str>) -> Fingerprint {
        Fingerprint::of(&RequestContent {
            method: "POST",
            host,
            path: &self.path,
            tenant,
            body: &self.body,
        })
    }
}

/// A job as submitted by a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Id that the caller chose.
    pub id: String,
    /// Host of the call that submitted the job.
    pub host: String,
    /// Path of the call that submitted the job.
    pub path: String,
    /// Name of the model being trained; empty if no trainer uses the job.
    pub model: String,
    /// Number of the training step that the job is for.
    pub step: u64,
    /// Oldest version of the weights that may produce a token.
    pub min_version: u64,
    /// Number of complete groups that the trainer waits for; 0 if no trainer uses the job.
    pub desired: u64,
    /// Requests of the job, in submission order.
    pub items: Vec<Item>,
    /// Tenant that submitted the job; `None` if callers need no API key.
    #[serde(default)]
    pub tenant: Option<Arc<str>>,
}

/// How an item ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The output of the item is complete.
    Completed {
        /// Data of all events in order, separated by line feeds.
        text: Bytes,
        /// Versions of the weights that produced the events, ascending.
        versions: Vec<u64>,
        /// Signature in the response of the scoring call; `None` if the item has no scoring call.
        score: Option<String>,
    },
    /// The item was abandoned.
    Terminated,
}

impl Outcome {
    /// Size of the text in bytes.
    pub fn text_length(&self) -> usize {
        match self {
            Self::Completed { text, .. } => text.len(),
            Self::Terminated => 0,
        }
    }
}

/// The part of a text that one event of the response stream contains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Data of the event.
    pub data: Bytes,
    /// Version of the weights that produced the event.
    pub version: u64,
}

/// Consecutive parts of an item's text, logged during generation so that a crash of all processes
/// loses little of a long text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Id of the job.
    pub job: String,
    /// Index of the item in its job.
    pub item: u32,
    /// Number of logged parts that precede `parts`. Logged parts beyond this number are replaced;
    /// if fewer are logged, the piece is ignored.
    pub after: u64,
    /// Parts to append.
    pub parts: Vec<Part>,
}

/// The last part of an item's text, which completes the text together with the logged parts. If the
/// text needs a score, the draft is logged before the text is scored, so that the text is not
/// generated again after a crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draft {
    /// Id of the job.
    pub job: String,
    /// Index of the item in its job.
    pub item: u32,
    /// Number of logged parts that precede `text`. Logged parts beyond this number are discarded;
    /// if fewer are logged, the draft is ignored.
    pub after: u64,
    /// Data of the remaining events in order, separated by line feeds.
    pub text: Bytes,
    /// Versions of the weights that produced these events, ascending.
    pub versions: Vec<u64>,
}

/// The score of an item's draft.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Score {
    /// Id of the job.
    pub job: String,
    /// Index of the item in its job.
    pub item: u32,
    /// Signature in the response of the scoring service.
    pub score: String,
}

/// A result to append at the next position of its job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Id of the job.
    pub job: String,
    /// Index of the item in its job.
    pub item: u32,
    /// How the item ended.
    pub outcome: Outcome,
}

/// A command of the replicated log. An item is *listed* once its outcome is stored as a result of
/// its job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Adds a job. If a job with the same id exists, it is left unchanged.
    Accept(Submission),
    /// Appends results to their jobs. Items that are already listed are skipped.
    List(Vec<Listing>),
    /// Stores parts of texts during generation.
    Extend(Vec<Piece>),
    /// Completes texts and stores them until their scores arrive. Later drafts of the same item are
    /// ignored.
    Draft(Vec<Draft>),
    /// Completes texts that need no score and appends them as results.
    Finish(Vec<Draft>),
    /// Appends results with the stored texts and these scores. Items without a stored text are
    /// skipped.
    Score(Vec<Score>),
    /// Ends a job.
    End {
        /// Id of the job.
        job: String,
    },
    /// Removes jobs whose results have expired.
    Forget {
        /// Ids of the jobs.
        jobs: Vec<String>,
    },
    /// Announces that a storage process, the holder, is about to send an order: an instruction to a
    /// replica or to the platform. For the length of a lease after the announcement, no other
    /// holder may send an order about the same subject. The table does not change.
    Intend {
        /// What the order is about: the id of a replica, or a name that no replica has.
        subject: String,
        /// Name of the machine that runs the holder.
        holder: String,
    },
    /// Stores a copy of the fleet view (configuration, replicas, versions) for processes that start
    /// while the source of the view is unreachable. This crate does not decode the copy.
    Remember {
        /// Revision of the view. The view is ignored unless its revision is higher than that of the
        /// stored copy.
        revision: u64,
        /// The encoded view.
        view: Bytes,
    },
    /// Changes the usage counts of tenants.
    Usage(UsageCommand),
    /// Changes the quarantine cases.
    Quarantine(Vec<CaseChange>),
}

/// Maximum size of an uncompressed command. It bounds the memory that a corrupt log entry can
/// allocate. It is eight times the default maximum size of a caller's request body.
const MAX_COMMAND_BYTES: usize = 256 * 1024 * 1024;

/// A command or table cannot be read or written: {0}
#[derive(Debug, Display)]
pub struct CommandError(pub String);

impl std::error::Error for CommandError {}

impl Command {
    /// Encodes and compresses the command. Compression saves traffic, because each log entry is
    /// sent to every member.
    ///
    /// # Errors
    /// The command cannot be encoded.
    pub fn encode(&self) -> Result<Bytes, CommandError> {
        let bytes = rmp_serde::to_vec(self).map_err(|error| CommandError(error.to_string()))?;
        Ok(pack(&bytes))
    }

    /// Decompresses and decodes the command of a log entry.
    ///
    /// # Errors
    /// The bytes are not a compressed command, or the command exceeds the maximum size.
    pub fn decode(bytes: &Bytes) -> Result<Self, CommandError> {
        let bytes = unpack(bytes.clone(), MAX_COMMAND_BYTES);
        let bytes = bytes.map_err(|error| CommandError(error.to_string()))?;
        rmp_serde::from_slice(&bytes).map_err(|error| CommandError(error.to_string()))
    }
}
