//! Handling of trainers' requests at the home node of a step.

use super::{FORWARD_TIMEOUT, PendingRequest, Steps, answer};
use crate::context::Context;
use crate::versions::Versions;
use brasspond_protocol::{PeerMessage, StepMessage, StepReply, StepRequest, StepRequestId};
use brasspond_rollout::StepSpec;
use brasspond_types::{NodeName, StepId};
use std::sync::Arc;
use std::time::Duration;

impl Steps {
    /// Handles a trainer's request that a node forwarded to this one. Replies `NotHome` if another
    /// node is the step's home.
    pub(super) fn serve(
        &mut self,
        from: &NodeName,
        id: StepRequestId,
        request: StepRequest,
        versions: &mut Versions,
        context: &mut Context<'_>,
    ) {
        let step = request.step().clone();
        let is_home = Self::holders(&step, context).first() == Some(context.node_name);
        if !is_home {
            answer(from, id, StepReply::NotHome, context);
            return;
        }
        match &request {
            StepRequest::Open {
                spec,
                newest_version,
            } => {
                versions.record(&spec.model, *newest_version, context.now);
                if let Some(refusal) = self.open(spec, context) {
                    answer(from, id, refusal, context);
                    return;
                }
            }
            StepRequest::Fetch { newest_version, .. } => {
                if let Some(entry) = self.entries.get(&step) {
                    versions.record(&entry.step.spec().model, *newest_version, context.now);
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
            _ => FORWARD_TIMEOUT.as_millis() as u64,
        };
        entry
            .pending_requests
            .retain(|pending| pending.id != id || pending.from != *from);
        entry.pending_requests.push(PendingRequest {
            from: from.clone(),
            id,
            request,
            expires: context.now + Duration::from_millis(wait),
        });
        self.answer_pending(&step, versions, context);
    }

    /// Opens a step at this node, its home. Returns a reply if the step is refused.
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
        let max_steps = group.map_or(1, |group| group.limits.open_steps);
        let open = self.entries.values();
        let open =
            open.filter(|entry| entry.is_home && entry.step.spec().id.group == spec.id.group);
        if open.count() >= max_steps as usize {
            return Some(StepReply::TooManySteps);
        }
        self.closed.remove(&spec.id);
        self.get_or_insert(Arc::clone(spec), context);
        None
    }

    /// Drops a step at this node and at its copy targets.
    pub(super) fn close(&mut self, step: &StepId, context: &mut Context<'_>) {
        if let Some(entry) = self.entries.get(step) {
            let by = context.node_name.clone();
            for holder in entry.copies.targets() {
                let message = StepMessage::Drop {
                    step: step.clone(),
                    by: by.clone(),
                };
                context.send(&holder, PeerMessage::Step(message));
            }
        }
        self.drop_step(step, context.now);
    }

    /// Answers the pending requests of a step that can be answered now.
    pub(super) fn answer_pending(
        &mut self,
        step: &StepId,
        versions: &Versions,
        context: &mut Context<'_>,
    ) {
        let Some(entry) = self.entries.get_mut(step) else {
            return;
        };
        let mut unanswered = Vec::new();
        for pending in std::mem::take(&mut entry.pending_requests) {
            let is_late = pending.expires <= context.now;
            match entry.try_answer(&pending.request, is_late, versions, context) {
                Some((reply, stale)) => {
                    self.stale_discards += stale;
                    answer(&pending.from, pending.id, reply, context);
                }
                None => unanswered.push(pending),
            }
        }
        entry.pending_requests = unanswered;
    }
}
