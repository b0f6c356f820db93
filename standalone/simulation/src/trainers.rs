//! Simulated trainers: they open steps, fetch samples by cursor, train, and publish weights.

use crate::callers::step_prompt;
use crate::clients::Origin;
use crate::config::GroupConfig;
use crate::world::{SimEvent, World, weight_version_object};
use brasspond_control::{Event, Reply, WriteOperation, WriteReply};
use brasspond_emulator::completion_length;
use brasspond_protocol::{StepReply, StepRequest};
use brasspond_resource::Revision;
use brasspond_rollout::{Prompt, StepSpec};
use brasspond_types::{
    GroupName, ModelName, Sample, SampleId, StepId, Timestamp, VersionSpan, WeightVersion,
    push_span, stable_hash, total_tokens,
};
use rand::Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Interval between two ticks of a trainer.
const TRAINER_TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout after which a trainer repeats a call on a randomly chosen node. Calls that close a step
/// are not repeated. The timeout exceeds the time for which a fetch may wait on the server.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for which a fetch may wait for samples on the server, in milliseconds.
const WAIT_MILLISECONDS: u32 = 1_000;
/// Largest number of samples per fetch.
const FETCH_COUNT: u32 = 256;

#[derive(Clone, Debug, PartialEq, Eq)]
enum CallKind {
    Open(u64),
    Fetch(u64),
    Close,
    Publish(u64),
}

#[derive(Debug)]
struct Call {
    kind: CallKind,
    sent: Timestamp,
    /// Newest published version when the call was sent.
    newest: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Collecting,
    Training(Timestamp),
    Publishing,
    Done,
}

#[derive(Debug, Default)]
struct OpenStep {
    /// Whether a node has confirmed that the step is open.
    is_open: bool,
    cursor: String,
    /// Number of samples received.
    received: u32,
}

pub(crate) struct SimTrainer {
    config: GroupConfig,
    prompts: Vec<Prompt>,
    step: u64,
    phase: Phase,
    steps: BTreeMap<u64, OpenStep>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    /// Newest version whose publication was confirmed.
    newest_version: u64,
    /// Version to publish; equal to `newest_version` when nothing is to be published.
    target_version: u64,
}

impl SimTrainer {
    pub(crate) fn new(config: GroupConfig) -> Self {
        let prompts = (0..config.prompts).map(|index| {
            let text = step_prompt(&config.name, index, config.prompt_bytes);
            Prompt { text: text.into() }
        });
        Self {
            prompts: prompts.collect(),
            step: 1,
            phase: Phase::Collecting,
            steps: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            newest_version: 1,
            target_version: 1,
            config,
        }
    }

    fn slots(&self) -> u32 {
        self.config.prompts * self.config.samples_per_prompt
    }

    fn id(&self, step: u64) -> StepId {
        let group = GroupName::new(&self.config.name);
        StepId { group, step }
    }

    fn is_complete(&self, step: u64) -> bool {
        self.steps
            .get(&step)
            .is_some_and(|open| open.received >= self.slots())
    }

    fn is_done(&self) -> bool {
        self.phase == Phase::Done
    }

    fn has_call(&self, kind: &CallKind) -> bool {
        self.calls.values().any(|call| call.kind == *kind)
    }

    /// Drops calls that timed out and returns the calls to send now.
    fn due_calls(&mut self, now: Timestamp) -> Vec<CallKind> {
        self.calls
            .retain(|_, call| now.since(call.sent) < CALL_TIMEOUT);
        let mut due_calls = Vec::new();
        let last = (self.step + self.config.steps_ahead).min(self.config.steps);
        for step in self.step..=last {
            let kind = match self.steps.get(&step) {
                Some(open) if open.is_open => CallKind::Fetch(step),
                _ => CallKind::Open(step),
            };
            if !self.is_complete(step) && !self.has_call(&kind) {
                due_calls.push(kind);
            }
        }
        let publish = CallKind::Publish(self.newest_version + 1);
        if self.target_version > self.newest_version && !self.has_call(&publish) {
            due_calls.push(publish);
        }
        due_calls
    }
}

impl World {
    /// Whether all trainers have completed all their steps.
    pub(crate) fn trainers_done(&self) -> bool {
        self.trainers.iter().all(SimTrainer::is_done)
    }

    pub(crate) fn trainer_ticks(&mut self, index: usize) {
        self.advance_phase(index);
        let now = self.now;
        if self.trainers[index].is_done() {
            return;
        }
        for kind in self.trainers[index].due_calls(now) {
            self.trainer_calls(index, kind);
        }
        self.queue
            .push(now + TRAINER_TICK_INTERVAL, SimEvent::TrainerTick(index));
    }

    fn advance_phase(&mut self, index: usize) {
        let now = self.now;
        let trainer = &mut self.trainers[index];
        match trainer.phase {
            Phase::Collecting if trainer.is_complete(trainer.step) => {
                let step = trainer.step;
                trainer.phase = Phase::Training(now + trainer.config.training_time);
                let (id, slots) = (trainer.id(step), trainer.slots());
                self.oracle.check_step_complete(now, &id, slots);
            }
            Phase::Training(until) if now >= until => {
                trainer.phase = Phase::Publishing;
                trainer.target_version = trainer.newest_version + 1;
                self.trainer_calls(index, CallKind::Close);
            }
            Phase::Publishing if trainer.target_version <= trainer.newest_version => {
                trainer.step += 1;
                trainer.phase = if trainer.step > trainer.config.steps {
                    Phase::Done
                } else {
                    Phase::Collecting
                };
            }
            _ => {}
        }
    }

