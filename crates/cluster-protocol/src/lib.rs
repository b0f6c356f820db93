//! Messages between the processes of a cluster.
//!
//! A frame consists of a length (4 bytes, big endian) and a [`Message`] in MessagePack, which may
//! be compressed. The side that opens a connection sends [`Message::Hello`] first, and a storage
//! process answers with its own.
//!
//! On the wire, struct fields are identified by position and enum variants by name. The hello of an
//! edge is the exception: its fields are identified by name, so that a process of another build
//! reads those that it knows. A message that an older build cannot decode is sent only to a process
//! that has announced the feature ([`Peer::Edge`]). All versions are versions of model weights. Times are in ms; the comment of each field names its clock.
#![forbid(unsafe_code)]

mod frame;
mod kind;
mod run;
mod submission;

pub use frame::{FrameBuffer, FrameError, encode, encode_parts};
pub use kind::MessageKind;
pub use run::{
    AttemptId, Pace, RunEnd, RunProgress, RunReport, RunSpec, ScoringEnd, ScoringSpec, StreamEvent,
};
pub use submission::{EncodeError, EncodedSubmission, ItemList, SubmissionWriter};

use brasspond_consensus::{Member, MemberId};
use brasspond_fleet::{CatchUp, FleetView, Regions, ViewDelta};
use brasspond_jobs::{BodyError, Page, Submission};
use brasspond_metering::{UsageReport, WindowNumber};
use brasspond_quarantine::{CasesUpdate, EndReport, Fingerprint};
use brasspond_replica_load::{ReplicaLoad, ReplicaObservation};
use brasspond_units::{Millis, WallMillis};
use brasspond_warmup::Permit;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Interval between heartbeats of an edge to its leader ([`Message::Beat`]), in ms. A leader
/// declares an edge failed after more than three intervals without a message.
pub const EDGE_HEARTBEAT_INTERVAL: Millis = 500;
/// Interval between reports of an edge on its runs ([`Message::Progress`]), in ms. It is shorter
/// than the heartbeat interval, so that a stalled run is detected before its edge misses
/// heartbeats.
pub const EDGE_REPORT_INTERVAL: Millis = 250;

/// Feature of an edge that reads [`Message::ReplicaLoads`].
pub const FEATURE_REPLICA_LOADS: u32 = 1;
/// Feature of an edge that reads [`Message::ViewCatchUp`].
pub const FEATURE_VIEW_CATCH_UP: u32 = 2;
/// Feature of an edge that reads [`Answer::NoMemory`].
pub const FEATURE_NO_MEMORY: u32 = 4;

/// Identity of a process, as it announces itself in [`Message::Hello`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Peer {
    /// Serves callers and runs items.
    Edge {
        /// Name of its machine.
        machine: String,
        /// Zone of its machine.
        zone: String,
        /// Random number that identifies this start of the process.
        incarnation: u64,
        /// Region of that zone; `None` if unknown.
        region: Option<Arc<str>>,
        /// Optional messages that the process can read, as a sum of the `FEATURE_` constants. Zero
        /// if its build does not announce them.
        #[serde(default)]
        features: u32,
    },
    /// Stores the log, or may be added as a member that stores it.
    Storage(Member),
}

/// A request between processes, answered on the same connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Question {
    /// Submits a job. The answer follows once a quorum has stored it. Submission is idempotent.
    Submit(Submission),
    /// Reads results of a job from a position on, as a long poll that waits for results.
    Results {
        /// Id of the job.
        job: String,
        /// First position, from 0.
        since: u64,
        /// Maximum time to wait for results, in ms.
        wait_ms: u64,
        /// Tenant that asks, if any. Jobs of other tenants are unknown to it.
        tenant: Option<Arc<str>>,
    },
    /// Reads the body of an item.
    Body {
        /// Id of the job.
        job: String,
        /// Id of the item within its job.
        item: String,
        /// Tenant that asks, if any. Jobs of other tenants are unknown to it.
        tenant: Option<Arc<str>>,
    },
    /// Ends a job, so that no further item of it is started.
    End {
        /// Id of the job.
        job: String,
        /// Tenant that asks, if any. Jobs of other tenants are unknown to it.
        tenant: Option<Arc<str>>,
    },
    /// Asks for the members of the log, as far as the asked process knows them; every storage
    /// process and every edge answers.
    Members,
    /// Asks for a permit to send one request to a replica that warms up.
    Permit {
        /// Name of the service.
        service: String,
        /// Regions where the request may be served.
        regions: Regions,
        /// Ids of replicas that already received the request.
        tried: Vec<String>,
        /// When the question was asked, in ms of the asker's monotonic clock.
        asked_at: u64,
    },
}

