//! An emulated inference engine with continuous batching.

mod decoding;

use crate::cache::PrefixCache;
use crate::text::{LengthDistribution, completion_length};
use brasspond_engine_api::{Command, EngineCall, EngineOrder, EngineReport, OrderOutcome};
use brasspond_fairness::Priority;
use brasspond_resource::SwapPolicy;
use brasspond_types::{
    EngineName, FinishReason, ModelName, NodeName, Timestamp, WeightVersion, total_tokens,
};
use displaydoc::Display;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Speed, capacity and failure rate of an engine.
#[derive(Clone, Debug)]
pub struct EngineParameters {
    /// Maximum number of sequences in the batch.
    pub max_running: u32,
    /// Base duration of a decoding step.
    pub step_base: Duration,
    /// Additional time per sequence in the batch, in nanoseconds.
    pub step_per_sequence_nanos: u64,
    /// Additional time per context token in the batch, in nanoseconds.
    pub step_per_context_token_nanos: u64,
    /// Time to prefill one token, in nanoseconds.
    pub prefill_per_token_nanos: u64,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Delay with which reports show the numbers of running and waiting requests.
    pub report_lag: Duration,
    /// Time for which a weight swap pauses decoding.
    pub swap_pause: Duration,
    /// Probability that a weight swap fails. The engine then serves, with equal probability,
    /// the old version or the version before the ordered one.
    pub swap_failure: f64,
    /// Distribution of completion lengths.
    pub lengths: LengthDistribution,
}

impl Default for EngineParameters {
    fn default() -> Self {
        Self {
            max_running: 64,
            step_base: Duration::from_millis(8),
            step_per_sequence_nanos: 60_000,
            step_per_context_token_nanos: 20,
            prefill_per_token_nanos: 40_000,
            cache_blocks: 8_192,
            report_lag: Duration::from_millis(200),
            swap_pause: Duration::from_millis(50),
            swap_failure: 0.0,
            lengths: LengthDistribution::default(),
        }
    }
}

/// Event that [`Engine::advance`] returns.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// The engine generated tokens for a request.
    Tokens {
        /// Identifier of the request.
        id: u64,
        /// Index of the first of these tokens in the completion.
        start: u32,
        /// Number of tokens.
        count: u32,
        /// Weight version that generated the tokens.
        version: WeightVersion,
    },
    /// A request is finished.
    Finished {
        /// Identifier of the request.
        id: u64,
        /// Why generation ended.
        reason: FinishReason,
    },
}

/// Why an engine rejects a request without starting it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum SubmitRefusal {
    /// the model is not loaded
    ModelNotLoaded,
    /// a request with this id is already running or waiting
    Duplicate,
}

impl std::error::Error for SubmitRefusal {}

#[derive(Clone, Debug)]
struct Sequence {
    id: u64,
    call: EngineCall,
    generated: u32,
    length: u32,
    reason: FinishReason,
}

#[derive(Clone, Debug)]
struct Loading {
    version: WeightVersion,
    ready: Timestamp,
    swap: SwapPolicy,
}

/// Emulated inference engine that serves several models from one batch.
#[derive(Clone, Debug)]
pub struct Engine {
    name: EngineName,
    parameters: EngineParameters,
    clock: Timestamp,
    models: BTreeMap<ModelName, WeightVersion>,
    loading: BTreeMap<ModelName, Loading>,
    running: Vec<Sequence>,
    waiting: BTreeMap<Priority, VecDeque<Sequence>>,
    context_tokens: u64,
    cache: PrefixCache,
    epoch: u64,
    holder: Option<NodeName>,
    leaving: bool,
    reports: VecDeque<(Timestamp, EngineReport)>,
    events: Vec<EngineEvent>,
    random: ChaCha8Rng,
}

