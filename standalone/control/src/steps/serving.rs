//! What the home of a step answers its trainer.

use super::{FORWARD_LIMIT, Parked, Steps, answer};
use crate::context::Context;
use crate::versions::Versions;
use brasspond_protocol::{PeerMessage, StepMessage, StepReply, StepRequest, StepRequestId};
use brasspond_rollout::StepSpec;
use brasspond_types::{NodeName, StepId};
use std::sync::Arc;
use std::time::Duration;

impl Steps {
    /// Serves a trainer's request at the home.
    pub(super) fn serve(
        &mut self,
        from: &NodeName,
        id: StepRequestId,
        request: StepRequest,
        versions: &mut Versions,
        context: &mut Context<'_>,
    ) {
        let step = request.step().clone();
        let is_home = Self::holders(&step, context).first() == Some(context.me);
        if !is_home {
            answer(from, id, StepReply::NotHome, context);
            return;
        }
        match &request {
            StepRequest::Open {
                spec,
                newest_version,
            } => {
                versions.hear(&spec.model, *newest_version, context.now);
                if let Some(refusal) = self.open(spec, context) {
                    answer(from, id, refusal, context);
                    return;
                }
            }
            StepRequest::Fetch { newest_version, .. } => {
                if let Some(entry) = self.entries.get(&step) {
                    versions.hear(&entry.step.spec().model, *newest_version, context.now);
                }
            }
            StepRequest::Close(_) => {
                self.close(&step, context);
                answer(from, id, StepReply::Closed, context);
                return;
            }
        }
        let Some(entry) = self.entries.get_mut(&step) else {
            answer(from, id, StepReply::Unknown, context);
            return;
        };
        let wait = match &request {
            StepRequest::Fetch {
                wait_milliseconds, ..
            } => u64::from(*wait_milliseconds),
            _ => FORWARD_LIMIT.as_millis() as u64,
        };
        entry
            .parked
            .retain(|parked| parked.id != id || parked.from != *from);
        entry.parked.push(Parked {
            from: from.clone(),
            id,
            request,
            until: context.now + Duration::from_millis(wait),
        });
        self.answer_parked(&step, versions, context);
    }

    /// Opens a step here, or says why not.
    pub(super) fn open(
        &mut self,
        spec: &Arc<StepSpec>,
        context: &Context<'_>,
    ) -> Option<StepReply> {
        if let Some(entry) = self.entries.get(&spec.id) {
            let is_same = entry.step.spec() == spec;
            return (!is_same).then_some(StepReply::Conflict);
        }
        let group = context.catalogue.group(spec.id.group.as_str());
        let most = group.map_or(1, |group| group.limits.open_steps);
        let open = self.entries.values();
        let open =
            open.filter(|entry| entry.is_home && entry.step.spec().id.group == spec.id.group);
        if open.count() >= most as usize {
            return Some(StepReply::TooManySteps);
        }
        self.closed.remove(&spec.id);
        self.insert(Arc::clone(spec), context);
        None
    }

    pub(super) fn close(&mut self, step: &StepId, context: &mut Context<'_>) {
        if let Some(entry) = self.entries.get(step) {
            let by = context.me.clone();
            for holder in entry.copies.keepers() {
                let message = StepMessage::Drop {
                    step: step.clone(),
                    by: by.clone(),
                };
                context.send(&holder, PeerMessage::Step(message));
            }
        }
        self.drop_step(step, context.now);
    }

    /// Answers what waits at a step and can be answered now.
    pub(super) fn answer_parked(
        &mut self,
        step: &StepId,
        versions: &Versions,
        context: &mut Context<'_>,
    ) {
        let Some(entry) = self.entries.get_mut(step) else {
            return;
        };
        let mut waiting = Vec::new();
        for parked in std::mem::take(&mut entry.parked) {
            let is_late = parked.until <= context.now;
            match entry.try_answer(&parked.request, is_late, versions, context) {
                Some((reply, stale)) => {
                    self.stale_slots += stale;
                    answer(&parked.from, parked.id, reply, context);
                }
                None => waiting.push(parked),
            }
        }
        entry.parked = waiting;
    }
}
