//! The role of a member (follower, candidate or leader) and the state that goes with it.

use crate::message::MemberId;
use brasspond_units::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Current role of a member.
#[derive(Clone, Debug)]
pub(crate) enum Role {
    /// Follows a leader, or waits for one.
    Follower {
        /// Leader of the current term, once known.
        leader: Option<MemberId>,
    },
    /// Requests votes, or pre-votes.
    Candidate {
        /// Members that granted their votes.
        votes: BTreeSet<MemberId>,
        /// Kind of election.
        campaign: Campaign,
    },
    /// Leads the group.
    Leader {
        /// Replication state of each other member.
        progress: BTreeMap<MemberId, Progress>,
        /// When its leadership began.
        since: Millis,
    },
}

/// Kind of election that a candidate runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Campaign {
    /// Pre-vote: the candidate only asks whether it could win.
    pub pre_vote: bool,
    /// The leader requested the election to transfer leadership.
    pub transfer: bool,
    /// All voters whose disks are not lost must grant the pre-vote. This makes an election before
    /// the end of a leader's lease safe: a leader in contact with a quorum ignores pre-votes.
    pub unanimous: bool,
}

impl Campaign {
    /// An ordinary pre-vote.
    pub const PRE_VOTE: Self = Self {
        pre_vote: true,
        transfer: false,
        unanimous: false,
    };
}

/// Replication state of another member, as its leader knows it.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Index of the next entry to send.
    pub next: u64,
    /// Index up to which the member's log is known to match and to be synced.
    pub matched: u64,
    /// Send time of the newest message that the member answered; at first the time of the election
    /// or of the member's addition. The arrival time of answers does not count: a leader that
    /// resumes from a suspension may read old answers although another leader was elected.
    pub last_contact: Millis,
    /// The append or snapshot that is not answered yet, or the pending read from disk; `None` if
    /// the next append may be sent.
    pub(crate) inflight: Option<Inflight>,
}

/// An append or snapshot that awaits its reply, or a request to read entries from disk.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Inflight {
    /// Start of the timeout [`crate::Timing::resend`], after which this is no longer in flight. It
    /// is the time of sending, or later for a snapshot, which takes longer to answer.
    pub timeout_start: Millis,
    /// Index of the last entry sent or included in the snapshot, or of the first entry requested
    /// from disk. A reply with this index or a later one completes the append.
    pub last_index: u64,
}

impl Progress {
    pub(crate) fn new(next: u64, now: Millis) -> Self {
        Self {
            next,
            matched: 0,
            last_contact: now,
            inflight: None,
        }
    }
}
