//! Which entries cannot be read now, and how often one turned so.

use crate::problem::Problem;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Longest part of a name that is logged, in characters: names are others' as well.
const LOGGED_NAME: usize = 80;

/// An account of entries that cannot be read, by their kinds. It holds names alone, as many as
/// there are such entries.
#[derive(Clone, Debug, Default)]
pub struct Unreadable {
    kinds: BTreeMap<&'static str, Kind>,
}

#[derive(Clone, Debug, Default)]
struct Kind {
    now: BTreeSet<Arc<str>>,
    turned: u64,
}

impl Unreadable {
    /// An entry cannot be read. Logged and counted once until it can be read again, however
    /// often it is read: a replica's entry is written at every heartbeat.
    pub fn note(&mut self, kind: &'static str, name: &str, problem: &Problem) {
        let known = self.kinds.entry(kind).or_default();
        if known.now.contains(name) {
            return;
        }
        known.now.insert(name.into());
        known.turned += 1;
        let name: String = name.chars().take(LOGGED_NAME).collect();
        log::warn!("event=entry_unreadable kind={kind} name={name:?} problem=\"{problem}\"");
    }

    /// An entry can be read, or is gone.
    pub fn clear(&mut self, kind: &'static str, name: &str) {
        let known = self.kinds.get_mut(kind);
        if known.is_some_and(|known| known.now.remove(name)) {
            let name: String = name.chars().take(LOGGED_NAME).collect();
            log::info!("event=entry_readable kind={kind} name={name:?}");
        }
    }

    /// Forgets entries of a kind but those that `is_there` names: the others are gone.
    pub fn retain(&mut self, kind: &'static str, is_there: impl Fn(&str) -> bool) {
        if let Some(known) = self.kinds.get_mut(kind) {
            known.now.retain(|name| is_there(name));
        }
    }

    /// Whether an entry cannot be read.
    pub fn contains(&self, kind: &str, name: &str) -> bool {
        let known = self.kinds.get(kind);
        known.is_some_and(|known| known.now.contains(name))
    }

    /// Each kind with how many of its entries cannot be read now, and how often one turned so
    /// since the process started.
    pub fn counts(&self) -> impl Iterator<Item = (&'static str, usize, u64)> + '_ {
        let kinds = self.kinds.iter();
        kinds.map(|(kind, known)| (*kind, known.now.len(), known.turned))
    }
}
