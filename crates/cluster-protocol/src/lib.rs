//! What the processes of a cluster say to one another.
//!
//! Frames: a length of 4 bytes, big endian, then a [`Message`] in MessagePack.
//! A connection begins with [`Message::Hello`] from the side that opened it.
#![forbid(unsafe_code)]

mod frame;
mod kind;
mod run;

pub use frame::{FrameBuffer, FrameError, LONGEST_FRAME, encode};
pub use kind::Kind;
pub use run::{
    AttemptId, Pace, RunEnd, RunProgress, RunReport, RunSpec, ScoringEnd, ScoringSpec, StreamEvent,
};

use brasspond_consensus::{Member, MemberId};
use brasspond_fleet::{FleetView, Regions, ViewDelta};
use brasspond_jobs::{BodyError, Page, Submission};
use brasspond_metering::{UsageReport, WindowNumber};
use brasspond_quarantine::{CasesUpdate, EndReport, Fingerprint};
use brasspond_units::WallMillis;
use brasspond_warmup::Permit;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What a process is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Peer {
    /// Serves callers and runs items.
    Edge {
        /// Name of its machine.
        machine: String,
        /// Zone of its machine.
        zone: String,
        /// Drawn at each start.
        incarnation: u64,
        /// Region of that zone; none: unknown.
        region: Option<Arc<str>>,
    },
    /// Keeps the log, or is about to.
    Storage(Member),
}

/// A question that is answered on the same connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Question {
    /// Take a job.
    Submit(Submission),
    /// Results of a job from a position on, held until there is one.
    Results {
        /// The job.
        job: String,
        /// First position.
        since: u64,
        /// Longest time to hold the answer, in ms.
        wait_ms: u64,
        /// Tenant that asks.
        tenant: Option<Arc<str>>,
    },
    /// Body of an item.
    Body {
        /// The job.
        job: String,
        /// Identity of the item.
        item: String,
        /// Tenant that asks.
        tenant: Option<Arc<str>>,
    },
    /// End a job.
    End {
        /// The job.
        job: String,
        /// Tenant that asks.
        tenant: Option<Arc<str>>,
    },
    /// Where the members of the log are.
    Members,
    /// Leave to send one request to a replica that warms up, of a service.
    Permit {
        /// The service.
        service: String,
        /// Where the request may be served.
        regions: Regions,
        /// Replicas that were sent it before.
        tried: Vec<String>,
        /// When it is asked, by the asker's clock, in ms.
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
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Answer {
    /// Done, and kept by a quorum.
    Done,
    /// Results, kept by a quorum; none: no such job.
    Page(Option<Page>),
    /// Body of an item.
    Body(Result<Bytes, BodyError>),
    /// The job's identity is another tenant's: nothing was done.
    Taken,
    /// Nothing was done: members of the log stand outside the job's regions.
    OutsideRegions,
    /// Members of the log, as far as known.
    Members(Vec<Member>),
    /// Leave for one request; none: nothing is left at any replica that may take it.
    Permit(Option<Permit>),
    /// Nothing was done: this process does not lead; who may.
    NotLeader(Option<MemberId>),
    /// It may have been done or may yet be.
    Unknown,
    /// Nothing was done: all replicas that could serve it are in evacuated zones.
    Evacuated,
}

/// What an edge is to watch at the source of the view by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Watch {
    /// Nothing: the leader tells.
    #[default]
    Nothing,
    /// Configuration and replicas.
    Fleet,
    /// All that the leader acts on: its own calls to the source fail.
    Everything,
}

/// What a leader holds of an edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Number of the newest list of runs ([`Message::Runs`]) that the leader took. It knows the
    /// runs of that list and those that it ordered since, and no others.
    pub number: u64,
    /// Until when the edge may begin work, by its own steady clock in ms; none: the sender is
    /// not sure that it leads.
    pub until: Option<u64>,
}

