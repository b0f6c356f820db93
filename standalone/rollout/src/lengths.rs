//! Estimates of answer lengths from finished answers.

use brasspond_types::PromptDigest;
use std::collections::HashMap;

/// Expected tokens of an answer before the first one is finished.
const INITIAL_MEAN_TOKENS: f64 = 256.0;
/// Weight of the newest answer in the running mean over all prompts.
const MEAN_SMOOTHING: f64 = 0.02;
/// Fraction by which the longest length decays with each answer.
const LONGEST_DECAY: f64 = 0.0005;
/// Maximum number of prompts whose lengths are kept. The answers to further prompts only count in
/// the estimates over all prompts.
const MAX_PROMPTS: usize = 65_536;

/// Answer lengths of one group, by prompt and over all prompts, in tokens.
///
/// Prompts recur from step to step, so the lengths of one step order the slots
/// of the next.
#[derive(Clone, Debug)]
pub struct LengthModel {
    /// Mean length and bounded number of answers, by prompt.
    by_prompt: HashMap<PromptDigest, (f64, u32)>,
    mean: f64,
    longest: f64,
}

impl Default for LengthModel {
    fn default() -> Self {
        Self {
            by_prompt: HashMap::new(),
            mean: INITIAL_MEAN_TOKENS,
            longest: 0.0,
        }
    }
}

impl LengthModel {
    /// Records the length of a finished answer, in tokens.
    pub fn record(&mut self, prompt: PromptDigest, tokens: f64) {
        /// Upper bound of the answer count, so that the mean of a prompt follows recent answers.
        const MAX_PROMPT_SAMPLES: u32 = 32;
        self.mean += (tokens - self.mean) * MEAN_SMOOTHING;
        self.longest = (self.longest * (1.0 - LONGEST_DECAY)).max(tokens);
        if self.by_prompt.len() >= MAX_PROMPTS && !self.by_prompt.contains_key(&prompt) {
            return;
        }
        let (mean, count) = self.by_prompt.entry(prompt).or_insert((tokens, 0));
        *count = (*count + 1).min(MAX_PROMPT_SAMPLES);
        *mean += (tokens - *mean) / f64::from(*count);
    }

    /// Mean length of the answers to a prompt, if any is known.
    pub fn prompt_mean(&self, prompt: PromptDigest) -> Option<f64> {
        self.by_prompt.get(&prompt).map(|(mean, _)| *mean)
    }

    /// Mean length over all prompts.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Decaying maximum of the lengths over all prompts, if any is known.
    pub fn longest(&self) -> Option<f64> {
        (self.longest > 0.0).then_some(self.longest)
    }
}
