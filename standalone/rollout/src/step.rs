//! One training step, at its home node or at a node that holds a copy.

use crate::{Cursor, LengthModel};
use brasspond_types::{
    ModelName, Mutation, Mutations, PromptDigest, Sample, StepId, VersionSpan, WeightVersion,
    oldest_version, total_tokens,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A prompt of a step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Prompt {
    /// Text given to the model.
    pub text: Arc<str>,
}

/// Specification of a step, as the trainer requested it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Identity of the step.
    pub id: StepId,
    /// Model to sample from.
    pub model: ModelName,
    /// Prompts, in slot order.
    pub prompts: Vec<Prompt>,
    /// Number of samples per prompt.
    pub samples_per_prompt: u32,
    /// Maximum length of an answer, in tokens.
    pub max_tokens: u32,
}

impl StepSpec {
    /// Number of slots, one per requested sample.
    pub fn slots(&self) -> u32 {
        self.prompts.len() as u32 * self.samples_per_prompt
    }

    /// Index of the prompt of a slot.
    pub(crate) fn prompt_index(&self, slot: u32) -> usize {
        (slot / self.samples_per_prompt.max(1)) as usize
    }

    /// Prompt of a slot.
    pub fn prompt(&self, slot: u32) -> &Prompt {
        &self.prompts[self.prompt_index(slot)]
    }
}

/// Output of an interrupted attempt, which another engine can continue.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Partial {
    /// Spans of tokens with the weight version that generated each.
    pub spans: Vec<VersionSpan>,
    /// Generated text.
    pub text: String,
    /// Log-probabilities of the generated tokens.
    pub log_probabilities: Vec<f32>,
}

/// State of a slot.
#[derive(Clone, Debug, PartialEq)]
pub enum SlotState {
    /// The slot waits for placement.
    Pending,
    /// An attempt is in progress.
    Active,
    /// The sample is finished.
    Done(Arc<Sample>),
}

/// Samples selected for one reply to a trainer.
#[derive(Clone, Debug, PartialEq)]
pub struct FetchedSamples {
    /// The samples.
    pub samples: Vec<Arc<Sample>>,
    /// Cursor for the next request.
    pub cursor: Cursor,
    /// Slots whose samples were too old and are generated again.
    pub stale: Vec<u32>,
}

/// Progress of a step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct StepSummary {
    /// Total number of slots.
    pub slots: u32,
    /// Slots that wait for placement.
    pub pending: u32,
    /// Slots with an attempt in progress.
    pub active: u32,
    /// Finished slots.
    pub done: u32,
    /// Tokens that were generated and discarded.
    pub wasted_tokens: u64,
}

/// A step and the state of its slots.
#[derive(Debug)]
pub struct Step {
    spec: Arc<StepSpec>,
    slots: Vec<SlotState>,
    /// Output of interrupted attempts, by slot.
    partials: BTreeMap<u32, Partial>,
    /// Pending slots by prompt index.
    pending: BTreeMap<usize, BTreeSet<u32>>,
    pending_count: usize,
    /// Digests of the prompts, which are the keys of the length model.
    digests: Vec<PromptDigest>,
    /// Number of attempts at slots of each prompt that were started at this node.
    started_slots: Vec<u32>,
    active: u32,
    wasted_tokens: u64,
    mutations: Mutations,
}

impl Step {
    /// Creates a step with all slots pending.
    pub fn new(spec: Arc<StepSpec>, mutations: Mutations) -> Self {
        let slots = spec.slots();
        let digests: Vec<PromptDigest> = spec
            .prompts
            .iter()
            .map(|prompt| PromptDigest::of(&prompt.text))
            .collect();
        let mut pending: BTreeMap<usize, BTreeSet<u32>> = BTreeMap::new();
        for slot in 0..slots {
            pending
                .entry(spec.prompt_index(slot))
                .or_default()
                .insert(slot);
        }
        Self {
            spec,
            slots: vec![SlotState::Pending; slots as usize],
            partials: BTreeMap::new(),
            pending,
            pending_count: slots as usize,
            started_slots: vec![0; digests.len()],
            digests,
            active: 0,
            wasted_tokens: 0,
            mutations,
        }
    }

    /// Specification of the step.
    pub fn spec(&self) -> &Arc<StepSpec> {
        &self.spec
    }

    /// Digest of a slot's prompt, which is the prompt's key in the length model.
    pub fn digest(&self, slot: u32) -> PromptDigest {
        self.digests[self.spec.prompt_index(slot)]
    }

    fn mark_pending(&mut self, slot: u32) {
        self.slots[slot as usize] = SlotState::Pending;
        let prompt = self.spec.prompt_index(slot);
        let slots = self.pending.entry(prompt).or_default();
        self.pending_count += usize::from(slots.insert(slot));
    }

    fn remove_pending(&mut self, slot: u32) {
        let prompt = self.spec.prompt_index(slot);
        if let Some(slots) = self.pending.get_mut(&prompt) {
            self.pending_count -= usize::from(slots.remove(&slot));
            if slots.is_empty() {
                self.pending.remove(&prompt);
            }
        }
    }

    /// State of a slot.
    pub fn slot(&self, slot: u32) -> Option<&SlotState> {
        self.slots.get(slot as usize)
    }

    /// All finished samples.
    pub fn results(&self) -> impl Iterator<Item = &Arc<Sample>> {
        self.slots.iter().filter_map(|state| match state {
            SlotState::Done(sample) => Some(sample),
            _ => None,
        })
    }