impl Question {
    /// Name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Submit(_) => "submit",
            Self::Results { .. } => "results",
            Self::Body { .. } => "body",
            Self::End { .. } => "end",
            Self::Members => "members",
            Self::Permit { .. } => "permit",
        }
    }
}

/// An answer to a [`Question`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The requested change is made and stored by a quorum.
    Done,
    /// Results, stored by a quorum; `None` if the job is unknown. [`Question::End`] for an unknown
    /// job has the same answer.
    Page(Option<Page>),
    /// Body of an item.
    Body(Result<Bytes, BodyError>),
    /// Nothing was done: the job id belongs to a job of another tenant.
    Taken,
    /// Nothing was done: members of the log are outside the regions of the job.
    OutsideRegions,
    /// Known members of the log.
    Members(Vec<Member>),
    /// A permit for one request; `None` if no eligible replica can take another request now.
    Permit(Option<Permit>),
    /// Nothing was done: this process is not a confirmed leader. Contains the leader, if known.
    NotLeader(Option<MemberId>),
    /// The outcome is unknown: the change may have been made, or may still be made.
    Unknown,
    /// Nothing was done: all suitable replicas are in evacuated zones.
    Evacuated,
    /// Nothing was done: the job does not fit into the memory of this process.
    NoMemory,
}

/// Parts of the view that an edge must watch at the source itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Watch {
    /// No part, since the leader sends its view.
    #[default]
    Nothing,
    /// Configuration and replicas.
    Fleet,
    /// All parts that the leader acts on, because the leader's own calls to the source fail.
    Everything,
}

/// State of an edge at the leader: the registration of its runs, and its work lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Number of the newest registration ([`Message::Runs`]) that the leader accepted. The leader
    /// knows only the runs in that registration and those that it has ordered since.
    pub number: u64,
    /// End of the work lease, in ms of the edge's monotonic clock; the edge may begin runs and
    /// scoring calls until then. `None` if the sender is not a confirmed leader or does not know
    /// that clock.
    pub until: Option<u64>,
}