/// A message between two processes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// Who opened the connection.
    Hello(Peer),
    /// Between members of the log.
    Consensus {
        /// Sender.
        from: MemberId,
        /// Receiver: another life of its disk must not take it.
        to: MemberId,
        /// Content.
        message: brasspond_consensus::Message,
    },
    /// A question, numbered by the asker.
    Ask {
        /// Number.
        number: u64,
        /// Question.
        question: Question,
    },
    /// The answer to the question of that number.
    Reply {
        /// Number.
        number: u64,
        /// Answer.
        answer: Answer,
    },
    /// The sender leads in this term; sent at once to all edges, and repeated. To
    /// storage processes once in a term, and when the members change.
    Leading {
        /// Term.
        term: u64,
        /// Members of the log.
        members: Vec<Member>,
        /// Others that are sent the log and may answer reads.
        standbys: Vec<Member>,
        /// What the receiver is to watch at the view's source by itself.
        watch: Watch,
        /// True time, as far as the sender knows it.
        time: Option<WallMillis>,
        /// The sender lacks processor time: it is to be sent plain frames.
        is_busy: bool,
        /// The newest usage window that is closed.
        closed_window: Option<WindowNumber>,
    },
    /// The sender's newest view of the fleet. From an edge: its leader lacks
    /// something of it.
    View(FleetView),
    /// What changed in the sender's view.
    ViewChanged(ViewDelta),
    /// The sender needs a whole view.
    NeedView,
    /// Leader to edge: what it holds of the receiver; none: nothing, it is to tell its runs.
    /// Follows each [`Message::Leading`], and is sent at once when runs were told.
    Registered(Option<Registration>),
    /// Leader to edge: run an item.
    Run {
        /// The registration of runs that the sender goes by; void after a newer one.
        registration: u64,
        /// What to run.
        spec: Box<RunSpec>,
    },
    /// Leader to edge: score a text that the log holds.
    Score {
        /// The registration of runs that the sender goes by; void after a newer one.
        registration: u64,
        /// What to score.
        spec: Box<ScoringSpec>,
    },
    /// Leader to edge: stop a run.
    Cancel {
        /// Term of the leader.
        term: u64,
        /// The run.
        attempt: AttemptId,
    },
    /// Leader to edge: the end of this run or scoring is kept, or no longer
    /// wanted: forget it.
    Recorded {
        /// The run.
        attempt: AttemptId,
    },
    /// Edge to a new leader, or to one that holds nothing of it: all runs it holds.
    Runs {
        /// Term of the leader it is meant for.
        term: u64,
        /// Number of this registration: each of a process has a higher one.
        registration: u64,
        /// What the sender's steady clock shows, in ms from its start.
        uptime: u64,
        /// Runs under way or ended and not recorded.
        runs: Vec<RunReport>,
        /// Takes no new ones: the edge is about to stop.
        draining: bool,
    },
    /// Edge to leader: what its runs made since the last report.
    Progress(Vec<RunProgress>),
    /// Edge to leader: a run ended; the events not told yet come with it.
    Ended {
        /// The run.
        attempt: AttemptId,
        /// Events since the last message about this run.
        events: Vec<StreamEvent>,
        /// How it ended.
        end: RunEnd,
    },
    /// Edge to leader: the scoring of a text ended.
    Scored {
        /// The run that made the text, or the order to score it.
        attempt: AttemptId,
        /// How it ended.
        end: ScoringEnd,
    },
    /// The sender takes no new work.
    Draining,
    /// What tenants used at the sending edge.
    Usage(UsageReport),
    /// Edge to leader: replicas ended while they ran requests.
    ReplicasEnded(Vec<EndReport>),
    /// Edge to leader: a replica answered a content under which others had ended.
    ContentAnswered(Fingerprint),
    /// Leader to edge: contents under which replicas ended.
    Quarantine(CasesUpdate),
    /// Shows that the sender lives. From the leader to a storage process: that it
    /// still leads.
    Beat {
        /// The sender's time of day.
        wall: WallMillis,
        /// What the sender's steady clock shows, in ms from its start.
        uptime: u64,
    },
}
