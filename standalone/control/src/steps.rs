//! Training steps at this node.
//!
//! In a training step a trainer requests a batch of samples. The step has one slot per
//! sample; a slot is finished when its sample has been generated. Rendezvous hashing
//! selects the nodes that hold a step. The first of these holders is the home node,
//! which places the step's slots on engines and answers the trainer. The other holders
//! keep copies.

mod copies;
mod entry;
mod requests;
mod serving;

use crate::context::Context;
use crate::event::RequestId;
use crate::generation::Generations;
use crate::owner_table::OwnerTable;
use crate::step_copies::StepCopies;
use crate::versions::Versions;
use brasspond_protocol::{PeerMessage, StepMessage, StepReply, StepRequest, StepRequestId};
use brasspond_rollout::{Cursor, LengthModel, Partial, Step, StepSpec};
use brasspond_routing::{EngineTable, rank_distinct_zones};
use brasspond_types::{
    FinishReason, GroupName, Mutation, NodeName, Sample, SampleId, StepId, Timestamp, total_tokens,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Number of nodes that hold a step, including the home node. A copied sample survives the loss of
/// two nodes.
const HOLDER_COUNT: usize = 3;
/// Time limit of a forwarded request. If the trainer allows the request to wait for samples, that
/// wait time is added. Longer than membership needs to detect a failed home node (2 to 4 s).
const FORWARD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between repeats of a forwarded request.
const FORWARD_RESEND_PERIOD: Duration = Duration::from_millis(400);
/// Time for which a closed step is remembered, so that a late copy does not reopen it.
const CLOSED_RETENTION: Duration = Duration::from_secs(600);
/// A slot gets tail priority when at most this fraction of its step's slots is unfinished.
const TAIL_FRACTION: f64 = 0.1;
/// Time after which a slot whose generation waits for an engine becomes pending again. The limit
/// is not checked while an attempt runs.
const SLOT_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Number of queued slots that each step may have, even if few engines are configured.
const MIN_QUEUED_SLOTS: usize = 8;
/// Expected time to decode one token, for estimates of the duration of an answer. Equals the time
/// that `SpeedEstimate::default` yields for a batch of 25 sequences.
const DECODE_TIME_PER_TOKEN: Duration = Duration::from_micros(9_500);
/// Time between two reports in which a former home node lists the slots that it still generates.
const PROGRESS_REPORT_PERIOD: Duration = Duration::from_secs(2);
/// Time without a report of a former home node after which the home node makes the slots pending
/// again that the former home node generated. Equals three report periods.
const PROGRESS_REPORT_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum number of samples in one answer to a trainer.
const MAX_SAMPLES_PER_FETCH: u32 = 256;

/// A trainer's request that the home node has not answered yet.
#[derive(Debug)]
struct PendingRequest {
    from: NodeName,
    id: StepRequestId,
    request: StepRequest,
    expires: Timestamp,
}

/// A slot that a former home node still generates.
#[derive(Debug)]
struct RemoteSlot {
    node: NodeName,
    reported_at: Timestamp,
}

/// A step at this node, with its generations, copies and pending requests.
#[derive(Debug)]
struct StepState {
    step: Step,
    is_home: bool,
    copies: StepCopies,
    /// Cursor of the trainer's last request.
    cursor: Cursor,
    /// Numbers of the generations in progress at this node, by slot.
    generations: BTreeMap<u32, u64>,
    /// Slots that former home nodes still generate.
    remote_slots: BTreeMap<u32, RemoteSlot>,
    progress_report_due: Timestamp,
    pending_requests: Vec<PendingRequest>,
}

/// A trainer's request that this node forwarded to the home node.
#[derive(Debug)]
struct Forwarded {
    request: RequestId,
    body: StepRequest,
    forwarded_at: Timestamp,
    expires: Timestamp,
}

/// All steps at this node.
#[derive(Debug)]
pub(crate) struct Steps {
    entries: BTreeMap<StepId, StepState>,
    closed: BTreeMap<StepId, Timestamp>,
    forwarded: BTreeMap<u64, Forwarded>,
    next_forward: u64,
    /// Answer lengths of each group, learned from slots placed by this node.
    lengths: BTreeMap<GroupName, LengthModel>,
    stale_discards: u64,
}

impl Steps {
    pub(crate) fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
            closed: BTreeMap::new(),
            forwarded: BTreeMap::new(),
            next_forward: 1,
            lengths: BTreeMap::new(),
            stale_discards: 0,
        }
    }

    /// Number of finished samples and running generations that were discarded because their weight
    /// versions were too old.
    pub(crate) fn stale_discards(&self) -> u64 {
        self.stale_discards
    }

    /// Number of steps whose home is this node, and number of all steps at this node.
    pub(crate) fn step_counts(&self) -> (usize, usize) {
        let homes = self.entries.values().filter(|entry| entry.is_home);
        (homes.count(), self.entries.len())
    }

    /// Whether this node can stop without losing work: no forwarded request is unanswered, no slot
    /// is in progress here, and the copy targets have acknowledged all steps and results.
    pub(crate) fn is_drained(&self) -> bool {
        let done = |entry: &StepState| entry.copies.is_complete() && entry.generations.is_empty();
        self.forwarded.is_empty() && self.entries.values().all(done)
    }

    /// Nodes that hold a step, the home node first. The steps of a group have the same holders.
    fn holders(step: &StepId, context: &Context<'_>) -> Vec<NodeName> {
        let key = format!("group:{}", step.group);
        let members = context.working.references();
        let holders = rank_distinct_zones(&key, &members, HOLDER_COUNT);
        holders
            .into_iter()
            .map(|member| member.name.clone())
            .collect()
    }

    /// Handles a message about a step.
    pub(crate) fn handle(
        &mut self,
        from: &NodeName,
        message: StepMessage,
        versions: &mut Versions,
        context: &mut Context<'_>,
    ) {
        match message {
            StepMessage::Request { id, request } => {
                self.serve(from, id, request, versions, context);
            }
            StepMessage::Reply { id, reply } => {
                // Replies to an earlier process of this node are ignored. A request answered with
                // `NotHome` is kept and resent until it expires.
                if id.instance == context.instance && reply != StepReply::NotHome {
                    self.handle_reply(id.number, reply, context);
                }
            }
            StepMessage::CopySpec {
                spec,
                under_way: active_slots,
            } => {
                self.store_spec_copy(from, spec, active_slots, context);
            }
            StepMessage::CopyResults { step, samples } => {
                self.store_results_copy(from, step, samples, versions, context);
            }
            StepMessage::UnderWay {
                step,
                slots: active_slots,
            } => {
                if let Some(entry) = self.entries.get_mut(&step) {
                    entry.set_remote_slots(from, active_slots, context.now);
                }
            }
            StepMessage::SpecCopied(step) => {
                if let Some(entry) = self.entries.get_mut(&step) {
                    entry.copies.confirm_spec(from);
                    self.answer_pending(&step, versions, context);
                }
            }
            StepMessage::ResultsCopied { step, slots } => {
                if let Some(entry) = self.entries.get_mut(&step) {
                    entry.copies.confirm_results(from, &slots);
                }
            }
            StepMessage::Drop { step, .. } => self.drop_step(&step, context.now),
        }
    }

    fn drop_step(&mut self, step: &StepId, now: Timestamp) {
        self.entries.remove(step);
        self.closed.insert(step.clone(), now);
    }

    /// Returns the entry of a step after an update of its home and copy targets. A step without an
    /// entry is added with all slots pending.
    fn get_or_insert(&mut self, spec: Arc<StepSpec>, context: &Context<'_>) -> &mut StepState {
        let id = spec.id.clone();
        let holders = Self::holders(&id, context);
        let cursor = Cursor::empty(&id, spec.slots());
        let step = Step::new(spec, context.parameters.mutations.clone());
        let entry = self.entries.entry(id).or_insert(StepState {
            step,
            is_home: false,
            copies: StepCopies::default(),
            cursor,
            generations: BTreeMap::new(),
            remote_slots: BTreeMap::new(),
            progress_report_due: Timestamp::ZERO,
            pending_requests: Vec::new(),
        });
        entry.is_home = holders.first() == Some(context.node_name);
        entry.set_targets(&holders, context.node_name);
        entry
    }

    /// Records the sample of a finished generation and answers the requests that waited for it.
    pub(crate) fn handle_finished(
        &mut self,
        id: &SampleId,
        generated: Partial,
        reason: FinishReason,
        versions: &Versions,
        context: &mut Context<'_>,
    ) {
        let Some(entry) = self.entries.get_mut(&id.step) else {
            return;
        };
        entry.generations.remove(&id.slot);
        let lengths = self.lengths.entry(id.step.group.clone()).or_default();
        let tokens = total_tokens(&generated.spans) as f64;
        lengths.record(entry.step.digest(id.slot), tokens);
        let mut generated = generated;
        if context.parameters.mutations.is_on(Mutation::LabelAsOrdered) {
            let version = versions.newest(&entry.step.spec().model);
            for span in &mut generated.spans {
                span.version = version;
            }
        }
        let sample = Sample {
            slot: id.slot,
            spans: generated.spans,
            text: generated.text,
            finish_reason: reason,
            log_probabilities: generated.log_probabilities,
        };
        if entry.step.finish(Arc::new(sample)) {
            entry.copies.add_results(&[id.slot], None);
        }
        self.answer_pending(&id.step, versions, context);
    }

    /// Makes a slot pending again after its generation was refused.
    pub(crate) fn handle_refused(&mut self, id: &SampleId) {
        if let Some(entry) = self.entries.get_mut(&id.step) {
            entry.generations.remove(&id.slot);
            entry.step.return_slot(id.slot, None);
        }
    }

    /// Updates homes and copy targets after a change of membership, and reclaims the slots of
    /// failed nodes.
    pub(crate) fn reassign(&mut self, generations: &mut Generations, context: &mut Context<'_>) {
        for (id, entry) in &mut self.entries {
            let holders = Self::holders(id, context);
            let was_home = entry.is_home;
            entry.is_home = holders.first() == Some(context.node_name);
            entry.set_targets(&holders, context.node_name);
            entry.reclaim_lost_slots(context);
            if was_home && !entry.is_home {
                entry.stop_placing(generations, context);
            }
        }
    }

    /// Resends unanswered requests and unacknowledged copies. At the home node of a step, reclaims
    /// lost slots and discards stale samples and generations; at its other holders, reports the
    /// slots that are still generated. Then answers pending requests and places slots.
    pub(crate) fn tick(
        &mut self,
        versions: &Versions,
        generations: &mut Generations,
        engines: &mut EngineTable,
        owners: &mut OwnerTable,
        context: &mut Context<'_>,
    ) {
        self.resend_forwarded(context);
        let now = context.now;
        self.closed
            .retain(|_, at| now.since(*at) < CLOSED_RETENTION);
        let ids: Vec<StepId> = self.entries.keys().cloned().collect();
        for id in &ids {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.copies.tick(&entry.step, &entry.generations, context);
                if entry.is_home {
                    entry.reclaim_lost_slots(context);
                    self.stale_discards += entry.discard_stale(versions, generations, context);
                } else {
                    entry.report_progress(context);
                }
            }
            self.answer_pending(id, versions, context);
        }
        self.place_slots(versions, generations, engines, owners, context);
    }

    /// Places slots of all steps whose home is this node, in order of group and step number,
    /// until each step has as many queued slots as the limit allows.
    pub(crate) fn place_slots(
        &mut self,
        versions: &Versions,
        generations: &mut Generations,
        engines: &mut EngineTable,
        owners: &mut OwnerTable,
        context: &mut Context<'_>,
    ) {
        let queue_limit = context.parameters.queued_per_engine * owners.len() as f64;
        let queue_limit = (queue_limit as usize).max(MIN_QUEUED_SLOTS);
        for entry in self.entries.values_mut().filter(|entry| entry.is_home) {
            let group = &entry.step.spec().id.group;
            let lengths = self.lengths.entry(group.clone()).or_default();
            let ids = entry.generations.values();
            let mut queued = ids.filter(|id| generations.is_queued(**id)).count();
            while queued < queue_limit {
                let Some(slot) = entry.step.take_next(lengths) else {
                    break;
                };
                // The slot stays active, without a generation at this node, until the former home
                // node sends its result or the slot is reclaimed.
                if entry.remote_slots.contains_key(&slot) {
                    continue;
                }
                let spec = entry.generation_spec(slot, lengths, versions, context);
                let id = generations.begin(spec, engines, owners, context);
                entry.generations.insert(slot, id);
                queued += 1;
            }
        }
    }
}

/// Replies to the request `id` of the node `to`, which forwarded the request from a trainer.
fn answer(to: &NodeName, id: StepRequestId, reply: StepReply, context: &mut Context<'_>) {
    let message = StepMessage::Reply { id, reply };
    context.send(to, PeerMessage::Step(message));
}
