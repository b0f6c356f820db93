//! Copies of steps that this node receives from other holders.

use super::Steps;
use crate::context::Context;
use crate::versions::Versions;
use brasspond_protocol::{PeerMessage, StepMessage};
use brasspond_rollout::StepSpec;
use brasspond_types::{NodeName, Sample, StepId};
use std::sync::Arc;

impl Steps {
    /// Stores the specification of a step, unless the step is closed. Acknowledges it in any case.
    pub(super) fn store_spec_copy(
        &mut self,
        from: &NodeName,
        spec: Arc<StepSpec>,
        active_slots: Vec<u32>,
        context: &mut Context<'_>,
    ) {
        let id = spec.id.clone();
        let acknowledgement = StepMessage::SpecCopied(id.clone());
        context.send(from, PeerMessage::Step(acknowledgement));
        if self.closed.contains_key(&id) {
            return;
        }
        let entry = match self.entries.contains_key(&id) {
            true => self.entries.get_mut(&id),
            false => Some(self.get_or_insert(spec, context)),
        };
        let Some(entry) = entry else {
            return;
        };
        entry.copies.set_source(from);
        entry.set_remote_slots(from, active_slots, context.now);
    }

    /// Stores copied samples and acknowledges them. Samples of a step that is neither known nor
    /// closed are not acknowledged, so that the sender repeats them.
    pub(super) fn store_results_copy(
        &mut self,
        from: &NodeName,
        step: StepId,
        samples: Vec<Arc<Sample>>,
        versions: &Versions,
        context: &mut Context<'_>,
    ) {
        let slots = samples.iter().map(|sample| sample.slot).collect();
        let is_closed = self.closed.contains_key(&step);
        if let Some(entry) = self.entries.get_mut(&step) {
            for sample in samples {
                let slot = sample.slot;
                entry.remote_slots.remove(&slot);
                if entry.step.finish(sample) {
                    entry.copies.add_results(&[slot], Some(from));
                }
            }
        } else if !is_closed {
            return;
        }
        let acknowledgement = StepMessage::ResultsCopied {
            step: step.clone(),
            slots,
        };
        context.send(from, PeerMessage::Step(acknowledgement));
        self.answer_pending(&step, versions, context);
    }
}
