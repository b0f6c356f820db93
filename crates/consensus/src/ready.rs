//! Data exchanged between a member and its caller: the persisted state and the pending work.

use crate::message::{Entry, HardState, MemberId, Message, Snapshot};
use crate::stored::StoredEntries;
use bytes::Bytes;

/// State of a member as read from its disk. `S` is the state machine or its encoding.
#[derive(Clone, Debug)]
pub struct Persisted<S = Bytes> {
    /// Term and vote.
    pub hard_state: HardState,
    /// Newest snapshot; `None` if the log starts with the first entry.
    pub snapshot: Option<Snapshot<S>>,
    /// Entries after the snapshot.
    pub entries: StoredEntries,
}

impl Default for Persisted {
    fn default() -> Self {
        Self {
            hard_state: HardState::default(),
            snapshot: None,
            entries: StoredEntries::default(),
        }
    }
}

/// Work for the caller, in this order: write and sync `hard_state`, `snapshot`, `truncate_from` and
/// `entries`; call [`crate::Consensus::persisted`]; send `messages`; serve `entries_from_disk`.
#[derive(Debug, Default)]
pub struct Ready {
    /// Term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// Received snapshot that replaces the state machine and the log.
    pub snapshot: Option<Snapshot>,
    /// Index from which entries must be removed from the log on disk.
    pub truncate_from: Option<u64>,
    /// Entries to append to the log on disk.
    pub entries: Vec<Entry>,
    /// Messages to other members, to be sent after the sync.
    pub messages: Vec<(MemberId, Message)>,
    /// Members that need entries which are no longer in memory, each with the first index. The
    /// caller sends them with [`crate::Consensus::send_stored`], or a snapshot with
    /// [`crate::Consensus::send_snapshot`] if the disk does not hold them any more.
    pub entries_from_disk: Vec<(MemberId, u64)>,
}

impl Ready {
    /// Whether data must be synced before the messages may be sent.
    pub fn must_sync(&self) -> bool {
        self.hard_state.is_some()
            || self.snapshot.is_some()
            || self.truncate_from.is_some()
            || !self.entries.is_empty()
    }
}
