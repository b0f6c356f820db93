//! Life cycle of log entries: appended in memory, synced, committed, applied and compacted.
//! Membership entries take effect as soon as they are appended.

use crate::message::{Entry, Member, Payload, Snapshot};
use crate::node::Consensus;
use brasspond_units::Millis;
use std::ops::RangeInclusive;

impl Consensus {
    /// Records that all entries up to `index` are synced. Call it once the data of
    /// [`crate::Ready`] is on disk.
    pub fn persisted(&mut self, index: u64) {
        self.persisted = index.min(self.log.last_index());
        self.advance_commit();
    }

    /// Takes committed entries to apply, up to `limit` bytes of commands but at least one entry if
    /// the next one is in memory. They count as applied from now on. The limit keeps a member
    /// responsive that applies a long log after its start.
    pub fn take_committed(&mut self, limit: usize) -> Vec<Entry> {
        let last = self.last_applicable();
        let mut entries = self.log.slice(self.applied + 1, limit);
        entries.retain(|entry| entry.index <= last);
        self.set_applied(self.applied + entries.len() as u64);
        entries
    }

    /// Indices of committed entries to apply next that lie on disk only; `None` if the next entry
    /// is in memory or there is none. The caller reads entries from the first on and passes them to
    /// [`Consensus::take_stored`].
    pub fn next_stored(&self) -> Option<RangeInclusive<u64>> {
        let first = self.applied + 1;
        let last = self.last_applicable().min(self.log.last_stored());
        (first <= last).then_some(first..=last)
    }

    /// Takes committed entries to apply, like [`Consensus::take_committed`], from those that were
    /// read from disk for [`Consensus::next_stored`]. An entry that is not the next one of the log
    /// is not taken, nor are those after it.
    pub fn take_stored(&mut self, mut entries: Vec<Entry>) -> Vec<Entry> {
        let last = self.last_applicable();
        let indices = self.applied + 1..=last;
        let matching = entries.iter().zip(indices).take_while(|(entry, index)| {
            entry.index == *index && self.log.term_at(*index) == Some(entry.term)
        });
        let count = matching.count();
        entries.truncate(count);
        self.set_applied(self.applied + count as u64);
        entries
    }

    fn set_applied(&mut self, index: u64) {
        self.applied = index;
        self.freshness.set_applied(index);
    }

    /// Index of the last entry that may be applied: it is committed and on this member's disk.
    fn last_applicable(&self) -> u64 {
        self.commit.min(self.persisted)
    }

    /// Whether there are committed entries to apply.
    pub fn has_backlog(&self) -> bool {
        self.applied < self.last_applicable()
    }

    /// Whether this follower has applied all entries that were acknowledged up to `window` ms ago.
    /// Call it once the entries of [`Consensus::take_committed`] are applied.
    pub fn is_current(&self, window: Millis, now: Millis) -> bool {
        self.freshness.is_current(window, now)
    }

    /// Drops applied entries that lie on disk only, then those in memory, oldest first, while
    /// commands take more than `keep` bytes. The entries that remain in memory can be sent to
    /// followers without a read from disk.
    pub fn compact(&mut self, keep: usize) {
        let stored = self.applied.min(self.log.last_stored());
        self.log.compact(stored.max(self.log.base_index()));
        while self.log.bytes() > keep && self.log.base_index() < self.applied {
            self.log.compact(self.log.base_index() + 1);
        }
    }

    /// Drops the payloads of synced entries from memory, oldest first, while commands take more
    /// than `keep` bytes. They are read from disk when they are applied or sent.
    pub fn unload(&mut self, keep: usize) {
        while self.log.bytes() > keep && self.log.last_stored() < self.persisted {
            self.log.unload_first();
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
            self.set_members(entry.index, members.clone());
        }
        self.log.push(entry);
    }

    /// Puts the voters of the entry at `index` into effect.
    pub(crate) fn set_members(&mut self, index: u64, members: Vec<Member>) {
        let previous = std::mem::replace(&mut self.members, members);
        self.previous_members = Some((self.members_index, previous));
        self.members_index = index;
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
