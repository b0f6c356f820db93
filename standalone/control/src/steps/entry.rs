//! State and decisions of one step at a node.

use super::{
    DECODE_TIME_PER_TOKEN, MAX_SAMPLES_PER_FETCH, PROGRESS_REPORT_PERIOD, PROGRESS_REPORT_TIMEOUT,
    RemoteSlot, SLOT_TIMEOUT, StepState, TAIL_FRACTION,
};
use crate::context::Context;
use crate::generation::{GenerationSpec, Generations, Purpose};
use crate::versions::Versions;
use brasspond_fairness::Priority;
use brasspond_membership::MemberState;
use brasspond_protocol::{PeerMessage, StepMessage, StepReply, StepRequest};
use brasspond_rollout::{Cursor, LengthModel};
use brasspond_routing::{estimate_tokens, prefix_hashes};
use brasspond_types::{Mutation, NodeName, SampleId, Timestamp, WeightVersion, stable_hash};
use std::sync::Arc;

impl StepState {
    /// Replaces the slots that `node`, a former home node, still generates. Slots that it no longer
    /// reports become pending, unless they are finished.
    pub(super) fn set_remote_slots(
        &mut self,
        node: &NodeName,
        active_slots: Vec<u32>,
        now: Timestamp,
    ) {
        let ended: Vec<u32> = self
            .remote_slots
            .iter()
            .filter(|(slot, remote)| remote.node == *node && !active_slots.contains(slot))
            .map(|(slot, _)| *slot)
            .collect();
        self.reclaim_slots(ended);
        for slot in active_slots {
            let node = node.clone();
            self.remote_slots.insert(
                slot,
                RemoteSlot {
                    node,
                    reported_at: now,
                },
            );
        }
    }

    /// Reclaims the slots of former home nodes that failed or stopped reporting.
    pub(super) fn reclaim_lost_slots(&mut self, context: &Context<'_>) {
        let is_lost = |remote: &RemoteSlot| {
            let member = context.membership.get(&remote.node);
            let is_silent = context.now.since(remote.reported_at) >= PROGRESS_REPORT_TIMEOUT;
            is_silent || member.is_none_or(|member| member.state >= MemberState::Suspect)
        };
        let lost: Vec<u32> = self
            .remote_slots
            .iter()
            .filter(|(_, remote)| is_lost(remote))
            .map(|(slot, _)| *slot)
            .collect();
        self.reclaim_slots(lost);
    }

    /// Reports the slots that this node, a former home node, still generates to the home node.
    pub(super) fn report_progress(&mut self, context: &mut Context<'_>) {
        if self.generations.is_empty() || context.now < self.progress_report_due {
            return;
        }
        self.progress_report_due = context.now + PROGRESS_REPORT_PERIOD;
        let slots: Vec<u32> = self.generations.keys().copied().collect();
        for target in self.copies.targets() {
            let step = self.step.spec().id.clone();
            let slots = slots.clone();
            let message = StepMessage::UnderWay { step, slots };
            context.send(&target, PeerMessage::Step(message));
        }
    }

    /// Makes slots of former home nodes pending again, unless this node generates them itself.
    pub(super) fn reclaim_slots(&mut self, slots: Vec<u32>) {
        for slot in slots {
            self.remote_slots.remove(&slot);
            if !self.generations.contains_key(&slot) {
                self.step.return_slot(slot, None);
            }
        }
    }

    /// Sets the copy targets according to the step's holders.
    pub(super) fn set_targets(&mut self, holders: &[NodeName], node_name: &NodeName) {
        let results: Vec<u32> = self.step.results().map(|sample| sample.slot).collect();
        let others = holders.iter().filter(|holder| *holder != node_name);
        let has_local_work = !self.generations.is_empty();
        self.copies.set_targets(
            others.cloned().collect(),
            &results,
            self.is_home,
            has_local_work,
        );
    }

    /// Returns the reply and the number of stale samples that were discarded, or `None` while the
    /// request has to wait. A request whose wait time is over (`is_late`) is always answered.
    pub(super) fn try_answer(
        &mut self,
        request: &StepRequest,
        is_late: bool,
        versions: &Versions,
        context: &Context<'_>,
    ) -> Option<(StepReply, u64)> {
        let StepRequest::Fetch { cursor, count, .. } = request else {
            let is_durable = self.copies.is_spec_safe();
            let reply = StepReply::Opened(self.step.summary());
            return (is_durable || is_late).then_some((reply, 0));
        };
        let spec = Arc::clone(self.step.spec());
        let parsed = match cursor.as_str() {
            "" => Ok(Cursor::empty(&spec.id, spec.slots())),
            text => text.parse(),
        };
        let checked = parsed
            .and_then(|cursor: Cursor| cursor.belongs_to(&spec.id, spec.slots()).map(|()| cursor));
        let Ok(cursor) = checked else {
            return Some((StepReply::BadCursor, 0));
        };
        let minimum = versions.minimum_to_deliver(context.catalogue, &spec.id.group, &spec.model);
        let count = (*count).min(MAX_SAMPLES_PER_FETCH) as usize;
        let fetched = self.step.fetch(&cursor, minimum, count);
        let stale = fetched.stale.len() as u64;
        self.cursor = cursor;
        let has_samples = !fetched.samples.is_empty() || fetched.cursor.is_complete();
        if !has_samples && !is_late {
            return None;
        }
        let reply = StepReply::Samples {
            samples: fetched.samples,
            cursor: fetched.cursor.to_string(),
            complete: fetched.cursor.is_complete(),
            summary: self.step.summary(),
        };
        Some((reply, stale))
    }