impl Engine {
    /// Creates an idle engine that serves `models`.
    pub fn new(
        name: EngineName,
        parameters: EngineParameters,
        models: BTreeMap<ModelName, WeightVersion>,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        let cache = PrefixCache::new(parameters.cache_blocks);
        Self {
            name,
            parameters,
            clock: now,
            models,
            loading: BTreeMap::new(),
            running: Vec::new(),
            waiting: BTreeMap::new(),
            context_tokens: 0,
            cache,
            epoch: 0,
            holder: None,
            leaving: false,
            reports: VecDeque::new(),
            events: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the name of the engine.
    pub fn name(&self) -> &EngineName {
        &self.name
    }

    /// Returns the served version of each model.
    pub fn models(&self) -> &BTreeMap<ModelName, WeightVersion> {
        &self.models
    }

    /// Returns the number of running and waiting requests.
    pub fn load(&self) -> usize {
        self.running.len() + self.waiting_count()
    }

    /// Sets the probability that a weight swap fails.
    pub fn set_swap_failure(&mut self, probability: f64) {
        self.parameters.swap_failure = probability;
    }

    /// Marks the engine as about to stop in its reports. Running and waiting requests continue,
    /// and the engine still accepts new ones.
    pub fn leave(&mut self, now: Timestamp) {
        self.step_until(now);
        self.leaving = true;
    }

    fn waiting_count(&self) -> usize {
        self.waiting.values().map(VecDeque::len).sum()
    }

    /// Adds a request to the waiting queue of its priority.
    ///
    /// # Errors
    /// The model is not loaded, or a request with the same identifier exists.
    pub fn submit(
        &mut self,
        id: u64,
        call: EngineCall,
        now: Timestamp,
    ) -> Result<(), SubmitRefusal> {
        self.step_until(now);
        if !self.models.contains_key(&call.model) {
            return Err(SubmitRefusal::ModelNotLoaded);
        }
        let mut sequences = self.running.iter().chain(self.waiting.values().flatten());
        if sequences.any(|sequence| sequence.id == id) {
            return Err(SubmitRefusal::Duplicate);
        }
        let unlimited_length =
            completion_length(&self.parameters.lengths, &call.prompt, call.seed, u32::MAX);
        let length = unlimited_length.min(call.max_tokens);
        let reason = if unlimited_length > call.max_tokens {
            FinishReason::Length
        } else {
            FinishReason::Stop
        };
        let generated = (total_tokens(&call.resume.spans) as u32).min(length.saturating_sub(1));
        let queue = self.waiting.entry(call.priority).or_default();
        queue.push_back(Sequence {
            id,
            call,
            generated,
            length,
            reason,
        });
        Ok(())
    }

    /// Removes a running or waiting request; unknown identifiers are ignored.
    pub fn cancel(&mut self, id: u64, now: Timestamp) {
        self.step_until(now);
        for queue in self.waiting.values_mut() {
            queue.retain(|sequence| sequence.id != id);
        }
        let position = self.running.iter().position(|sequence| sequence.id == id);
        if let Some(position) = position {
            let sequence = self.running.swap_remove(position);
            self.context_tokens -= context_length(&sequence);
        }
    }

    /// Checks the fencing token of an order and executes the order. For [`Command::Load`],
    /// `transfer` is the duration of the weight transfer, or the outcome to return if the
    /// source cannot start the transfer.
    pub fn order(
        &mut self,
        order: &EngineOrder,
        transfer: Result<Duration, OrderOutcome>,
        now: Timestamp,
    ) -> OrderOutcome {
        self.step_until(now);
        let same_holder = self.holder.as_ref() == Some(&order.holder);
        if order.epoch < self.epoch || (order.epoch == self.epoch && !same_holder) {
            return OrderOutcome::Fenced { epoch: self.epoch };
        }
        self.epoch = order.epoch;
        self.holder = Some(order.holder.clone());
        self.reports.clear();
        if let Command::Load {
            model,
            version,
            swap,
            ..
        } = &order.command
        {
            let transfer = match transfer {
                Ok(transfer) => transfer,
                Err(outcome) => return outcome,
            };
            let loading = Loading {
                version: *version,
                ready: now + transfer,
                swap: *swap,
            };
            self.loading.insert(model.clone(), loading);
        }
        OrderOutcome::Accepted
    }

    /// Returns the report of the engine. The numbers of running and waiting requests come from
    /// the latest report that is at least `report_lag` old, if there is one since the last order
    /// with a valid fencing token. All other fields are current.
    pub fn report(&mut self, now: Timestamp) -> EngineReport {
        self.step_until(now);
        let loading = self.loading.iter();
        let current = EngineReport {
            epoch: self.epoch,
            holder: self.holder.clone(),
            running: self.running.len() as u32,
            waiting: self.waiting_count() as u32,
            max_running: self.parameters.max_running,
            models: self.models.clone(),
            loading: loading
                .map(|(model, loading)| (model.clone(), loading.version))
                .collect(),
            leaving: self.leaving,
            cache_events: self.cache.take_events(),
        };
        let mut lagged = current.clone();
        self.reports.push_back((now, current));
        let horizon = now - self.parameters.report_lag;
        while self.reports.len() > 1 && self.reports[1].0 <= horizon {
            self.reports.pop_front();
        }
        if let Some((at, old)) = self.reports.front()
            && *at <= horizon
        {
            lagged.running = old.running;
            lagged.waiting = old.waiting;
        }
        lagged
    }

    /// Estimates the time of the next event if the engine receives no further calls. Returns
    /// `None` if no request is running or waiting and no weights are in transfer.
    pub fn next_event(&self) -> Option<Timestamp> {
        let pending = self
            .loading
            .values()
            .filter(|loading| loading.ready > self.clock);
        let swap = pending.map(|loading| loading.ready).min();
        let has_work = !self.running.is_empty() || self.waiting_count() > 0;
        let finish = has_work.then(|| {
            let steps = self
                .running
                .iter()
                .map(|sequence| sequence.length - sequence.generated);
            let steps = if self.can_admit() {
                1
            } else {
                steps.min().unwrap_or(1)
            };
            self.clock + self.step_time(0) * steps
        });
        match (swap, finish) {
            (Some(swap), Some(finish)) => Some(swap.min(finish)),
            (swap, finish) => swap.or(finish),
        }
    }

    /// Runs the engine up to `now` and returns the events since the last call.
    pub fn advance(&mut self, now: Timestamp) -> Vec<EngineEvent> {
        self.step_until(now);
        std::mem::take(&mut self.events)
    }
}

/// Number of context tokens of a sequence, which are the prompt and the output so far.
fn context_length(sequence: &Sequence) -> u64 {
    u64::from(sequence.call.prompt_tokens) + u64::from(sequence.generated)
}
