//! Who ordered which replica last, by this process's own steady clock.
//!
//! Every order is announced in the log before it is given, so a new leader knows
//! which replicas another holder may have ordered lately, and leaves just those
//! alone for the length of a lease. What happened before this process began to
//! listen is unknown and counts as now.

use brasspond_dispatch::OrderLeases;
use std::collections::HashMap;

/// The last announced order to a replica.
#[derive(Clone, Debug)]
struct Last {
    holder: String,
    applied_at: u64,
}

/// Orders announced in the log.
#[derive(Clone, Debug, Default)]
pub(super) struct OrderLog {
    unknown_before: u64,
    last: HashMap<String, Last>,
}

impl OrderLog {
    /// Knows nothing of what happened before `now`.
    pub fn new(now: u64) -> Self {
        Self {
            unknown_before: now,
            last: HashMap::new(),
        }
    }

    /// The log jumped: announcements may have been passed over.
    pub fn forget(&mut self, now: u64) {
        *self = Self::new(now);
    }

    pub fn intended(&mut self, replica: &str, holder: &str, now: u64) {
        let last = Last {
            holder: holder.to_string(),
            applied_at: now,
        };
        self.last.insert(replica.to_string(), last);
    }

    /// Until when this holder must leave replicas alone.
    pub fn leases(&self, holder: &str, lease_ms: u64, is_first_leader: bool) -> OrderLeases {
        let others = self.last.iter().filter(|(_, last)| last.holder != holder);
        let until = others.map(|(id, last)| (id.clone(), last.applied_at + lease_ms));
        OrderLeases {
            all_until: if is_first_leader {
                0
            } else {
                self.unknown_before + lease_ms
            },
            until: until.collect(),
        }
    }
}
