//! Who announced the last order on each subject, and when this process applied that.
//!
//! Every order is announced in the log before it is given, so a new leader knows on which
//! subjects (a replica, usage, the replicas of a zone) another holder may have given orders
//! lately, and gives none on just those for the length of a lease. An announcement that is read
//! out of the log counts as made now, by this process's steady clock. Where the log begins with
//! a snapshot, announcements may be missing: then an order on any subject may have been given
//! just now.

use brasspond_consensus::{Entry, Payload};
use brasspond_dispatch::OrderLeases;
use brasspond_jobs::Command;
use brasspond_units::Millis;
use std::collections::HashMap;

/// Entries searched for the last holder, at the most: a start decodes no more than that. Without
/// a find the member only loses its head start in the next election. Not measured.
const MOST_SEARCHED: usize = 4_096;

/// The last announced order on a subject.
#[derive(Clone, Debug)]
struct Last {
    holder: String,
    applied_at: Millis,
}

/// Orders announced in the log.
#[derive(Clone, Debug, Default)]
pub(super) struct OrderLog {
    /// Announcements before this time may be missing; none: all are known.
    unknown_before: Option<Millis>,
    /// A replica's subject is its id: an order may reach its next life.
    last: HashMap<String, Last>,
}

impl OrderLog {
    /// For a log that is read from its first entry on.
    pub fn whole() -> Self {
        Self::default()
    }

    /// For a log that begins with a snapshot or jumps to one: announcements may
    /// have been passed over.
    pub fn unknown(now: Millis) -> Self {
        Self {
            unknown_before: Some(now),
            last: HashMap::new(),
        }
    }

    /// An announcement was applied.
    pub fn intended(&mut self, subject: &str, holder: &str, now: Millis) {
        let last = Last {
            holder: holder.to_string(),
            applied_at: now,
        };
        self.last.insert(subject.to_string(), last);
    }

    /// Until when this holder gives no orders on subjects of others, for leases of `lease_ms`
    /// after an announcement.
    pub fn leases(&self, holder: &str, lease_ms: Millis) -> OrderLeases {
        let others = self.last.iter().filter(|(_, last)| last.holder != holder);
        let until = others.map(|(id, last)| (id.clone(), last.applied_at + lease_ms));
        OrderLeases {
            all_until: self.unknown_before.map_or(0, |before| before + lease_ms),
            until: until.collect(),
        }
    }
}

/// Who announced the last order in entries of the log; none: no announcement is among the newest.
/// Entries that cannot be decoded are skipped here; applying them stops the process.
pub(super) fn last_holder(entries: &[Entry]) -> Option<String> {
    let newest = entries.iter().rev().take(MOST_SEARCHED);
    let mut commands = newest.filter_map(|entry| match &entry.payload {
        Payload::Command(bytes) => Command::decode(bytes).ok(),
        Payload::Nothing | Payload::Members(_) => None,
    });
    commands.find_map(|command| match command {
        Command::Intend { holder, .. } => Some(holder),
        _ => None,
    })
}
