//! Prefix cache with a limited number of blocks and LRU eviction.

use brasspond_routing::{BLOCK_TOKENS, CacheEvent};
use std::collections::{BTreeMap, HashMap};

/// Prompt blocks that one engine caches, by hash.
#[derive(Clone, Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    clock: u64,
    last_used: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    sequence: u64,
    events: Vec<CacheEvent>,
}

/// Maximum number of events buffered between two reports.
const MAX_EVENTS: usize = 64;

impl PrefixCache {
    /// Creates a cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            last_used: HashMap::new(),
            by_last_use: BTreeMap::new(),
            sequence: 0,
            events: Vec::new(),
        }
    }

    /// Looks up a prefix and returns the number of its leading tokens that are cached. Then
    /// inserts all blocks of the prefix and evicts the least recently used blocks.
    pub(crate) fn touch(&mut self, hashes: &[u64]) -> u32 {
        let cached = hashes
            .iter()
            .take_while(|hash| self.last_used.contains_key(hash));
        let hits = cached.count();
        let mut stored = Vec::new();
        for hash in hashes {
            self.clock += 1;
            match self.last_used.insert(*hash, self.clock) {
                Some(previous) => {
                    self.by_last_use.remove(&previous);
                }
                None => stored.push(*hash),
            }
            self.by_last_use.insert(self.clock, *hash);
        }
        let evicted = self.evict();
        self.record_event(stored, evicted);
        hits as u32 * BLOCK_TOKENS
    }

    fn evict(&mut self) -> Vec<u64> {
        let mut evicted = Vec::new();
        while self.last_used.len() > self.capacity {
            let Some((_, hash)) = self.by_last_use.pop_first() else {
                break;
            };
            self.last_used.remove(&hash);
            evicted.push(hash);
        }
        evicted
    }

    fn record_event(&mut self, stored: Vec<u64>, evicted: Vec<u64>) {
        if stored.is_empty() && evicted.is_empty() {
            return;
        }
        let event = CacheEvent {
            sequence: self.sequence,
            stored,
            evicted,
        };
        self.sequence += 1;
        self.events.push(event);
        if self.events.len() > MAX_EVENTS {
            self.events.remove(0);
        }
    }

    /// Returns the events since the last call. If the buffer overflowed, the oldest events are
    /// missing, and the sequence numbers have a gap.
    pub(crate) fn take_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }
}
