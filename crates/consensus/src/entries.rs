//! Life cycle of log entries: appended in memory, synced, committed, applied and compacted.
//! Membership entries take effect as soon as they are appended.

use crate::message::{Entry, Payload, Snapshot};
use crate::node::Consensus;
use brasspond_units::Millis;

impl Consensus {
    /// Records that all entries up to `index` are synced. Call it once the data of
    /// [`crate::Ready`] is on disk.
    pub fn persisted(&mut self, index: u64) {
        self.persisted = index.min(self.log.last_index());
        self.advance_commit();
    }

    /// Takes committed entries to apply, up to `limit` bytes of commands but at least one entry if
    /// there is one. They count as applied from now on. The limit keeps a member responsive that
    /// applies a long log after its start.
    pub fn take_committed(&mut self, limit: usize) -> Vec<Entry> {
        let last = self.commit.min(self.persisted);
        let mut entries = self.log.slice(self.applied + 1, limit);
        entries.retain(|entry| entry.index <= last);
        self.applied += entries.len() as u64;
        self.freshness.set_applied(self.applied);
        entries
    }

    /// Whether there are committed entries to apply.
    pub fn has_backlog(&self) -> bool {
        self.applied < self.commit.min(self.persisted)
    }

    /// Whether this follower has applied all entries that were acknowledged up to `window` ms ago.
    /// Call it once the entries of [`Consensus::take_committed`] are applied.
    pub fn is_current(&self, window: Millis, now: Millis) -> bool {
        self.freshness.is_current(window, now)
    }

    /// Entries after the last applied one, for a log file that is rewritten with a snapshot.
    pub fn unapplied_entries(&self) -> Vec<Entry> {
        self.log.slice(self.applied + 1, usize::MAX)
    }

    /// Drops applied entries from memory, oldest first, while commands take more than `keep` bytes.
    /// The entries that remain can be sent to followers without a read from disk.
    pub fn compact(&mut self, keep: usize) {
        while self.log.bytes() > keep && self.log.base_index() < self.applied {
            self.log.compact(self.log.base_index() + 1);
        }
    }

    /// Total size of the commands in memory, in bytes.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Builds a snapshot from `state`, the state machine after the last applied entry or its
    /// encoding.
    pub fn snapshot<S>(&self, state: S) -> Snapshot<S> {
        let members = match &self.previous_members {
            Some((_, previous)) if self.members_index > self.applied => previous.clone(),
            _ => self.members.clone(),
        };
        Snapshot {
            index: self.applied,
            // The term of the last applied entry is always in memory, so 0 cannot occur.
            term: self.log.term_at(self.applied).unwrap_or(0),
            members,
            state,
        }
    }

    pub(crate) fn append_to_memory(&mut self, entry: Entry) {
        if let Payload::Members(members) = &entry.payload {
            let previous = std::mem::replace(&mut self.members, members.clone());
            self.previous_members = Some((self.members_index, previous));
            self.members_index = entry.index;
        }
        self.log.push(entry);
    }

    /// Removes all entries from `first` on, and reverts a membership change among them.
    pub(crate) fn truncate(&mut self, first: u64) {
        self.log.truncate(first);
        self.ready.entries.retain(|entry| entry.index < first);
        let from = self.ready.truncate_from.map_or(first, |old| old.min(first));
        self.ready.truncate_from = Some(from);
        self.persisted = self.persisted.min(first - 1);
        if self.members_index >= first
            && let Some((index, members)) = self.previous_members.take()
        {
            self.members = members;
            self.members_index = index;
        }
    }
}
