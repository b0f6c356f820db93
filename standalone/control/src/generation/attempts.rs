//! Attempts to generate on engines: progress, completion and retries.

use super::{
    GenerationEnd, Generations, MAX_FAILURES, PLACEMENT_BACKOFF, Purpose, State, served_cost,
};
use crate::context::Context;
use crate::event::{AttemptId, RefusalKind};
use brasspond_engine_api::AttemptUpdate;
use brasspond_rollout::Partial;
use brasspond_routing::EngineTable;
use brasspond_types::{FinishReason, Mutation, WeightVersion};

impl Generations {
    /// Handles the progress or end of an attempt.
    pub(crate) fn handle_attempt(
        &mut self,
        attempt: AttemptId,
        update: AttemptUpdate,
        engines: &mut EngineTable,
        context: &mut Context<'_>,
    ) {
        let Some(id) = self.by_ticket.get(&attempt.0).copied() else {
            return;
        };
        match update {
            AttemptUpdate::Progress { oldest } => self.record_progress(id, oldest),
            AttemptUpdate::Finished { generated, reason } => {
                self.handle_finished(id, generated, reason, engines, context);
            }
            AttemptUpdate::Failed { generated, not_run } => {
                self.handle_failed(id, generated, not_run, engines, context);
            }
        }
    }

    pub(super) fn record_progress(&mut self, id: u64, reported: WeightVersion) {
        let generation = self.live.get_mut(&id);
        if let Some(State::Running { oldest, .. }) =
            generation.map(|generation| &mut generation.state)
        {
            *oldest = Some(oldest.map_or(reported, |oldest| oldest.min(reported)));
        }
    }

    pub(super) fn handle_finished(
        &mut self,
        id: u64,
        generated: Partial,
        reason: FinishReason,
        engines: &mut EngineTable,
        context: &mut Context<'_>,
    ) {
        let Some(generation) = self.live.remove(&id) else {
            return;
        };
        if let State::Running { engine, .. } = &generation.state
            && let Some(engine) = engines.get_mut(engine)
        {
            engine.health.record_success();
        }
        let served = served_cost(&generation.spec, &generated);
        self.release_grant(&generation.state, served, false, false, context);
        let purpose = generation.spec.purpose;
        self.ended.push(GenerationEnd::Finished {
            purpose,
            generated,
            reason,
        });
    }

    /// Schedules a retry that continues the generated output. A caller's request is refused instead
    /// after [`MAX_FAILURES`] failures or without retry budget; a slot without budget waits longer.
    pub(super) fn handle_failed(
        &mut self,
        id: u64,
        generated: Partial,
        not_run: bool,
        engines: &mut EngineTable,
        context: &mut Context<'_>,
    ) {
        let Some(generation) = self.live.get_mut(&id) else {
            return;
        };
        let delivers_partial = context.parameters.mutations.is_on(Mutation::DeliverPartial);
        if delivers_partial && !generated.spans.is_empty() {
            self.handle_finished(id, generated, FinishReason::Stop, engines, context);
            return;
        }
        let state = std::mem::replace(&mut generation.state, State::Waiting);
        if let State::Running { engine, .. } = &state {
            generation.avoid.push(engine.clone());
            if let Some(engine) = engines.get_mut(engine) {
                engine.health.record_failure(context.now);
            }
        }
        generation.failures += 1;
        generation.may_have_run |= !not_run;
        let served = served_cost(&generation.spec, &generated);
        generation.spec.resume = generated;
        let is_caller = matches!(generation.spec.purpose, Purpose::Caller(_));
        let failures = generation.failures;
        self.release_grant(&state, served, true, false, context);
        let may_retry = self.budget.withdraw(context.now);
        if is_caller && (failures >= MAX_FAILURES || !may_retry) {
            self.refuse(id, RefusalKind::Failed, context);
            return;
        }
        let delay = PLACEMENT_BACKOFF.delay(failures, context.random);
        let delay = if may_retry {
            delay
        } else {
            delay + PLACEMENT_BACKOFF.cap
        };
        self.schedule(id, context.now + delay);
    }
}