    /// Discards finished samples and running generations whose weight versions are too old, and
    /// raises the minimum version of the remaining generations. Returns the number of discarded
    /// samples and generations.
    pub(super) fn discard_stale(
        &mut self,
        versions: &Versions,
        generations: &mut Generations,
        context: &mut Context<'_>,
    ) -> u64 {
        let spec = Arc::clone(self.step.spec());
        if context
            .parameters
            .mutations
            .is_on(Mutation::SkipStalenessCheck)
        {
            return 0;
        }
        let minimum = versions.minimum_to_deliver(context.catalogue, &spec.id.group, &spec.model);
        let stale_samples = self.step.discard_stale(&self.cursor, minimum);
        let is_stale = |id: &u64| {
            let oldest = generations.oldest_version(*id);
            oldest.is_some_and(|oldest: WeightVersion| oldest < minimum)
        };
        let stale_generations: Vec<(u32, u64)> = self
            .generations
            .iter()
            .filter(|(_, id)| is_stale(id))
            .map(|(slot, id)| (*slot, *id))
            .collect();
        for (slot, id) in &stale_generations {
            generations.cancel(*id, context);
            self.generations.remove(slot);
            self.step.return_slot(*slot, None);
        }
        for id in self.generations.values() {
            generations.raise_minimum(*id, minimum);
        }
        u64::from(stale_samples) + stale_generations.len() as u64
    }

    /// Cancels the generations that are not running yet, since another node became home, and makes
    /// their slots pending. Running generations continue; their results are copied to the new home.
    pub(super) fn stop_placing(
        &mut self,
        generations: &mut Generations,
        context: &mut Context<'_>,
    ) {
        let queued: Vec<(u32, u64)> = self
            .generations
            .iter()
            .filter(|(_, id)| generations.is_queued(**id))
            .map(|(slot, id)| (*slot, *id))
            .collect();
        for (slot, id) in queued {
            generations.cancel(id, context);
            self.generations.remove(&slot);
            self.step.return_slot(slot, None);
        }
        self.copies.mark_spec_changed();
    }

    /// Builds the specification of a slot's generation. Output of an interrupted attempt is resumed
    /// if its versions may still be delivered.
    pub(super) fn generation_spec(
        &mut self,
        slot: u32,
        lengths: &LengthModel,
        versions: &Versions,
        context: &Context<'_>,
    ) -> GenerationSpec {
        let spec = Arc::clone(self.step.spec());
        let group = &spec.id.group;
        let prompt_mean = lengths.prompt_mean(self.step.digest(slot));
        let expected_tokens = prompt_mean.unwrap_or(lengths.mean());
        let longest = lengths.longest().unwrap_or(expected_tokens);
        let longest_time = DECODE_TIME_PER_TOKEN.mul_f64(longest.min(f64::from(spec.max_tokens)));
        let minimum_to_deliver = versions.minimum_to_deliver(context.catalogue, group, &spec.model);
        let minimum_to_start = versions.minimum_to_start(
            context.catalogue,
            group,
            &spec.model,
            longest_time,
            context.now,
        );
        let resume = self
            .step
            .take_partial(slot, minimum_to_deliver)
            .unwrap_or_default();
        let summary = self.step.summary();
        let unfinished = f64::from(summary.pending + summary.active);
        let is_tail = unfinished <= f64::from(summary.slots) * TAIL_FRACTION;
        let prompt = Arc::clone(&spec.prompt(slot).text);
        let prefix = prefix_hashes(spec.model.as_str(), &prompt).into();
        let sample = SampleId {
            step: spec.id.clone(),
            slot,
        };
        let seed = stable_hash(&[sample.to_string().as_bytes()]);
        GenerationSpec {
            group: group.clone(),
            model: spec.model.clone(),
            prompt_tokens: estimate_tokens(&prompt),
            prompt,
            prefix,
            max_tokens: spec.max_tokens,
            expected_tokens,
            priority: if is_tail {
                Priority::Tail
            } else {
                Priority::Rollout
            },
            seed,
            minimum_version: minimum_to_start,
            deadline: context.now + SLOT_TIMEOUT,
            resume,
            purpose: Purpose::Slot(sample),
        }
    }
}
