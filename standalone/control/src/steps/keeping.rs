//! Copies of steps that this node keeps for their home.

use super::Steps;
use crate::context::Context;
use crate::versions::Versions;
use brasspond_protocol::{PeerMessage, StepMessage};
use brasspond_rollout::StepSpec;
use brasspond_types::{NodeName, Sample, StepId};
use std::sync::Arc;

impl Steps {
    pub(super) fn keep_spec(
        &mut self,
        from: &NodeName,
        spec: Arc<StepSpec>,
        under_way: Vec<u32>,
        context: &mut Context<'_>,
    ) {
        let id = spec.id.clone();
        let copied = StepMessage::SpecCopied(id.clone());
        context.send(from, PeerMessage::Step(copied));
        if self.closed.contains_key(&id) {
            return;
        }
        let entry = match self.entries.contains_key(&id) {
            true => self.entries.get_mut(&id),
            false => Some(self.insert(spec, context)),
        };
        let Some(entry) = entry else {
            return;
        };
        entry.copies.came_from(from);
        entry.set_elsewhere(from, under_way, context.now);
    }

    pub(super) fn keep_results(
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
                entry.elsewhere.remove(&slot);
                if entry.step.finish(sample) {
                    entry.copies.add_results(&[slot], Some(from));
                }
            }
        } else if !is_closed {
            return;
        }
        let copied = StepMessage::ResultsCopied {
            step: step.clone(),
            slots,
        };
        context.send(from, PeerMessage::Step(copied));
        self.answer_parked(&step, versions, context);
    }
}