/// A message between two processes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// Identity of the sender.
    Hello(Peer),
    /// A consensus message between members of the log.
    Consensus {
        /// Id of the sender.
        from: MemberId,
        /// Id of the receiver. A machine that lost its disk has a new id and ignores the message.
        to: MemberId,
        /// The message.
        message: brasspond_consensus::Message,
    },
    /// A question, which [`Message::Reply`] answers.
    Ask {
        /// Number of the question, assigned by the asker.
        number: u64,
        /// The question.
        question: Question,
    },
    /// The answer to a question.
    Reply {
        /// Number of the question.
        number: u64,
        /// The answer.
        answer: Answer,
    },
    /// The sender is the leader. It sends this to all edges immediately and then every 500 ms, and
    /// to storage processes once per term and when the members change.
    Leading {
        /// Term in which it leads.
        term: u64,
        /// Voters of the log.
        members: Vec<Member>,
        /// Other storage processes that receive the log and may answer reads.
        standbys: Vec<Member>,
        /// Parts of the view that the receiver must watch at the source itself.
        watch: Watch,
        /// Wall-clock time of the cluster; `None` if the sender does not know it yet.
        time: Option<WallMillis>,
        /// The sender is busy, so frames to it must not be compressed.
        is_busy: bool,
        /// Number of the newest closed usage window, if any.
        closed_window: Option<WindowNumber>,
    },
    /// The newest view of the sender. An edge sends it if its leader lacks parts of it.
    View(FleetView),
    /// Changes to the leader's view since it was last sent.
    ViewChanged(ViewDelta),
    /// Changes that lead from the view of an earlier leader to the leader's view. Sent in place of
    /// the full view to edges that announced [`FEATURE_VIEW_CATCH_UP`].
    ViewCatchUp(CatchUp),
    /// Edge to leader: the edge needs the full view, because a delta does not apply to its own
    /// view.
    NeedView,
    /// Leader to edge: state of the edge at the leader; `None` if there is none and the edge must
    /// register its runs. Follows each [`Message::Leading`] and each registration.
    Registered(Option<Registration>),
    /// Leader to edge: run an item.
    Run {
        /// Registration that the order is based on. The edge ignores the order if it has registered
        /// again since.
        registration: u64,
        /// What to run.
        spec: Box<RunSpec>,
    },
    /// Leader to edge: score a text that is in the log.
    Score {
        /// Registration that the order is based on. The edge ignores the order if it has registered
        /// again since.
        registration: u64,
        /// What to score.
        spec: Box<ScoringSpec>,
    },
    /// Leader to edge: end a run.
    Cancel {
        /// Term of the leader.
        term: u64,
        /// The run.
        attempt: AttemptId,
    },
    /// Leader to edge: the outcome of this run or scoring call is in the log or no longer needed,
    /// so the edge discards it.
    Recorded {
        /// The run or scoring call.
        attempt: AttemptId,
    },
    /// Edge to leader: a registration of all runs of the edge, sent if the leader has no
    /// registration of the edge.
    Runs {
        /// Term of the leader to which the registration is addressed.
        term: u64,
        /// Number of this registration, which increases within a process.
        registration: u64,
        /// Time by the sender's monotonic clock, in ms since its start.
        uptime: u64,
        /// Runs that are in progress, or ended and not yet recorded by a leader.
        runs: Vec<RunReport>,
        /// The edge is draining and accepts no new runs.
        draining: bool,
    },
    /// Edge to leader: events of its runs since the last report.
    Progress(Vec<RunProgress>),
    /// Edge to leader: a run ended. Includes the events that were not reported yet.
    Ended {
        /// The run.
        attempt: AttemptId,
        /// Events since the last report on this run.
        events: Vec<StreamEvent>,
        /// Outcome of the run.
        end: RunEnd,
    },
    /// Edge to leader: the scoring of a text ended.
    Scored {
        /// The run that generated the text, or the scoring call that was ordered.
        attempt: AttemptId,
        /// Outcome of the scoring.
        end: ScoringEnd,
    },
    /// Edge to leader: the edge is draining and accepts no new runs.
    Draining,
    /// Edge to leader: usage of tenants at the edge.
    Usage(UsageReport),
    /// Edge to leader: replicas ended while they ran requests.
    ReplicasEnded(Vec<EndReport>),
    /// Edge to leader: a replica answered a request with this content. Other replicas had ended
    /// while they ran requests with the same content.
    ContentAnswered(Fingerprint),
    /// Leader to edge: request contents during which replicas ended, each with its case. Some of
    /// the contents are quarantined.
    Quarantine(CasesUpdate),
    /// Heartbeat: every 500 ms from an edge to the leader, and every second from the leader to a
    /// storage process that does not receive the log, to show that the group has a leader.
    Beat {
        /// Time of the sender's wall clock, in ms since the Unix epoch.
        wall: WallMillis,
        /// Time by the sender's monotonic clock, in ms since its start.
        uptime: u64,
    },
    /// Leader to edge: all replicas that deviate from their service. Sent only to edges that
    /// announced [`FEATURE_REPLICA_LOADS`]: after each first [`Message::Leading`] on a link, and
    /// when the list changes or must be refreshed.
    ReplicaLoads(Vec<ReplicaLoad>),
    /// Edge to leader: what the edge observed at replicas since its last report. Sent only on links
    /// on which [`Message::ReplicaLoads`] was received.
    ReplicaObservations(Vec<ReplicaObservation>),
}
