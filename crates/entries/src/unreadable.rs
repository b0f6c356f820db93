//! Tracks the names of the entries of a source that cannot be read.

use crate::error::EntryError;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum length of a logged name, in characters. Other programs choose the names, so they may be
/// long.
const MAX_LOGGED_NAME_CHARS: usize = 80;

/// Unreadable entries by kind. An entry is unreadable if it cannot be parsed, or if the reader
/// rejects it.
#[derive(Clone, Debug, Default)]
pub struct UnreadableEntries {
    kinds: BTreeMap<&'static str, KindEntries>,
}

/// Unreadable entries of one kind.
#[derive(Clone, Debug, Default)]
struct KindEntries {
    /// Names of the entries that are currently unreadable.
    current: BTreeSet<Arc<str>>,
    /// Number of times that an entry became unreadable since the process started.
    total: u64,
}

impl UnreadableEntries {
    /// Records an unreadable entry. An entry is logged and counted only once until it is readable
    /// again, because a replica rewrites its entry at every heartbeat.
    pub fn record(&mut self, kind: &'static str, name: &str, problem: &EntryError) {
        let entries = self.kinds.entry(kind).or_default();
        if entries.current.contains(name) {
            return;
        }
        entries.current.insert(name.into());
        entries.total += 1;
        let name: String = name.chars().take(MAX_LOGGED_NAME_CHARS).collect();
        log::warn!("event=entry_unreadable kind={kind} name={name:?} problem=\"{problem}\"");
    }

    /// Records that an entry is readable again, or was removed.
    pub fn clear(&mut self, kind: &'static str, name: &str) {
        let entries = self.kinds.get_mut(kind);
        if entries.is_some_and(|entries| entries.current.remove(name)) {
            let name: String = name.chars().take(MAX_LOGGED_NAME_CHARS).collect();
            log::info!("event=entry_readable kind={kind} name={name:?}");
        }
    }

    /// Removes the entries of a kind for which `exists` returns false, without logging them.
    pub fn retain(&mut self, kind: &'static str, exists: impl Fn(&str) -> bool) {
        if let Some(entries) = self.kinds.get_mut(kind) {
            entries.current.retain(|name| exists(name));
        }
    }

    /// Whether an entry is recorded as unreadable.
    pub fn contains(&self, kind: &str, name: &str) -> bool {
        let entries = self.kinds.get(kind);
        entries.is_some_and(|entries| entries.current.contains(name))
    }

    /// Returns, for each kind, the number of entries that are currently unreadable, and the number
    /// of times that an entry became unreadable since the process started.
    pub fn counts(&self) -> impl Iterator<Item = (&'static str, usize, u64)> + '_ {
        let kinds = self.kinds.iter();
        kinds.map(|(kind, entries)| (*kind, entries.current.len(), entries.total))
    }
}
