//! Queue of updates that are piggybacked on messages.

use crate::member::Update;
use brasspond_types::NodeName;
use std::collections::BTreeMap;

/// Updates to disseminate: the newest one per member.
#[derive(Debug, Default)]
pub(crate) struct BroadcastQueue {
    entries: BTreeMap<NodeName, Broadcast>,
}

#[derive(Debug)]
struct Broadcast {
    update: Update,
    times_sent: u32,
}

impl BroadcastQueue {
    /// Queues `update` in place of an older one of the same member.
    pub(crate) fn push(&mut self, update: Update) {
        let name = update.name.clone();
        let broadcast = Broadcast {
            update,
            times_sent: 0,
        };
        self.entries.insert(name, broadcast);
    }

    /// Returns up to `count` updates, those that were sent least often first. An update is dropped
    /// once it was returned `limit` times.
    pub(crate) fn take(&mut self, count: usize, limit: u32) -> Vec<Update> {
        if self.entries.is_empty() {
            return Vec::new();
        }
        let mut order: Vec<(u32, NodeName)> = self
            .entries
            .iter()
            .map(|(name, broadcast)| (broadcast.times_sent, name.clone()))
            .collect();
        order.sort();
        let mut updates = Vec::new();
        for (_, name) in order.into_iter().take(count) {
            let Some(broadcast) = self.entries.get_mut(&name) else {
                continue;
            };
            broadcast.times_sent += 1;
            updates.push(broadcast.update.clone());
            if broadcast.times_sent >= limit {
                self.entries.remove(&name);
            }
        }
        updates
    }
}
