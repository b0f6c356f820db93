//! Which prompts this node sent where: what it knows of caches for certain.

use brasspond_types::EngineName;
use std::collections::{HashMap, VecDeque};

/// Prefixes remembered; not measured.
const MOST_PREFIXES: usize = 16_384;

/// The engine each prompt prefix was last sent to, newest ones only.
///
/// Of a prompt's prefixes only those of 1, 2, 4, 8, ... blocks and the whole
/// are remembered, so the cost grows with the logarithm of its length.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentPrefixes {
    engines: HashMap<u64, EngineName>,
    order: VecDeque<u64>,
}

/// Lengths of the prefixes remembered of a prompt of `blocks` blocks, longest
/// first.
fn lengths(blocks: usize) -> impl Iterator<Item = usize> {
    let powers = (0..usize::BITS).rev().map(|power| 1usize << power);
    let shorter = powers.filter(move |length| *length < blocks);
    (blocks > 0).then_some(blocks).into_iter().chain(shorter)
}

impl SentPrefixes {
    /// Remembers that a prompt was sent to an engine.
    pub(crate) fn remember(&mut self, prefix: &[u64], engine: &EngineName) {
        for length in lengths(prefix.len()) {
            let hash = prefix[length - 1];
            if self.engines.insert(hash, engine.clone()).is_none() {
                self.order.push_back(hash);
            }
        }
        while self.order.len() > MOST_PREFIXES {
            if let Some(oldest) = self.order.pop_front() {
                self.engines.remove(&oldest);
            }
        }
    }

    /// The engine that got the longest part of the prompt, and how many blocks.
    pub(crate) fn find(&self, prefix: &[u64]) -> Option<(&EngineName, usize)> {
        lengths(prefix.len()).find_map(|length| {
            let engine = self.engines.get(&prefix[length - 1])?;
            Some((engine, length))
        })
    }
}
