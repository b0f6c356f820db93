//! Steps at this node: as their home, and as keeper of copies.

mod entry;

use crate::context::Context;
use crate::event::{Reply, RequestId};
use crate::generation::Generations;
use crate::owner_table::OwnerTable;
use crate::step_copies::Copies;
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

/// Nodes that hold a step: its home and two keepers of copies, so that samples outlive two
/// losses.
const HOLDERS: usize = 3;
/// Time a trainer's request is forwarded before it fails: longer than membership needs to
/// notice a home that ended (2 to 4 s).
const FORWARD_LIMIT: Duration = Duration::from_secs(5);
/// Time between repeats of a forwarded request; not measured.
const FORWARD_RESEND: Duration = Duration::from_millis(400);
/// Time a closed step is remembered, so that no late copy revives it; not measured.
const REMEMBER_CLOSED: Duration = Duration::from_secs(600);
/// Part of a step's slots, at the end, that count as its tail; not measured.
const TAIL_PART: f64 = 0.1;
/// Deadline of a slot's place in a queue; it is asked for again after. Beyond the 31 minutes of
/// a whole step.
const SLOT_TIME: Duration = Duration::from_secs(3_600);
/// Fewest queued slots a step, however few engines there are; not measured.
const SMALLEST_WINDOW: usize = 8;
/// Expected time of a decoding step, to estimate how long an answer takes:
/// `SpeedEstimate::default` with 25 sequences in the batch.
const TOKEN_TIME: Duration = Duration::from_micros(9_500);
/// Time between two reports of a former home on what it has under way; not measured.
const UNDER_WAY_PERIOD: Duration = Duration::from_secs(2);
/// Time without such a report after which the home makes the slots itself: three periods.
const UNDER_WAY_LIMIT: Duration = Duration::from_secs(6);
/// Most samples in one answer to a trainer; not measured.
const MOST_SAMPLES: u32 = 256;

#[derive(Debug)]
struct Parked {
    from: NodeName,
    id: StepRequestId,
    request: StepRequest,
    until: Timestamp,
}

/// A slot that a former home has under way.
#[derive(Debug)]
struct Elsewhere {
    node: NodeName,
    heard: Timestamp,
}

#[derive(Debug)]
struct Entry {
    step: Step,
    is_home: bool,
    copies: Copies,
    cursor: Cursor,
    generations: BTreeMap<u32, u64>,
    /// Slots under way at a former home.
    elsewhere: BTreeMap<u32, Elsewhere>,
    next_under_way: Timestamp,
    parked: Vec<Parked>,
}

#[derive(Debug)]
struct Forwarded {
    request: RequestId,
    body: StepRequest,
    sent: Timestamp,
    until: Timestamp,
}

/// All steps at this node.
#[derive(Debug)]
pub(crate) struct Steps {
    entries: BTreeMap<StepId, Entry>,
    closed: BTreeMap<StepId, Timestamp>,
    forwarded: BTreeMap<u64, Forwarded>,
    next_forward: u64,
    /// Lengths of each group's answers, where this node is home of its steps.
    lengths: BTreeMap<GroupName, LengthModel>,
    stale_slots: u64,
}