    fn trainer_calls(&mut self, index: usize, kind: CallKind) {
        let node = self.random.random_range(0..self.nodes.len());
        let now = self.now;
        let trainer = &mut self.trainers[index];
        trainer.next_call += 1;
        let number = trainer.next_call;
        let origin = Origin::Trainer(index, number);
        let newest = trainer.newest_version;
        let call = Call {
            kind: kind.clone(),
            sent: now,
            newest,
        };
        let model = ModelName::new(&trainer.config.name);
        let body = match &kind {
            CallKind::Open(step) => {
                let open = trainer.steps.entry(*step).or_default();
                open.is_open = false;
                Some(StepRequest::Open {
                    newest_version: WeightVersion(newest),
                    spec: Arc::new(StepSpec {
                        id: trainer.id(*step),
                        model: model.clone(),
                        prompts: trainer.prompts.clone(),
                        samples_per_prompt: trainer.config.samples_per_prompt,
                        max_tokens: trainer.config.max_tokens,
                    }),
                })
            }
            CallKind::Fetch(step) => Some(StepRequest::Fetch {
                step: trainer.id(*step),
                cursor: trainer.steps[step].cursor.clone(),
                newest_version: WeightVersion(newest),
                count: FETCH_COUNT,
                wait_milliseconds: WAIT_MILLISECONDS,
            }),
            CallKind::Close => Some(StepRequest::Close(trainer.id(trainer.step))),
            CallKind::Publish(_) => None,
        };
        trainer.calls.insert(number, call);
        let sent = match (body, &kind) {
            (Some(body), _) => {
                self.send_request(node, origin, |request| Event::Step { request, body })
            }
            (None, CallKind::Publish(version)) => {
                let object = Box::new(weight_version_object(&model, *version));
                self.send_request(node, origin, |request| Event::Write {
                    request,
                    operation: WriteOperation::Put(object),
                    expected: Some(Revision(0)),
                })
            }
            (None, _) => false,
        };
        if !sent {
            self.trainers[index].calls.remove(&number);
        }
    }

    pub(crate) fn trainer_answered(&mut self, index: usize, number: u64, reply: Option<Reply>) {
        let trainer = &mut self.trainers[index];
        let Some(call) = trainer.calls.remove(&number) else {
            return;
        };
        match (call.kind, reply) {
            (CallKind::Open(step), Some(Reply::Step(StepReply::Opened(_)))) => {
                if let Some(open) = trainer.steps.get_mut(&step) {
                    open.is_open = true;
                }
            }
            (CallKind::Fetch(step), Some(Reply::Step(StepReply::Unknown))) => {
                if let Some(open) = trainer.steps.get_mut(&step) {
                    open.is_open = false;
                }
            }
            (
                CallKind::Fetch(step),
                Some(Reply::Step(StepReply::Samples {
                    samples, cursor, ..
                })),
            ) => {
                self.receive_samples(index, step, &samples, cursor, call.newest);
            }
            (CallKind::Publish(version), Some(Reply::Write(reply))) => {
                let exists = matches!(reply, WriteReply::Accepted(_) | WriteReply::Conflict);
                if exists && version > trainer.newest_version {
                    trainer.newest_version = version;
                }
            }
            _ => {}
        }
    }

    fn receive_samples(
        &mut self,
        index: usize,
        step: u64,
        samples: &[Arc<Sample>],
        cursor: String,
        newest: u64,
    ) {
        for sample in samples {
            self.check_sample(index, step, sample, WeightVersion(newest));
        }
        if let Some(open) = self.trainers[index].steps.get_mut(&step) {
            open.cursor = cursor;
            open.received += samples.len() as u32;
        }
    }

    /// Checks a sample against the records that the engines wrote into its text. `newest` is the
    /// version that was published when the trainer sent the fetch.
    fn check_sample(&mut self, index: usize, step: u64, sample: &Sample, newest: WeightVersion) {
        let now = self.now;
        let trainer = &self.trainers[index];
        let step = trainer.id(step);
        let slot = sample.slot;
        self.oracle.check_first_delivery(now, &step, slot);
        // A sample without tokens counts as the oldest possible version.
        let oldest = sample.oldest_version().unwrap_or_default();
        let max_staleness = trainer.config.max_staleness;
        self.oracle
            .check_staleness(now, oldest, newest, max_staleness);
        let id = SampleId { step, slot };
        let seed = stable_hash(&[id.to_string().as_bytes()]);
        let (truth, is_own) = parse_engine_records(&sample.text, seed);
        self.oracle.check_versions(now, &sample.spans, &truth);
        let prompt = (slot / trainer.config.samples_per_prompt) as usize;
        let prompt = &trainer.prompts[prompt].text;
        let lengths = self.config.engine.lengths;
        let expected = completion_length(&lengths, prompt, seed, trainer.config.max_tokens);
        let received = total_tokens(&sample.spans);
        self.oracle
            .check_answer(now, received, u64::from(expected), is_own);
    }
}

/// Parses the `seed@version:count;` records that the engines write into a sample's text. Returns
/// the versions that generated the sample, and whether every record carries this seed.
fn parse_engine_records(text: &str, seed: u64) -> (Vec<VersionSpan>, bool) {
    let mut spans = Vec::new();
    let mut is_own = true;
    for piece in text.split_terminator(';') {
        let parsed = piece.split_once('@').and_then(|(seed_text, rest)| {
            let (version, count) = rest.split_once(':')?;
            Some((seed_text, version.parse().ok()?, count.parse().ok()?))
        });
        match parsed {
            Some((seed_text, version, count)) => {
                is_own &= seed_text == format!("{seed:x}");
                push_span(&mut spans, WeightVersion(version), count);
            }
            None => is_own = false,
        }
    }
    (spans, is_own)
}