    /// Numbers of slots by state, and the discarded tokens.
    pub fn summary(&self) -> StepSummary {
        let slots = self.spec.slots();
        let pending = self.pending_count as u32;
        StepSummary {
            slots,
            pending,
            active: self.active,
            done: slots - pending - self.active,
            wasted_tokens: self.wasted_tokens,
        }
    }

    /// Takes the next pending slot and marks it active.
    ///
    /// One slot of each prompt without a known length goes first, so that the length becomes
    /// known, then the slots with the longest expected answers (Graham, *Bounds
    /// on Multiprocessing Timing Anomalies*, 1969: longest processing time first).
    pub fn take_next(&mut self, lengths: &LengthModel) -> Option<u32> {
        let prompt = self.next_prompt(lengths)?;
        let slot = *self.pending.get(&prompt)?.first()?;
        self.remove_pending(slot);
        self.slots[slot as usize] = SlotState::Active;
        self.started_slots[prompt] += 1;
        self.active += 1;
        Some(slot)
    }

    fn next_prompt(&self, lengths: &LengthModel) -> Option<usize> {
        let expected = |prompt: usize| match lengths.prompt_mean(self.digests[prompt]) {
            Some(length) => length,
            None if self.started_slots[prompt] == 0 => f64::INFINITY,
            None => lengths.mean(),
        };
        let prompts = self
            .pending
            .keys()
            .map(|prompt| (expected(*prompt), *prompt));
        let longest = prompts.reduce(|best, next| if next.0 > best.0 { next } else { best });
        longest.map(|(_, prompt)| prompt)
    }

    /// Takes the output of an interrupted attempt at the slot. Output with a version below
    /// `minimum` is discarded.
    pub fn take_partial(&mut self, slot: u32, minimum: WeightVersion) -> Option<Partial> {
        let partial = self.partials.remove(&slot)?;
        if oldest_version(&partial.spans).is_none_or(|oldest| oldest >= minimum) {
            return Some(partial);
        }
        self.wasted_tokens += total_tokens(&partial.spans);
        None
    }

    /// Makes an active slot pending again after an attempt without a complete answer. `partial` is
    /// the output that the next attempt can continue.
    pub fn return_slot(&mut self, slot: u32, partial: Option<Partial>) {
        if self.slot(slot) != Some(&SlotState::Active) {
            return;
        }
        self.active -= 1;
        self.mark_pending(slot);
        if let Some(partial) = partial {
            self.partials.insert(slot, partial);
        }
    }

    /// Records a finished sample, generated by this node or copied from a peer. Returns whether the
    /// step has the slot and it was unfinished. The sample of a finished slot is discarded.
    pub fn finish(&mut self, sample: Arc<Sample>) -> bool {
        let slot = sample.slot;
        match self.slots.get(slot as usize) {
            None => return false,
            Some(SlotState::Done(_)) => {
                self.wasted_tokens += total_tokens(&sample.spans);
                return false;
            }
            Some(SlotState::Active) => self.active -= 1,
            Some(SlotState::Pending) => self.remove_pending(slot),
        }
        self.partials.remove(&slot);
        self.slots[slot as usize] = SlotState::Done(sample);
        true
    }

    /// Returns up to `count` finished samples that `cursor` does not contain, with the cursor that
    /// includes them. Samples with a span older than `minimum` are discarded and their slots become
    /// pending.
    pub fn fetch(
        &mut self,
        cursor: &Cursor,
        minimum: WeightVersion,
        count: usize,
    ) -> FetchedSamples {
        let mut fetched = FetchedSamples {
            samples: Vec::new(),
            cursor: cursor.clone(),
            stale: Vec::new(),
        };
        for slot in 0..self.slots.len() as u32 {
            if fetched.samples.len() >= count {
                break;
            }
            let is_held = cursor.contains(slot) && !self.mutations.is_on(Mutation::IgnoreCursor);
            let SlotState::Done(sample) = &self.slots[slot as usize] else {
                continue;
            };
            if is_held {
                continue;
            }
            let is_stale = sample
                .oldest_version()
                .is_some_and(|oldest| oldest < minimum);
            if is_stale && !self.mutations.is_on(Mutation::SkipStalenessCheck) {
                fetched.stale.push(slot);
                continue;
            }
            fetched.cursor.insert(slot);
            fetched.samples.push(Arc::clone(sample));
        }
        for slot in &fetched.stale {
            self.discard_sample(*slot);
        }
        fetched
    }

    /// Discards finished samples with a span older than `minimum` that `cursor` does not contain.
    /// Their slots become pending. Returns the number of discarded samples.
    pub fn discard_stale(&mut self, cursor: &Cursor, minimum: WeightVersion) -> u32 {
        if self.mutations.is_on(Mutation::SkipStalenessCheck) {
            return 0;
        }
        let is_stale = |state: &SlotState| match state {
            SlotState::Done(sample) => sample
                .oldest_version()
                .is_some_and(|oldest| oldest < minimum),
            _ => false,
        };
        let slots = 0..self.slots.len() as u32;
        let stale: Vec<u32> = slots
            .filter(|slot| is_stale(&self.slots[*slot as usize]) && !cursor.contains(*slot))
            .collect();
        for slot in &stale {
            self.discard_sample(*slot);
        }
        stale.len() as u32
    }

    /// Discards the sample of a finished slot and makes the slot pending.
    fn discard_sample(&mut self, slot: u32) {
        if let SlotState::Done(sample) = &self.slots[slot as usize] {
            self.wasted_tokens += total_tokens(&sample.spans);
            self.mark_pending(slot);
        }
    }
}
