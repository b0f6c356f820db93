//! Which prompts this node sent where: what it knows of caches for certain.

use brasspond_types::EngineName;
use std::collections::{HashMap, VecDeque};

/// Blocks remembered.
const MOST_BLOCKS: usize = 16_384;

/// The engine each prompt block was last sent to, newest blocks only.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentPrefixes {
    engines: HashMap<u64, EngineName>,
    order: VecDeque<u64>,
}

impl SentPrefixes {
    /// Remembers that a prompt was sent to an engine.
    pub(crate) fn remember(&mut self, prefix: &[u64], engine: &EngineName) {
        for block in prefix {
            if self.engines.insert(*block, engine.clone()).is_none() {
                self.order.push_back(*block);
            }
        }
        while self.order.len() > MOST_BLOCKS {
            if let Some(oldest) = self.order.pop_front() {
                self.engines.remove(&oldest);
            }
        }
    }

    /// The engine that got the longest part of the prompt, and how many blocks.
    pub(crate) fn find(&self, prefix: &[u64]) -> Option<(&EngineName, usize)> {
        let found = |length: &usize| self.engines.contains_key(&prefix[length - 1]);
        let longest = (1..=prefix.len()).rev().find(found)?;
        let engine = self.engines.get(&prefix[longest - 1])?;
        Some((engine, longest))
    }
}
