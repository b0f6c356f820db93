//! Lives of a replica, which distinguish messages and entries from before and after a restart.
//!
//! A replica that restarts under the same id has lost its earlier state. Some state that a process
//! has about a replica is therefore valid for one life only. [`Lives`] stores the newest life of
//! each replica that a process knows.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// One life of a replica, from its start to its end. A life is identified by its start in Unix ms
/// of the replica's clock, which the replica reports. [`Life::UNKNOWN`] is lower than every
/// reported life, but a message without a life counts as one of the known life
/// ([`LifeChange::Same`]).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Life(Option<u64>);

impl Life {
    /// Life of a replica that did not report its start.
    pub const UNKNOWN: Self = Self(None);

    /// Creates a life that began at `started_at`, in Unix ms of the replica's clock.
    pub const fn reported(started_at: u64) -> Self {
        Self(Some(started_at))
    }

    /// Whether the replica reported its start.
    pub const fn is_reported(self) -> bool {
        self.0.is_some()
    }
}

impl fmt::Display for Life {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(started_at) => write!(formatter, "{started_at}"),
            None => formatter.write_str("untold"),
        }
    }
}

/// A replica in one of its lives.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Id of the replica, which is the same in all its lives.
    pub id: Arc<str>,
    /// Life of the replica.
    pub life: Life,
}

impl Identity {
    /// Returns the name under which the replicated log records the end of the replica: `id@life`,
    /// or `id` if no life was reported. Old log entries contain ids only.
    pub fn name(&self) -> Arc<str> {
        if self.life.is_reported() {
            format!("{}@{}", self.id, self.life).into()
        } else {
            Arc::clone(&self.id)
        }
    }
}

/// Time after which a lower life replaces the known life if nothing of the known life arrives, in
/// ms. The replica has then restarted with a clock that was set back.
pub const LOWER_LIFE_ACCEPTED_AFTER_MS: u64 = 10_000;
/// Time for which the life of a replica is retained after its entry was removed, in ms, so that
/// delayed messages of earlier lives are recognized.
const RETENTION_MS: u64 = 60_000;

/// Relation of a reported life to the known life of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeChange {
    /// The known life or no life was reported.
    Same,
    /// The replica was not known before.
    First,
    /// The replica has restarted, so that the state of its previous life is invalid.
    Restarted {
        /// The previous life.
        before: Life,
    },
    /// An earlier life was reported, so that the message or entry is outdated.
    Older,
}

/// Source of a reported life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// A message of the replica.
    Replica,
    /// An entry with a higher revision than all observed entries of the replica.
    NewEntry,
    /// An entry that was already observed or is older, so that it contains no new information.
    KnownEntry,
}

/// The known life of one replica.
#[derive(Clone, Debug)]
struct KnownLife {
    life: Life,
    /// Highest revision of all observed entries of the replica.
    revision: u64,
    /// A lower life that was reported, and the time from which the process waits for messages and
    /// newer entries of the known life before it accepts the lower one.
    lower: Option<(Life, u64)>,
    /// Time at which the entry of the replica was last in a view, or the replica became known.
    listed_at: u64,
}

/// Newest known life of each replica, by id. A lower life replaces a higher one only after a clock
/// was set back ([`LOWER_LIFE_ACCEPTED_AFTER_MS`]). Times are in ms of a monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct Lives {
    known: HashMap<Arc<str>, KnownLife>,
}

impl Lives {
    /// Returns the known life of a replica, or [`Life::UNKNOWN`].
    pub fn of(&self, id: &str) -> Life {
        self.known.get(id).map_or(Life::UNKNOWN, |known| known.life)
    }

    /// Returns the identity of a replica in its known life.
    pub fn identity(&self, id: &str) -> Identity {
        Identity {
            id: id.into(),
            life: self.of(id),
        }
    }

    /// Whether an identity has the known life of the replica.
    pub fn is_known_life(&self, replica: &Identity) -> bool {
        self.of(&replica.id) == replica.life
    }

    /// Records a life that the replica itself reported.
    pub fn observe_report(&mut self, id: &str, life: Life, now: u64) -> LifeChange {
        let Some(known) = self.known.get_mut(id) else {
            return self.add(id.into(), life, 0, now);
        };
        known.observe(life, Origin::Replica, now)
    }

    /// Records a life from the replica's entry with this revision.
    pub fn observe_entry(
        &mut self,
        id: &Arc<str>,
        life: Life,
        revision: u64,
        now: u64,
    ) -> LifeChange {
        let Some(known) = self.known.get_mut(id) else {
            return self.add(Arc::clone(id), life, revision, now);
        };
        let origin = if revision > known.revision {
            Origin::NewEntry
        } else {
            Origin::KnownEntry
        };
        known.revision = known.revision.max(revision);
        known.listed_at = now;
        known.observe(life, origin, now)
    }

    /// Records that the entry of a replica was removed at `now`.
    pub fn observe_removal(&mut self, id: &str, now: u64) {
        if let Some(known) = self.known.get_mut(id) {
            known.listed_at = now;
        }
    }

    fn add(&mut self, id: Arc<str>, life: Life, revision: u64, now: u64) -> LifeChange {
        let known = KnownLife {
            life,
            revision,
            lower: None,
            listed_at: now,
        };
        self.known.insert(id, known);
        LifeChange::First
    }

    /// Whether an entry with this life may be from the known life, as every entry without a life
    /// may.
    pub fn may_be_known_life(&self, id: &str, life: Life) -> bool {
        !life.is_reported() || life == self.of(id)
    }

    /// Whether a lower life was reported for any replica and may become the known life.
    pub fn is_uncertain(&self) -> bool {
        self.known.values().any(|known| known.lower.is_some())
    }

    /// Removes replicas whose entries have been absent for at least the retention time.
    pub fn forget_gone(&mut self, is_listed: impl Fn(&str) -> bool, now: u64) {
        self.known.retain(|id, known| {
            if is_listed(id) {
                known.listed_at = now;
            }
            now < known.listed_at + RETENTION_MS
        });
    }
}

impl KnownLife {
    fn observe(&mut self, life: Life, origin: Origin, now: u64) -> LifeChange {
        if !life.is_reported() {
            return LifeChange::Same;
        }
        if life == self.life {
            self.confirm(origin, now);
            return LifeChange::Same;
        }
        if life < self.life && !self.observe_lower(life, origin, now) {
            return LifeChange::Older;
        }
        self.lower = None;
        let before = std::mem::replace(&mut self.life, life);
        LifeChange::Restarted { before }
    }

    /// Handles a report of the known life. A newer entry of the known life discards the lower life.
    /// A message of the replica only restarts the waiting time, because it may be a delayed message
    /// from before the restart.
    fn confirm(&mut self, origin: Origin, now: u64) {
        match (origin, &mut self.lower) {
            (Origin::NewEntry, lower) => *lower = None,
            (Origin::Replica, Some((_, since))) => *since = now,
            (Origin::Replica, None) | (Origin::KnownEntry, _) => {}
        }
    }

    /// Records a lower life. Returns whether it replaces the known life, because nothing of the
    /// known life arrived for [`LOWER_LIFE_ACCEPTED_AFTER_MS`].
    fn observe_lower(&mut self, life: Life, origin: Origin, now: u64) -> bool {
        match self.lower {
            Some((lower, since)) if lower == life => now >= since + LOWER_LIFE_ACCEPTED_AFTER_MS,
            _ => {
                if origin != Origin::KnownEntry {
                    self.lower = Some((life, now));
                }
                false
            }
        }
    }
}
