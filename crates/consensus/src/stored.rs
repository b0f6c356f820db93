//! What a member restores of the entries on its disk. Their commands stay there.

use crate::message::{Entry, Member, Payload};
use crate::terms::Terms;

/// A list of voters and the index of the entry that set it.
#[derive(Clone, Debug)]
pub(crate) struct Membership {
    pub index: u64,
    pub members: Vec<Member>,
}

/// Entries on the disk of a member: their terms, and the lists of voters among them.
#[derive(Clone, Debug, Default)]
pub struct StoredEntries {
    terms: Terms,
    memberships: Vec<Membership>,
}

impl StoredEntries {
    /// No entries; the next one follows `index`.
    pub fn after(index: u64) -> Self {
        Self {
            terms: Terms::after(index),
            memberships: Vec::new(),
        }
    }

    /// Index of the last entry, or of the snapshot before the next one if there are none.
    pub fn last_index(&self) -> u64 {
        self.terms.last_index()
    }

    /// Term of the entry at `index`; `None` if there is no such entry.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        self.terms.term_at(index)
    }

    /// Records the next entry.
    pub fn push(&mut self, entry: &Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.terms.push(entry.term);
        if let Payload::Members(members) = &entry.payload {
            self.memberships.push(Membership {
                index: entry.index,
                members: members.clone(),
            });
        }
    }

    /// Discards the entries from `first` on.
    pub fn truncate(&mut self, first: u64) {
        self.terms.truncate(first);
        self.memberships.retain(|one| one.index < first);
    }

    pub(crate) fn into_parts(self) -> (Terms, Vec<Membership>) {
        (self.terms, self.memberships)
    }
}
