//! Prompt prefixes as chains of block hashes, and the cache events that engines publish.

use brasspond_types::stable_hash;
use serde::{Deserialize, Serialize};

/// Number of tokens in one cache block; a common block size of prefix caches.
pub const BLOCK_TOKENS: u32 = 16;
/// Bytes of text that count as one token, since the node has no tokenizer.
const BYTES_PER_TOKEN: usize = 4;

/// Estimates the number of tokens of a text from its length in bytes.
pub fn estimate_tokens(text: &str) -> u32 {
    text.len().div_ceil(BYTES_PER_TOKEN) as u32
}

/// Hashes of the text's full blocks. Each hash also covers the model and all text before its block,
/// so equal hashes imply equal prefixes.
pub fn prefix_hashes(model: &str, text: &str) -> Vec<u64> {
    let block_bytes = BLOCK_TOKENS as usize * BYTES_PER_TOKEN;
    let mut previous = stable_hash(&[model.as_bytes()]);
    let blocks = text.as_bytes().chunks_exact(block_bytes);
    let hashes = blocks.map(|block| {
        previous = stable_hash(&[&previous.to_le_bytes(), block]);
        previous
    });
    hashes.collect()
}

/// A change of an engine's prefix cache, as the engine publishes it. Events may
/// be late or lost; the sequence numbers show gaps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Consecutive number of the event.
    pub sequence: u64,
    /// Hashes of blocks that were added to the cache.
    pub stored: Vec<u64>,
    /// Hashes of blocks that were evicted.
    pub evicted: Vec<u64>,
}
