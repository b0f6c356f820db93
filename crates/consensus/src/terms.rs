//! Terms of consecutive entries, held as runs of equal terms.

use std::collections::VecDeque;

/// Entries of one term.
#[derive(Clone, Copy, Debug)]
struct Run {
    /// Index of the first entry.
    first: u64,
    term: u64,
}

/// Terms of consecutive entries. The memory used grows with the number of terms, not of entries.
///
/// Invariant: the runs are ordered and adjacent, and the last one ends at `last`.
#[derive(Clone, Debug, Default)]
pub(crate) struct Terms {
    runs: VecDeque<Run>,
    /// Index of the last entry, or of the entry before the next one if there are none.
    last: u64,
}

impl Terms {
    /// Terms of no entries; the next one follows `index`.
    pub fn after(index: u64) -> Self {
        Self {
            runs: VecDeque::new(),
            last: index,
        }
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.last
    }

    /// Term of the last entry; `None` if there are no entries.
    pub fn last_term(&self) -> Option<u64> {
        self.runs.back().map(|run| run.term)
    }

    /// Term of the entry at `index`, if it is one of these.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index > self.last {
            return None;
        }
        let later = self.runs.partition_point(|run| run.first <= index);
        let run = self.runs.get(later.checked_sub(1)?)?;
        Some(run.term)
    }

    /// Appends the term of the next entry.
    pub fn push(&mut self, term: u64) {
        self.last += 1;
        if self.last_term() != Some(term) {
            let first = self.last;
            self.runs.push_back(Run { first, term });
        }
    }

    /// Drops all entries from `first` on.
    pub fn truncate(&mut self, first: u64) {
        self.last = self.last.min(first.saturating_sub(1));
        while self.runs.back().is_some_and(|run| run.first >= first) {
            self.runs.pop_back();
        }
    }

    /// Drops all entries up to `index`, which is at most the last one.
    pub fn drop_to(&mut self, index: u64) {
        let passed = self.runs.partition_point(|run| run.first <= index);
        if index >= self.last {
            self.runs.clear();
        } else if let Some(current) = passed.checked_sub(1) {
            self.runs.drain(..current);
            self.runs[0].first = index + 1;
        }
    }
}
