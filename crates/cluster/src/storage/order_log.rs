//! The last announced order on each subject.
//!
//! An order is an instruction to a replica or to the platform. Its holder is the storage process
//! that may send it. Its subject is a replica, the usage reports, or the replicas of one service in
//! one zone.
//!
//! Every order is announced in the log before it is sent. A new leader therefore knows on which
//! subjects another holder may have sent orders recently. It sends no orders on these subjects for
//! the length of a lease, which starts when this process applied the announcement, by its monotonic
//! clock. The lease of an announcement that is replayed at startup thus starts at the replay. If
//! the log starts with a snapshot, announcements may be missing, and an order on any subject may
//! have been sent just before.

use brasspond_consensus::Payload;
use brasspond_dispatch::OrderLeases;
use brasspond_durable::{RecordLog, RecordLogError};
use brasspond_jobs::Command;
use brasspond_units::Millis;
use std::collections::HashMap;

/// Maximum number of entries searched for the last holder, which bounds the decoding at startup. If
/// the holder is not found, the member only loses its head start in the next election.
const MAX_SEARCHED_ENTRIES: u64 = 4_096;

/// The last announced order on a subject.
#[derive(Clone, Debug)]
struct LastOrder {
    holder: String,
    applied_at: Millis,
}

/// Last announced orders by subject.
#[derive(Clone, Debug, Default)]
pub(super) struct LastAnnouncements {
    /// Announcements before this time may be missing. `None` if all are known.
    unknown_before: Option<Millis>,
    /// The subject of an order to a replica is the replica's id without its incarnation, since the
    /// order may reach the next incarnation.
    last_orders: HashMap<String, LastOrder>,
}

impl LastAnnouncements {
    /// Creates the state for a log that is replayed from its first entry.
    pub fn complete() -> Self {
        Self::default()
    }

    /// Creates the state for a log that starts with a snapshot, so that announcements may be
    /// missing.
    pub fn after_snapshot(now: Millis) -> Self {
        Self {
            unknown_before: Some(now),
            last_orders: HashMap::new(),
        }
    }

    /// Records an applied announcement.
    pub fn record(&mut self, subject: &str, holder: &str, now: Millis) {
        let last = LastOrder {
            holder: holder.to_string(),
            applied_at: now,
        };
        self.last_orders.insert(subject.to_string(), last);
    }

    /// Returns the leases that `holder` must wait for. A subject on which another holder announced
    /// the last order is leased until `lease_ms` after the announcement was applied.
    pub fn leases(&self, holder: &str, lease_ms: Millis) -> OrderLeases {
        let others = self
            .last_orders
            .iter()
            .filter(|(_, last)| last.holder != holder);
        let until = others.map(|(id, last)| (id.clone(), last.applied_at + lease_ms));
        OrderLeases {
            all_until: self.unknown_before.map_or(0, |before| before + lease_ms),
            until: until.collect(),
        }
    }
}

/// Returns the holder of the newest announcement in the last [`MAX_SEARCHED_ENTRIES`] entries up to
/// `last`, or `None` if they contain no announcement. Entries that cannot be decoded are skipped
/// here, but stop the process when they are applied.
///
/// # Errors
/// The file cannot be read.
pub(super) fn last_holder(log: &RecordLog, last: u64) -> Result<Option<String>, RecordLogError> {
    let oldest = last.saturating_sub(MAX_SEARCHED_ENTRIES) + 1;
    for index in (oldest..=last).rev() {
        let Some(entry) = log.entry(index)? else {
            return Ok(None);
        };
        let Payload::Command(bytes) = &entry.payload else {
            continue;
        };
        if let Ok(Command::Intend { holder, .. }) = Command::decode(bytes) {
            return Ok(Some(holder));
        }
    }
    Ok(None)
}
