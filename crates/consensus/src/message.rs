//! Entries of the log and messages between members. All of them go over links or to disk.

use brasspond_units::Millis;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Identity of a member: drawn at random when its disk is first used.
pub type MemberId = u64;

/// A member of the group, or one about to join.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity: a machine whose disk was lost has a new one.
    pub id: MemberId,
    /// Name of the machine; survives the loss of its disk.
    pub machine: String,
    /// Where other processes connect to.
    pub address: SocketAddr,
    /// Zone of the machine.
    pub zone: String,
    /// Region of that zone; none: unknown.
    #[serde(default)]
    pub region: Option<Arc<str>>,
}

/// What an entry of the log holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: a new leader commits the entries of earlier terms with it.
    Nothing,
    /// A command for the state machine, opaque here.
    Command(Bytes),
    /// The voters from this entry on, committed or not.
    Members(Vec<Member>),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that made it.
    pub term: u64,
    /// Position, from 1.
    pub index: u64,
    /// What it holds.
    pub payload: Payload,
}

/// What a member keeps of elections; synced before it answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Newest term that it knows.
    pub term: u64,
    /// For whom it voted in that term; none: nobody yet.
    pub voted_for: Option<MemberId>,
}

/// The state machine after the entry `index`, which replaces the log up to there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that it contains.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Voters as of that entry.
    pub members: Vec<Member>,
    /// The state machine, encoded by its owner.
    pub state: Bytes,
}

/// A message between two members. Every message carries the sender's term.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a vote; with `probe`, only whether it would be given.
    Vote {
        /// Term of the candidacy (for a probe: the term it would have).
        term: u64,
        /// Index of the candidate's last entry.
        last_index: u64,
        /// Term of the candidate's last entry.
        last_term: u64,
        /// A pre-vote: who answers promises nothing.
        probe: bool,
        /// The leader itself asked for this candidacy: its followers do not ignore it.
        transfer: bool,
    },
    /// Answer to [`Message::Vote`].
    VoteReply {
        /// The voter's term; for a granted probe, the term asked about.
        term: u64,
        /// Whether the vote is given.
        granted: bool,
        /// Whether it answers a probe.
        probe: bool,
    },
    /// Entries after `previous_index`; without entries it is a heartbeat.
    Append {
        /// Term of the leader.
        term: u64,
        /// Index before the first entry.
        previous_index: u64,
        /// Term of the entry there.
        previous_term: u64,
        /// Entries, in order.
        entries: Vec<Entry>,
        /// All up to here are committed.
        commit: u64,
        /// All entries that were ever acknowledged lie at or before this index; none: the sender
        /// is no confirmed leader.
        read_index: Option<u64>,
        /// When it was sent, by the leader's steady clock, in ms; 0: unknown, from a
        /// process of an earlier version.
        #[serde(default)]
        sent_at: u64,
    },
    /// Answer to [`Message::Append`] and [`Message::Install`].
    AppendReply {
        /// The follower's term.
        term: u64,
        /// Whether the log had the entry before, with its term.
        matched: bool,
        /// With `matched`: the last index up to which the logs are equal. Without: the index after
        /// which the leader sends next.
        index: u64,
        /// When what it answers was sent, by the leader's steady clock, in ms; 0: unknown, from a
        /// process of an earlier version.
        #[serde(default)]
        sent_at: u64,
    },
    /// A snapshot in place of entries that the leader does not have any more.
    Install {
        /// Term of the leader.
        term: u64,
        /// The snapshot.
        snapshot: Snapshot,
        /// When it was sent, by the leader's steady clock, in ms; 0: unknown, from a
        /// process of an earlier version.
        #[serde(default)]
        sent_at: u64,
    },
    /// The leader asks the receiver to become a candidate at once.
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

/// [`Message::Append`] without its term, as a follower handles it.
pub(crate) struct Appended {
    /// Index and term of the entry before the first.
    pub previous: (u64, u64),
    pub entries: Vec<Entry>,
    pub commit: u64,
    pub read_index: Option<u64>,
    pub sent_at: Millis,
}

/// When the message that a member answered was sent, and when the answer is read, by the
/// leader's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplyTimes {
    pub sent_at: Millis,
    pub now: Millis,
}
