//! Entries of the log and messages between members, as they are sent and written to disk.

use brasspond_units::Millis;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Identity of a member, drawn at random when its disk is first used.
pub type MemberId = u64;

/// A member of the group, or one about to join.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity; a machine that lost its disk gets a new one.
    pub id: MemberId,
    /// Name of the machine, which stays the same when its disk is lost.
    pub machine: String,
    /// Address that other processes connect to.
    pub address: SocketAddr,
    /// Zone of the machine.
    pub zone: String,
    /// Region of that zone; `None` if unknown.
    #[serde(default)]
    pub region: Option<Arc<str>>,
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No operation; a new leader appends it to commit the entries of earlier terms.
    Nothing,
    /// An encoded command for the state machine.
    Command(Bytes),
    /// The voters, in effect as soon as the entry is appended.
    Members(Vec<Member>),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that created it.
    pub term: u64,
    /// Position in the log, counted from 1.
    pub index: u64,
    /// Content.
    pub payload: Payload,
}

impl Entry {
    /// Identity of the entry.
    pub fn id(&self) -> EntryId {
        EntryId {
            term: self.term,
            index: self.index,
        }
    }
}

/// Identity of an entry. The index alone does not identify one: a later leader may replace an entry
/// that is not committed by one of its own at the same index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryId {
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Position in the log, counted from 1.
    pub index: u64,
}

/// Election state of a member, synced before it answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Newest term that the member knows.
    pub term: u64,
    /// Candidate that it voted for in that term; `None` if it has not voted.
    pub voted_for: Option<MemberId>,
}

/// State machine with the entries up to `index` applied; replaces these entries of the log. `S` is
/// the state machine itself or its encoding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot<S = Bytes> {
    /// Index of the last entry that is included.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Voters as of that entry.
    pub members: Vec<Member>,
    /// The state machine.
    pub state: S,
}

/// A message between two members. Every message carries a term.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// Requests a vote, or a pre-vote with `probe`.
    Vote {
        /// Term of the election; for a pre-vote the term that the election would have.
        term: u64,
        /// Index of the candidate's last entry.
        last_index: u64,
        /// Term of the candidate's last entry.
        last_term: u64,
        /// Pre-vote: asks whether the vote would be granted. The answer does not bind the voter.
        probe: bool,
        /// The leader requested this election, so its followers do not ignore the message.
        transfer: bool,
    },
    /// Answer to [`Message::Vote`].
    VoteReply {
        /// Term of the voter; for a granted pre-vote the term of the request.
        term: u64,
        /// Whether the vote is granted.
        granted: bool,
        /// Whether it answers a pre-vote.
        probe: bool,
    },
    /// Entries after `previous_index`; a heartbeat if there are none.
    Append {
        /// Term of the leader.
        term: u64,
        /// Index of the entry before the first.
        previous_index: u64,
        /// Term of the entry at `previous_index`.
        previous_term: u64,
        /// Entries, ordered by index.
        entries: Vec<Entry>,
        /// Last committed index.
        commit: u64,
        /// Index up to which a follower must apply the log before it may answer reads; `None` if no
        /// quorum confirms the leader ([`crate::READ_LEASE`]).
        read_index: Option<u64>,
        /// When the message was sent, in ms of the leader's steady clock; 0 if unknown, as from
        /// processes of earlier versions.
        #[serde(default)]
        sent_at: u64,
    },
    /// Answer to [`Message::Append`] and [`Message::Install`].
    AppendReply {
        /// The follower's term.
        term: u64,
        /// Whether the follower's log contains the previous entry with the same term.
        matched: bool,
        /// If `matched`, the index up to which the logs are equal; otherwise the index after which
        /// the leader sends entries next.
        index: u64,
        /// When the answered message was sent, in ms of the leader's steady clock; 0 if unknown, as
        /// from processes of earlier versions.
        #[serde(default)]
        sent_at: u64,
    },
    /// A snapshot in place of entries that the leader has discarded.
    Install {
        /// Term of the leader.
        term: u64,
        /// The snapshot.
        snapshot: Snapshot,
        /// When the message was sent, in ms of the leader's steady clock; 0 if unknown, as from
        /// processes of earlier versions.
        #[serde(default)]
        sent_at: u64,
    },
    /// The leader asks the receiver to start an election at once.
    Transfer {
        /// Term of the leader.
        term: u64,
    },
}

impl Message {
    /// Term the message carries.
    pub fn term(&self) -> u64 {
        match self {
            Self::Vote { term, .. }
            | Self::VoteReply { term, .. }
            | Self::Append { term, .. }
            | Self::AppendReply { term, .. }
            | Self::Install { term, .. }
            | Self::Transfer { term } => *term,
        }
    }
}

/// Fields of [`Message::Append`] without the term.
pub(crate) struct AppendBody {
    /// Index and term of the previous entry.
    pub previous: (u64, u64),
    pub entries: Vec<Entry>,
    pub commit: u64,
    pub read_index: Option<u64>,
    pub sent_at: Millis,
}

/// Times by the leader's clock: when the answered message was sent, and when the reply is handled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplyTimes {
    pub sent_at: Millis,
    pub now: Millis,
}
