//! Who gave the last order on each subject, by this process's own steady clock.
//!
//! Every order is announced in the log before it is given, so a new leader knows
//! on which subjects (a replica, usage, the replicas of a zone) another holder may have
//! given orders lately, and leaves just those alone for the length of a lease. What is read out of the log counts as done
//! now. Where the log begins with a snapshot, announcements may have been passed
//! over: then an order on any subject may have been given just now.

use brasspond_consensus::{Entry, Payload};
use brasspond_dispatch::OrderLeases;
use brasspond_jobs::Command;
use std::collections::HashMap;

/// The last announced order on a subject.
#[derive(Clone, Debug)]
struct Last {
    holder: String,
    applied_at: u64,
}

/// Orders announced in the log.
#[derive(Clone, Debug, Default)]
pub(super) struct OrderLog {
    /// Nothing is known of what happened before this time; none: all is known.
    unknown_before: Option<u64>,
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
    pub fn unknown(now: u64) -> Self {
        Self {
            unknown_before: Some(now),
            last: HashMap::new(),
        }
    }

    pub fn intended(&mut self, subject: &str, holder: &str, now: u64) {
        let last = Last {
            holder: holder.to_string(),
            applied_at: now,
        };
        self.last.insert(subject.to_string(), last);
    }

    /// Until when this holder must leave subjects alone.
    pub fn leases(&self, holder: &str, lease_ms: u64) -> OrderLeases {
        let others = self.last.iter().filter(|(_, last)| last.holder != holder);
        let until = others.map(|(id, last)| (id.clone(), last.applied_at + lease_ms));
        OrderLeases {
            all_until: self.unknown_before.map_or(0, |before| before + lease_ms),
            until: until.collect(),
        }
    }
}

/// Entries looked through for the last holder, at the most.
const MOST_SEARCHED: usize = 4_096;

/// Who announced the last order in entries of the log.
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
