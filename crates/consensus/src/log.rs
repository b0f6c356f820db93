//! The log after a compacted prefix: first the entries whose payloads lie on disk only, then those
//! in memory.

use crate::message::{Entry, Payload};
use crate::terms::Terms;
use std::collections::VecDeque;

/// Log of a member.
///
/// Invariants: the entries from `base_index + 1` to the last index of `stored` lie on disk only; entry
/// `i` of `loaded` has the index after that plus `i`.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    /// Index and term of the last compacted entry.
    base_index: u64,
    base_term: u64,
    /// Terms of the entries that lie on disk only.
    stored: Terms,
    /// Entries in memory.
    loaded: VecDeque<Entry>,
    /// Total size of the commands in `loaded`.
    bytes: usize,
}

impl Log {
    /// Creates an empty log that begins after `base_index`.
    pub fn new(base_index: u64, base_term: u64) -> Self {
        Self::restore(base_index, base_term, Terms::after(base_index))
    }

    /// Creates a log that begins after `base_index` with entries that lie on disk.
    pub fn restore(base_index: u64, base_term: u64, stored: Terms) -> Self {
        let stored = if stored.last_index() < base_index {
            Terms::after(base_index)
        } else {
            stored
        };
        Self {
            base_index,
            base_term,
            stored,
            ..Self::default()
        }
    }

    /// Index of the last compacted entry.
    pub fn base_index(&self) -> u64 {
        self.base_index
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.stored.last_index() + self.loaded.len() as u64
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> u64 {
        let loaded = self.loaded.back().map(|last| last.term);
        let last = loaded.or_else(|| self.stored.last_term());
        last.unwrap_or(self.base_term)
    }

    /// Index of the last entry that lies on disk only, or of the last compacted entry.
    pub fn last_stored(&self) -> u64 {
        self.stored.last_index()
    }

    /// Whether the payload of the entry at `index` lies on disk only.
    pub fn is_stored(&self, index: u64) -> bool {
        index > self.base_index && index <= self.stored.last_index()
    }

    /// Total size of the commands in memory, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Term of the entry at `index`; `None` if the entry is compacted or does not exist.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        let loaded = self.get(index).map(|entry| entry.term);
        loaded.or_else(|| self.stored.term_at(index))
    }

    /// The entry at `index`, if it is in memory.
    fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.stored.last_index() + 1)?;
        // An offset beyond `usize` is past the end.
        let offset = usize::try_from(offset).ok()?;
        self.loaded.get(offset)
    }

    /// Entries in memory from `first` on, up to `limit` bytes of commands but at least one entry.
    pub fn slice(&self, first: u64, limit: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut taken = Vec::new();
        let mut index = first;
        while let Some(entry) = self.get(index) {
            if !taken.is_empty() && bytes + payload_bytes(entry) > limit {
                break;
            }
            bytes += payload_bytes(entry);
            taken.push(entry.clone());
            index += 1;
        }
        taken
    }

    /// Appends an entry at the end.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.bytes += payload_bytes(&entry);
        self.loaded.push_back(entry);
    }

    /// Drops all entries from `first` on.
    pub fn truncate(&mut self, first: u64) {
        while self.last_index() >= first && !self.loaded.is_empty() {
            if let Some(entry) = self.loaded.pop_back() {
                self.bytes -= payload_bytes(&entry);
            }
        }
        self.stored.truncate(first.max(self.base_index + 1));
    }

    /// Drops the payload of the first entry in memory, which lies on disk.
    pub fn unload_first(&mut self) {
        if let Some(entry) = self.loaded.pop_front() {
            self.bytes -= payload_bytes(&entry);
            self.stored.push(entry.term);
        }
    }

    /// Drops all entries up to `index`, and keeps the term of the last one dropped. `index` is not
    /// below the base, and an entry of the log.
    pub fn compact(&mut self, index: u64) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        while self.stored.last_index() < index {
            self.unload_first();
        }
        self.stored.drop_to(index);
        self.base_index = index;
        self.base_term = term;
    }
}

/// Size of the command of an entry in bytes; 0 for other payloads.
fn payload_bytes(entry: &Entry) -> usize {
    match &entry.payload {
        Payload::Command(bytes) => bytes.len(),
        Payload::Nothing | Payload::Members(_) => 0,
    }
}
