//! Prompt prefixes that this node sent to engines.

use brasspond_types::EngineName;
use std::collections::{HashMap, VecDeque};

/// Maximum number of prefixes kept.
const MAX_PREFIXES: usize = 16_384;

/// The engine to which each recent prompt prefix was last sent.
///
/// Of each prompt, only the prefixes of 1, 2, 4, 8, ... blocks and the longest one are kept, so
/// recording and finding a prompt take time logarithmic in its length.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentPrefixes {
    engines: HashMap<u64, EngineName>,
    insertion_order: VecDeque<u64>,
}

/// Lengths, in blocks, of the prefixes that are kept of a prompt with `blocks` full blocks, longest
/// first.
fn prefix_lengths(blocks: usize) -> impl Iterator<Item = usize> {
    let powers = (0..usize::BITS).rev().map(|power| 1usize << power);
    let shorter = powers.filter(move |length| *length < blocks);
    (blocks > 0).then_some(blocks).into_iter().chain(shorter)
}

impl SentPrefixes {
    /// Records that a prompt was sent to an engine.
    pub(crate) fn remember(&mut self, prefix: &[u64], engine: &EngineName) {
        for length in prefix_lengths(prefix.len()) {
            let hash = prefix[length - 1];
            if self.engines.insert(hash, engine.clone()).is_none() {
                self.insertion_order.push_back(hash);
            }
        }
        while self.insertion_order.len() > MAX_PREFIXES {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.engines.remove(&oldest);
            }
        }
    }

    /// The engine that received the longest known prefix of the prompt, and the
    /// length of that prefix in blocks.
    pub(crate) fn find(&self, prefix: &[u64]) -> Option<(&EngineName, usize)> {
        prefix_lengths(prefix.len()).find_map(|length| {
            let engine = self.engines.get(&prefix[length - 1])?;
            Some((engine, length))
        })
    }
}