impl Steps {
    pub(crate) fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
            closed: BTreeMap::new(),
            forwarded: BTreeMap::new(),
            next_forward: 1,
            lengths: BTreeMap::new(),
            stale_slots: 0,
        }
    }

    /// Slots that were finished too old and made again.
    pub(crate) fn stale_slots(&self) -> u64 {
        self.stale_slots
    }

    /// Steps at this node: as home, and in all.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let homes = self.entries.values().filter(|entry| entry.is_home);
        (homes.count(), self.entries.len())
    }

    /// Whether everything here is also kept by a node that stays.
    pub(crate) fn is_handed_over(&self) -> bool {
        let done = |entry: &Entry| entry.copies.is_complete() && entry.generations.is_empty();
        self.forwarded.is_empty() && self.entries.values().all(done)
    }

    fn holders(step: &StepId, context: &Context<'_>) -> Vec<NodeName> {
        let key = format!("group:{}", step.group);
        let members = context.working.references();
        let holders = rank_distinct_zones(&key, &members, HOLDERS);
        holders
            .into_iter()
            .map(|member| member.name.clone())
            .collect()
    }

    /// A trainer's request came to this node: forward it to the step's home.
    pub(crate) fn begin(
        &mut self,
        request: RequestId,
        body: StepRequest,
        context: &mut Context<'_>,
    ) {
        let number = self.next_forward;
        self.next_forward += 1;
        let wait = match &body {
            StepRequest::Fetch {
                wait_milliseconds, ..
            } => u64::from(*wait_milliseconds),
            _ => 0,
        };
        let forwarded = Forwarded {
            request,
            body,
            sent: context.now,
            until: context.now + FORWARD_LIMIT + Duration::from_millis(wait),
        };
        self.forwarded.insert(number, forwarded);
        self.forward(number, context);
    }

    fn forward(&mut self, number: u64, context: &mut Context<'_>) {
        let Some(forwarded) = self.forwarded.get_mut(&number) else {
            return;
        };
        forwarded.sent = context.now;
        let home = Self::holders(forwarded.body.step(), context)
            .into_iter()
            .next();
        let id = StepRequestId {
            instance: context.instance,
            number,
        };
        let request = forwarded.body.clone();
        if let Some(home) = home {
            let message = StepMessage::Request { id, request };
            context.send(&home, PeerMessage::Step(message));
        }
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
                if id.instance == context.instance && reply != StepReply::NotHome {
                    self.replied(id.number, reply, context);
                }
            }
            StepMessage::CopySpec { spec, under_way } => {
                self.keep_spec(from, spec, under_way, context);
            }
            StepMessage::CopyResults { step, samples } => {
                self.keep_results(from, step, samples, versions, context);
            }
            StepMessage::UnderWay { step, slots } => {
                if let Some(entry) = self.entries.get_mut(&step) {
                    entry.set_elsewhere(from, slots, context.now);
                }
            }
            StepMessage::SpecCopied(step) => {
                if let Some(entry) = self.entries.get_mut(&step) {
                    entry.copies.spec_copied(from);
                    self.answer_parked(&step, versions, context);
                }
            }
            StepMessage::ResultsCopied { step, slots } => {
                if let Some(entry) = self.entries.get_mut(&step) {
                    entry.copies.results_copied(from, &slots);
                }
            }
            StepMessage::Drop { step, .. } => self.drop_step(&step, context.now),
        }
    }

    fn replied(&mut self, number: u64, reply: StepReply, context: &mut Context<'_>) {
        if let Some(forwarded) = self.forwarded.remove(&number) {
            context.reply(forwarded.request, Reply::Step(reply));
        }
    }

    fn drop_step(&mut self, step: &StepId, now: Timestamp) {
        self.entries.remove(step);
        self.closed.insert(step.clone(), now);
    }

    /// Serves a trainer's request at the home.
    fn serve(
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
    fn open(&mut self, spec: &Arc<StepSpec>, context: &Context<'_>) -> Option<StepReply> {
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

    fn insert(&mut self, spec: Arc<StepSpec>, context: &Context<'_>) -> &mut Entry {
        let id = spec.id.clone();
        let holders = Self::holders(&id, context);
        let cursor = Cursor::empty(&id, spec.slots());
        let step = Step::new(spec, context.parameters.mutations.clone());
        let entry = self.entries.entry(id).or_insert(Entry {
            step,
            is_home: false,
            copies: Copies::default(),
            cursor,
            generations: BTreeMap::new(),
            elsewhere: BTreeMap::new(),
            next_under_way: Timestamp::ZERO,
            parked: Vec::new(),
        });
        entry.is_home = holders.first() == Some(context.me);
        entry.retarget(&holders, context.me);
        entry
    }

    fn close(&mut self, step: &StepId, context: &mut Context<'_>) {
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

    fn keep_spec(
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

    fn keep_results(
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

    /// Answers what waits at a step and can be answered now.
    fn answer_parked(&mut self, step: &StepId, versions: &Versions, context: &mut Context<'_>) {
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

    /// A generation for a slot ended with a whole answer.
    pub(crate) fn finished(
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
        lengths.learn(entry.step.digest(id.slot), tokens);
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
        self.answer_parked(&id.step, versions, context);
    }

    /// A generation for a slot ended without an answer.
    pub(crate) fn given_up(&mut self, id: &SampleId) {
        if let Some(entry) = self.entries.get_mut(&id.step) {
            entry.generations.remove(&id.slot);
            entry.step.give_back(id.slot, None);
        }
    }

    /// Follows a change of membership: homes and copies move.
    pub(crate) fn reassign(&mut self, generations: &mut Generations, context: &mut Context<'_>) {
        for (id, entry) in &mut self.entries {
            let holders = Self::holders(id, context);
            let was_home = entry.is_home;
            entry.is_home = holders.first() == Some(context.me);
            entry.retarget(&holders, context.me);
            entry.forget_elsewhere(context);
            if was_home && !entry.is_home {
                entry.stop_placing(generations, context);
            }
        }
    }

    /// Runs timers, and places as many slots as may be queued.
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
        self.closed.retain(|_, at| now.since(*at) < REMEMBER_CLOSED);
        let ids: Vec<StepId> = self.entries.keys().cloned().collect();
        for id in &ids {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.copies.tick(&entry.step, &entry.generations, context);
                if entry.is_home {
                    entry.forget_elsewhere(context);
                    self.stale_slots += entry.follow_versions(versions, generations, context);
                } else {
                    entry.report_under_way(context);
                }
            }
            self.answer_parked(id, versions, context);
        }
        self.pump(versions, generations, engines, owners, context);
    }

    fn resend_forwarded(&mut self, context: &mut Context<'_>) {
        let numbers: Vec<u64> = self.forwarded.keys().copied().collect();
        for number in numbers {
            let forwarded = &self.forwarded[&number];
            if forwarded.until <= context.now {
                self.replied(number, StepReply::Unknown, context);
            } else if context.now.since(forwarded.sent) >= FORWARD_RESEND {
                self.forward(number, context);
            }
        }
    }

    /// Places slots of all steps this node is home of, older steps first.
    pub(crate) fn pump(
        &mut self,
        versions: &Versions,
        generations: &mut Generations,
        engines: &mut EngineTable,
        owners: &mut OwnerTable,
        context: &mut Context<'_>,
    ) {
        let window = context.parameters.window_per_engine * owners.len() as f64;
        let window = (window as usize).max(SMALLEST_WINDOW);
        for entry in self.entries.values_mut().filter(|entry| entry.is_home) {
            let group = &entry.step.spec().id.group;
            let lengths = self.lengths.entry(group.clone()).or_default();
            let waiting = entry.generations.values();
            let mut queued = waiting.filter(|id| generations.is_waiting(**id)).count();
            while queued < window {
                let Some(slot) = entry.step.take_next(lengths) else {
                    break;
                };
                if entry.elsewhere.contains_key(&slot) {
                    continue;
                }
                let spec = entry.generation(slot, lengths, versions, context);
                let id = generations.begin(spec, engines, owners, context);
                entry.generations.insert(slot, id);
                queued += 1;
            }
        }
    }
}

fn answer(to: &NodeName, id: StepRequestId, reply: StepReply, context: &mut Context<'_>) {
    let message = StepMessage::Reply { id, reply };
    context.send(to, PeerMessage::Step(message));
}
