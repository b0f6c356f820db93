//! Admission of requests to the batch, decoding steps, and weight swaps between the steps.

use super::{Engine, EngineEvent, Sequence, context_length};
use brasspond_resource::SwapPolicy;
use brasspond_types::{ModelName, Timestamp, WeightVersion};
use rand::Rng;
use std::time::Duration;

impl Engine {
    pub(super) fn can_admit(&self) -> bool {
        self.waiting_count() > 0 && self.running.len() < self.parameters.max_running as usize
    }

    /// Duration of one decoding step of the current batch, which includes the prefill of
    /// `prefill_tokens` tokens.
    pub(super) fn step_time(&self, prefill_tokens: u64) -> Duration {
        let batch = self.running.len() as u64 * self.parameters.step_per_sequence_nanos;
        let context = self.context_tokens * self.parameters.step_per_context_token_nanos;
        let prefill = prefill_tokens * self.parameters.prefill_per_token_nanos;
        self.parameters.step_base + Duration::from_nanos(batch + context + prefill)
    }

    /// Runs the engine until the next decoding step would end after `now`. The clock passes
    /// `now` if a prefill or a swap pause ends later.
    pub(super) fn step_until(&mut self, now: Timestamp) {
        while self.clock < now {
            self.activate_ready_versions();
            let prefill = self.admit();
            if self.running.is_empty() {
                let ready_times = self.loading.values().map(|loading| loading.ready);
                let next_swap = ready_times.filter(|ready| *ready > self.clock).min();
                self.clock = next_swap.map_or(now, |ready| ready.min(now));
                self.activate_ready_versions();
                continue;
            }
            if !self.run_steps(prefill, now) {
                return;
            }
        }
    }

    /// Moves waiting requests into the batch and returns the number of tokens to prefill.
    pub(super) fn admit(&mut self) -> u64 {
        let mut prefill = 0;
        while self.running.len() < self.parameters.max_running as usize {
            let Some(sequence) = self.next_admissible() else {
                break;
            };
            let cached = self.cache.touch(&sequence.call.prefix);
            let needed = context_length(&sequence);
            prefill += needed.saturating_sub(u64::from(cached));
            self.context_tokens += needed;
            self.running.push(sequence);
        }
        prefill
    }

    /// Removes and returns the first waiting request whose model is not draining for a swap.
    pub(super) fn next_admissible(&mut self) -> Option<Sequence> {
        let draining: Vec<ModelName> = self
            .loading
            .iter()
            .filter(|(_, loading)| loading.swap == SwapPolicy::Drain && loading.ready <= self.clock)
            .map(|(model, _)| model.clone())
            .collect();
        for queue in self.waiting.values_mut() {
            let position = queue
                .iter()
                .position(|sequence| !draining.contains(&sequence.call.model));
            if let Some(position) = position {
                return queue.remove(position);
            }
        }
        None
    }

    /// Prefills `prefill` tokens and runs decoding steps until a sequence finishes, loading
    /// weights are ready, `MAX_STEPS` steps are done or the next step would end after `now`.
    /// Returns `false` if no step fits before `now`.
    pub(super) fn run_steps(&mut self, prefill: u64, now: Timestamp) -> bool {
        /// Maximum number of steps computed at once. All of them take the duration of the first
        /// step, which ignores the tokens that the others add to the context.
        const MAX_STEPS: u64 = 64;
        if prefill > 0 {
            let time = Duration::from_nanos(prefill * self.parameters.prefill_per_token_nanos);
            self.clock = self.clock + time;
            if self.clock >= now {
                return false;
            }
        }
        let step = self.step_time(0);
        let time_left = now.since(self.clock);
        let fitting = (time_left.as_nanos() / step.as_nanos().max(1)) as u64;
        if fitting == 0 {
            return false;
        }
        let remaining = self
            .running
            .iter()
            .map(|sequence| sequence.length - sequence.generated);
        let remaining = u64::from(remaining.min().unwrap_or(1)).max(1);
        let until_swap = self.steps_until_swap(step);
        let steps = fitting.min(remaining).min(until_swap).min(MAX_STEPS) as u32;
        self.clock = self.clock + step * steps;
        self.generate(steps);
        true
    }

    /// Number of decoding steps until the next weights are ready; `u64::MAX` if no weights are
    /// in transfer.
    pub(super) fn steps_until_swap(&self, step: Duration) -> u64 {
        let pending = self
            .loading
            .values()
            .filter(|loading| loading.ready > self.clock);
        let first = pending.map(|loading| loading.ready.since(self.clock)).min();
        first.map_or(u64::MAX, |wait| {
            (wait.as_nanos() / step.as_nanos().max(1)) as u64 + 1
        })
    }

    /// Adds `steps` tokens to each running sequence and removes the finished sequences.
    pub(super) fn generate(&mut self, steps: u32) {
        let mut index = 0;
        while index < self.running.len() {
            let sequence = &mut self.running[index];
            let version = self
                .models
                .get(&sequence.call.model)
                .copied()
                .unwrap_or_default();
            self.events.push(EngineEvent::Tokens {
                id: sequence.id,
                start: sequence.generated,
                count: steps,
                version,
            });
            sequence.generated += steps;
            self.context_tokens += u64::from(steps);
            if sequence.generated < sequence.length {
                index += 1;
                continue;
            }
            let sequence = self.running.swap_remove(index);
            self.context_tokens -= context_length(&sequence);
            self.events.push(EngineEvent::Finished {
                id: sequence.id,
                reason: sequence.reason,
            });
        }
    }

    /// Activates weight versions whose transfer is complete. With [`SwapPolicy::Drain`], a
    /// version also waits until no sequence of its model is running.
    pub(super) fn activate_ready_versions(&mut self) {
        let ready: Vec<ModelName> = self
            .loading
            .iter()
            .filter(|(model, loading)| {
                let must_drain = loading.swap == SwapPolicy::Drain;
                let is_running = |sequence: &Sequence| sequence.call.model == **model;
                loading.ready <= self.clock && !(must_drain && self.running.iter().any(is_running))
            })
            .map(|(model, _)| model.clone())
            .collect();
        for model in ready {
            let Some(loading) = self.loading.remove(&model) else {
                continue;
            };
            self.clock = self.clock + self.parameters.swap_pause;
            let fails = self.random.random_bool(self.parameters.swap_failure);
            if fails {
                let keeps_old = self.random.random_bool(0.5);
                if !keeps_old {
                    let other = WeightVersion(loading.version.0.saturating_sub(1));
                    self.models.insert(model, other);
                }
                continue;
            }
            self.models.insert(model, loading.version);
        }
    }
}
