//! Prompt prefixes as chains of block hashes, and which an engine has cached.

use brasspond_types::stable_hash;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;

/// Tokens in one cache block.
pub const BLOCK_TOKENS: u32 = 16;
/// Characters a token is assumed to have where no tokenizer is at hand.
const CHARACTERS_PER_TOKEN: usize = 4;

/// Estimates the number of tokens of a text.
pub fn estimate_tokens(text: &str) -> u32 {
    text.len().div_ceil(CHARACTERS_PER_TOKEN) as u32
}

/// Hashes of the text's full blocks; each hash covers all text before it, so
/// equal hashes mean equal prefixes.
pub fn prefix_hashes(model: &str, text: &str) -> Vec<u64> {
    let block_bytes = BLOCK_TOKENS as usize * CHARACTERS_PER_TOKEN;
    let mut previous = stable_hash(&[model.as_bytes()]);
    let blocks = text.as_bytes().chunks_exact(block_bytes);
    let hashes = blocks.map(|block| {
        previous = stable_hash(&[&previous.to_le_bytes(), block]);
        previous
    });
    hashes.collect()
}

/// A change of an engine's prefix cache, as the engine publishes it: late, and
/// sometimes not at all. Sequence numbers show the gaps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Consecutive number of the event.
    pub sequence: u64,
    /// Block hashes now cached.
    pub stored: Vec<u64>,
    /// Block hashes evicted.
    pub evicted: Vec<u64>,
}

/// What one engine is believed to have cached.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    blocks: HashSet<u64>,
    next_sequence: u64,
    uncertain: bool,
}

impl PrefixIndex {
    /// Takes in an event. After a gap the index only counts as a hint until
    /// [`PrefixIndex::reset`], since evictions may have been missed.
    pub fn apply(&mut self, event: &CacheEvent) {
        if event.sequence < self.next_sequence {
            return;
        }
        if event.sequence > self.next_sequence {
            self.uncertain = true;
        }
        self.next_sequence = event.sequence + 1;
        for block in &event.evicted {
            self.blocks.remove(block);
        }
        self.blocks.extend(&event.stored);
    }

    /// Forgets everything, as after a restart of the engine.
    pub fn reset(&mut self, next_sequence: u64) {
        self.blocks.clear();
        self.next_sequence = next_sequence;
        self.uncertain = false;
    }

    /// Whether events were missed.
    pub fn is_uncertain(&self) -> bool {
        self.uncertain
    }

    /// Tokens of the prefix believed cached; half of them while uncertain.
    pub fn cached_tokens(&self, hashes: &[u64]) -> u32 {
        let cached = hashes.iter().take_while(|hash| self.blocks.contains(hash));
        let tokens = cached.count() as u32 * BLOCK_TOKENS;
        if self.uncertain { tokens / 2 } else { tokens }
    }
}
