//! Which start of a replica something was said by, or is known of.
//!
//! A replica may start again under the id that it had. It then holds and knows nothing
//! of before, so what is known of it is of its id or of one life.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// One life of a replica, from a start to its end: the Unix time of the start in ms, as the
/// replica tells it. Untold is lower than any told one; a word that tells none is taken as of the
/// life that is known ([`LifeChange::Same`]).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Life(Option<u64>);

impl Life {
    /// The replica does not tell its start.
    pub const UNKNOWN: Self = Self(None);

    /// A life that began at `born`, in Unix ms of the replica's clock.
    pub const fn told(born: u64) -> Self {
        Self(Some(born))
    }

    /// Whether the replica told its start.
    pub const fn is_told(self) -> bool {
        self.0.is_some()
    }
}

impl fmt::Display for Life {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(born) => write!(formatter, "{born}"),
            None => formatter.write_str("untold"),
        }
    }
}

/// A replica in one of its lives.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Its id, the same in all its lives.
    pub id: Arc<str>,
    /// Which life.
    pub life: Life,
}

impl Identity {
    /// One name for both, where things are counted by name, also in a log whose older entries
    /// have ids alone: `id`, or `id@life` where a life is told.
    pub fn name(&self) -> Arc<str> {
        if self.life.is_told() {
            format!("{}@{}", self.id, self.life).into()
        } else {
            Arc::clone(&self.id)
        }
    }
}

/// A word of a lower life alone counts after this time without a word of the known one, in
/// ms: the clock of the replica's machine was set back between two starts. An entry, an
/// answer or a report may come seconds late, and a living replica writes its entry
/// several times in it.
pub const SET_BACK_MS: u64 = 10_000;
/// Time for which a replica's life is known after its entry went, in ms: longer than any
/// word is late.
const KEPT_MS: u64 = 60_000;

/// What a word of a replica tells of its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeChange {
    /// The life that is known, or none is told: nothing is told apart.
    Same,
    /// The replica was not known.
    First,
    /// It started again: what is known of the life before is void.
    Reborn {
        /// The life before.
        before: Life,
    },
    /// Said by an earlier life: it tells nothing.
    Older,
}

/// Where a life is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Word {
    /// The replica said it.
    Own,
    /// An entry that is newer than those that were read.
    NewEntry,
    /// An entry that was read before, or an older one: no new word of any life.
    KnownEntry,
}

#[derive(Clone, Debug)]
struct Known {
    life: Life,
    /// Highest revision of its entries so far.
    revision: u64,
    /// A lower life, and since when nothing else was heard.
    lower: Option<(Life, u64)>,
    /// When its entry was last there, in ms.
    listed_at: u64,
}

/// The newest life of each replica that this process has heard of, by id. A life never goes
/// back, but for a clock that was set back ([`SET_BACK_MS`]).
#[derive(Clone, Debug, Default)]
pub struct Lives {
    known: HashMap<Arc<str>, Known>,
}

impl Lives {
    /// The life that is known; untold where none is.
    pub fn of(&self, id: &str) -> Life {
        self.known.get(id).map_or(Life::UNKNOWN, |known| known.life)
    }

    /// The replica in the life that is known.
    pub fn identity(&self, id: &str) -> Identity {
        Identity {
            id: id.into(),
            life: self.of(id),
        }
    }

    /// Whether something is of the life that is known.
    pub fn is_present(&self, replica: &Identity) -> bool {
        self.of(&replica.id) == replica.life
    }

    /// A replica told its life itself, at `now` (ms of a steady clock).
    pub fn hear(&mut self, id: &str, life: Life, now: u64) -> LifeChange {
        let Some(known) = self.known.get_mut(id) else {
            return self.meet(id, life, 0, now);
        };
        known.hear(life, Word::Own, now)
    }

    /// Its entry, of this revision, tells a life.
    pub fn hear_entry(&mut self, id: &str, life: Life, revision: u64, now: u64) -> LifeChange {
        let Some(known) = self.known.get_mut(id) else {
            return self.meet(id, life, revision, now);
        };
        let word = if revision > known.revision {
            Word::NewEntry
        } else {
            Word::KnownEntry
        };
        known.revision = known.revision.max(revision);
        known.listed_at = now;
        known.hear(life, word, now)
    }

    fn meet(&mut self, id: &str, life: Life, revision: u64, now: u64) -> LifeChange {
        let known = Known {
            life,
            revision,
            lower: None,
            listed_at: now,
        };
        self.known.insert(id.into(), known);
        LifeChange::First
    }

    /// Whether what tells a life is not of an earlier one; what tells none may be of any.
    pub fn may_say(&self, id: &str, life: Life) -> bool {
        !life.is_told() || life == self.of(id)
    }

    /// Whether a lower life was heard that may yet be the present one.
    pub fn is_uncertain(&self) -> bool {
        self.known.values().any(|known| known.lower.is_some())
    }

    /// Drops replicas whose entries went long ago.
    pub fn forget_gone(&mut self, is_listed: impl Fn(&str) -> bool, now: u64) {
        self.known.retain(|id, known| {
            if is_listed(id) {
                known.listed_at = now;
            }
            now < known.listed_at + KEPT_MS
        });
    }
}

impl Known {
    fn hear(&mut self, life: Life, word: Word, now: u64) -> LifeChange {
        if !life.is_told() {
            return LifeChange::Same;
        }
        if life == self.life {
            self.confirm(word, now);
            return LifeChange::Same;
        }
        if life < self.life && !self.counts_lower(life, word, now) {
            return LifeChange::Older;
        }
        self.lower = None;
        let before = std::mem::replace(&mut self.life, life);
        LifeChange::Reborn { before }
    }

    /// The known life was heard. Where its entry tells it, that is that; what the replica
    /// told itself may have been on its way while a lower life wrote the entry.
    fn confirm(&mut self, word: Word, now: u64) {
        match (word, &mut self.lower) {
            (Word::NewEntry, lower) => *lower = None,
            (Word::Own, Some((_, since))) => *since = now,
            (Word::Own, None) | (Word::KnownEntry, _) => {}
        }
    }

    /// Notes a lower life; true once it was heard for [`SET_BACK_MS`].
    fn counts_lower(&mut self, life: Life, word: Word, now: u64) -> bool {
        match self.lower {
            Some((lower, since)) if lower == life => now >= since + SET_BACK_MS,
            _ => {
                if word != Word::KnownEntry {
                    self.lower = Some((life, now));
                }
                false
            }
        }
    }
}
