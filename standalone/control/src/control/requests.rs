//! Requests from callers and trainers.

use super::{Control, NOT_READY_RETRY};
use crate::context::Context;
use crate::event::{GenerateRequest, Refusal, RefusalKind, Reply, RequestId};
use crate::generation::{GenerationEnd, GenerationSpec, Purpose};
use brasspond_idempotency::ClaimKey;
use brasspond_protocol::StepRequest;
use brasspond_routing::{estimate_tokens, prefix_hashes};
use brasspond_types::{Mutation, Timestamp};
use std::sync::Arc;

impl Control {
    /// Begins a trainer's request about a step. A draining node still accepts such requests, since
    /// it forwards them to the step's home node.
    pub(super) fn begin_step(&mut self, request: RequestId, body: StepRequest, now: Timestamp) {
        if !self.is_ready() && !self.draining {
            self.reject_not_ready(request, now);
            return;
        }
        with_context!(self, now, |context| self
            .steps
            .begin(request, body, context));
    }

    pub(super) fn begin_claim(&mut self, request: RequestId, key: ClaimKey, now: Timestamp) {
        if !self.is_ready() {
            self.reject_not_ready(request, now);
            return;
        }
        with_context!(self, now, |context| self
            .claims
            .begin(request, key, context));
    }

    pub(super) fn reject_not_ready(&mut self, request: RequestId, now: Timestamp) {
        let refusal = Refusal {
            kind: RefusalKind::NotReady,
            not_run: true,
            retry_after: NOT_READY_RETRY,
        };
        with_context!(self, now, |context| {
            context.reply(request, Reply::Refused(refusal));
        });
    }

    pub(super) fn generate(&mut self, request: RequestId, body: &GenerateRequest, now: Timestamp) {
        if !self.is_ready() {
            self.reject_not_ready(request, now);
            return;
        }
        let prefix = prefix_hashes(body.model.as_str(), &body.prompt);
        let spec = GenerationSpec {
            purpose: Purpose::Caller(request),
            group: body.group.clone(),
            model: body.model.clone(),
            prompt: Arc::clone(&body.prompt),
            prefix: prefix.into(),
            prompt_tokens: estimate_tokens(&body.prompt),
            max_tokens: body.max_tokens,
            expected_tokens: f64::from(body.max_tokens) / 2.0,
            priority: body.priority,
            seed: body.seed,
            minimum_version: body.minimum_version,
            deadline: now + body.time_limit,
            resume: brasspond_rollout::Partial::default(),
        };
        with_context!(self, now, |context| {
            self.generations
                .begin(spec, &mut self.engines, &mut self.owners, context);
        });
    }

    pub(super) fn handle_generation_end(&mut self, end: GenerationEnd, now: Timestamp) {
        match end {
            GenerationEnd::Finished {
                purpose,
                generated,
                reason,
            } => match purpose {
                Purpose::Caller(request) => with_context!(self, now, |context| {
                    context.reply(request, Reply::Generated);
                }),
                Purpose::Slot(sample) => with_context!(self, now, |context| {
                    self.steps
                        .handle_finished(&sample, generated, reason, &self.versions, context);
                    if self.readiness.is_ready() {
                        self.steps.place_slots(
                            &self.versions,
                            &mut self.generations,
                            &mut self.engines,
                            &mut self.owners,
                            context,
                        );
                    }
                }),
            },
            GenerationEnd::Refused {
                purpose,
                mut refusal,
            } => match purpose {
                Purpose::Caller(request) => with_context!(self, now, |context| {
                    let faulty = context.parameters.mutations.is_on(Mutation::ClaimNotRun);
                    refusal.not_run |= faulty;
                    context.reply(request, Reply::Refused(refusal));
                }),
                Purpose::Slot(sample) => self.steps.handle_refused(&sample),
            },
        }
    }
}
