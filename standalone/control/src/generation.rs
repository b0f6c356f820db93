//! Generations that this node requests: placement, admission, attempts and retries.

mod admission;
mod attempts;

use crate::context::Context;
use crate::event::{Action, AttemptId, Refusal, RefusalKind, RequestId};
use crate::owner_table::OwnerTable;
use brasspond_fairness::Priority;
use brasspond_limits::{Backoff, RetryBudget};
use brasspond_rollout::Partial;
use brasspond_routing::EngineTable;
use brasspond_types::{
    EngineName, FinishReason, GroupName, ModelName, NodeName, SampleId, Timestamp, WeightVersion,
    total_tokens,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Time after which an unanswered admission request is sent again.
const ENQUEUE_RESEND_PERIOD: Duration = Duration::from_millis(300);
/// Time after which the admission request of a queued generation is sent again, in case the
/// engine's owner failed. Membership detects a failure in 2 to 4 s.
const QUEUED_CHECK_PERIOD: Duration = Duration::from_secs(3);
/// Unanswered repeats of an admission request before another engine is tried. If the owner never
/// answers, that is 1.5 s after the first request.
const MAX_UNANSWERED: u32 = 4;
/// Time between repeats of a release.
const RELEASE_RESEND_PERIOD: Duration = Duration::from_millis(500);
/// Number of times that a release is sent. It is dropped 5 s after it was first sent, longer than
/// membership needs to detect a failed owner (2 to 4 s).
const MAX_RELEASE_SENDS: u32 = 10;
/// Number of avoided engines above which a refusal removes the oldest one from the list. Also the
/// number of placements after which a full queue refuses a caller's request. Equals
/// [`MAX_FAILURES`].
const MAX_AVOIDED: usize = 4;
/// Number of failed attempts after which a caller's request is refused.
const MAX_FAILURES: u32 = 4;
/// Cost of a prompt token relative to a generated token, for fair shares.
const PROMPT_TOKEN_COST: f64 = 0.1;
/// Number of retries allowed per new generation.
const RETRY_RATIO: f64 = 0.1;
/// Retries per second that are allowed independently of the number of generations.
const MIN_RETRIES_PER_SECOND: f64 = 2.0;
/// Time for which the retries allowed by `MIN_RETRIES_PER_SECOND` accumulate.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Extra cost of another node's engine for a caller's request, as a fraction of the decoding time.
/// Callers' requests are short, so their admission messages weigh more than those of slots.
const CALLER_REMOTE_PENALTY: f64 = 0.2;
/// Delay before another placement after a failed one.
const PLACEMENT_BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(20),
    cap: Duration::from_millis(1_000),
};

/// The request or slot that a generation serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// A caller's request.
    Caller(RequestId),
    /// A slot of a step, identified by its sample.
    Slot(SampleId),
}

/// Specification of a generation.
#[derive(Clone, Debug)]
pub(crate) struct GenerationSpec {
    pub(crate) purpose: Purpose,
    pub(crate) group: GroupName,
    pub(crate) model: ModelName,
    pub(crate) prompt: Arc<str>,
    pub(crate) prefix: Arc<[u64]>,
    pub(crate) prompt_tokens: u32,
    pub(crate) max_tokens: u32,
    pub(crate) expected_tokens: f64,
    pub(crate) priority: Priority,
    pub(crate) seed: u64,
    pub(crate) minimum_version: WeightVersion,
    pub(crate) deadline: Timestamp,
    pub(crate) resume: Partial,
}

/// State of a generation.
#[derive(Debug)]
enum State {
    /// Waits for placement on an engine.
    Waiting,
    /// Waits for admission by the engine's owner.
    Queued {
        engine: EngineName,
        owner: NodeName,
        ticket: u64,
        /// Number of repeats of the admission request since the owner's last answer.
        unanswered: u32,
    },
    /// An attempt runs on the engine.
    Running {
        engine: EngineName,
        ticket: u64,
        /// Oldest weight version that the attempt has reported.
        oldest: Option<WeightVersion>,
    },
}

#[derive(Debug)]
struct Generation {
    spec: GenerationSpec,
    state: State,
    /// Engines that refused the generation, failed to run it or whose owner did not answer.
    avoid: Vec<EngineName>,
    placements: u32,
    failures: u32,
    /// Whether an engine may have started an earlier attempt.
    may_have_run: bool,
    /// Time at which the generation's timer runs.
    due: Timestamp,
}

/// A release of an admission that the owner has not acknowledged.
#[derive(Debug)]
struct PendingRelease {
    engine: EngineName,
    /// Cost of the work that the engine did.
    served: f32,
    engine_failed: bool,
    sends: u32,
    due: Timestamp,
}

/// How a generation ended.
#[derive(Debug)]
pub(crate) enum GenerationEnd {
    Finished {
        purpose: Purpose,
        generated: Partial,
        reason: FinishReason,
    },
    Refused {
        purpose: Purpose,
        refusal: Refusal,
    },
}

/// All generations of this node.
#[derive(Debug)]
pub(crate) struct Generations {
    live: BTreeMap<u64, Generation>,
    /// Numbers of the generations, by the ticket of their admission request.
    by_ticket: BTreeMap<u64, u64>,
    /// Timers of the generations.
    due: BTreeSet<(Timestamp, u64)>,
    /// Unacknowledged releases, by ticket.
    releases: BTreeMap<u64, PendingRelease>,
    /// Next number of a generation or a ticket.
    next: u64,
    budget: RetryBudget,
    ended: Vec<GenerationEnd>,
}

impl Generations {
    pub(crate) fn new() -> Self {
        Self {
            live: BTreeMap::new(),
            by_ticket: BTreeMap::new(),
            due: BTreeSet::new(),
            releases: BTreeMap::new(),
            next: 1,
            budget: RetryBudget::new(RETRY_RATIO, MIN_RETRIES_PER_SECOND, RETRY_WINDOW),
            ended: Vec::new(),
        }
    }

    /// Whether no generation is in progress and every release is acknowledged.
    pub(crate) fn is_idle(&self) -> bool {
        self.live.is_empty() && self.releases.is_empty()
    }

    /// Takes the generations that ended since the last call.
    pub(crate) fn take_ended(&mut self) -> Vec<GenerationEnd> {
        std::mem::take(&mut self.ended)
    }

    /// Whether a generation waits for placement or admission.
    pub(crate) fn is_queued(&self, id: u64) -> bool {
        let generation = self.live.get(&id);
        generation.is_some_and(|generation| !matches!(generation.state, State::Running { .. }))
    }

    /// Oldest weight version in the running attempt's own output and in the output that it resumes.
    pub(crate) fn oldest_version(&self, id: u64) -> Option<WeightVersion> {
        let generation = self.live.get(&id)?;
        let resumed = brasspond_types::oldest_version(&generation.spec.resume.spans);
        let running = match &generation.state {
            State::Running { oldest, .. } => *oldest,
            _ => None,
        };
        match (resumed, running) {
            (Some(resumed), Some(running)) => Some(resumed.min(running)),
            (resumed, running) => resumed.or(running),
        }
    }

    /// Raises the oldest acceptable version for future placements of a generation.
    pub(crate) fn raise_minimum(&mut self, id: u64, minimum: WeightVersion) {
        if let Some(generation) = self.live.get_mut(&id) {
            generation.spec.minimum_version = generation.spec.minimum_version.max(minimum);
        }
    }

    /// Begins a generation and returns its number.
    pub(crate) fn begin(
        &mut self,
        spec: GenerationSpec,
        engines: &mut EngineTable,
        owners: &mut OwnerTable,
        context: &mut Context<'_>,
    ) -> u64 {
        let id = self.next;
        self.next += 1;
        self.budget.deposit();
        let generation = Generation {
            spec,
            state: State::Waiting,
            avoid: Vec::new(),
            placements: 0,
            failures: 0,
            may_have_run: false,
            due: context.now,
        };
        self.live.insert(id, generation);
        self.place(id, engines, owners, context);
        id
    }

    /// Cancels a generation that is no longer needed.
    pub(crate) fn cancel(&mut self, id: u64, context: &mut Context<'_>) {
        if let Some(generation) = self.live.remove(&id) {
            self.due.remove(&(generation.due, id));
            self.release_grant(&generation.state, 0.0, false, true, context);
        }
    }

    /// Cancels the generation of a caller that disconnected.
    pub(crate) fn cancel_request(&mut self, request: RequestId, context: &mut Context<'_>) {
        let purpose = Purpose::Caller(request);
        let found = self
            .live
            .iter()
            .find(|(_, generation)| generation.spec.purpose == purpose);
        if let Some(id) = found.map(|(id, _)| *id) {
            self.cancel(id, context);
        }
    }

    /// Schedules the release of a generation's admission or admission request. Cancels its running
    /// attempt if `cancel` is set.
    fn release_grant(
        &mut self,
        state: &State,
        served: f32,
        engine_failed: bool,
        cancel: bool,
        context: &mut Context<'_>,
    ) {
        let (engine, ticket) = match state {
            State::Waiting => return,
            State::Queued { engine, ticket, .. } => (engine, *ticket),
            State::Running { engine, ticket, .. } => {
                if cancel {
                    context
                        .actions
                        .push(Action::CancelAttempt(AttemptId(*ticket)));
                }
                (engine, *ticket)
            }
        };
        self.by_ticket.remove(&ticket);
        let release = PendingRelease {
            engine: engine.clone(),
            served,
            engine_failed,
            sends: 0,
            due: context.now,
        };
        self.releases.insert(ticket, release);
    }

    /// Sets the timer of a generation.
    fn schedule(&mut self, id: u64, due: Timestamp) {
        if let Some(generation) = self.live.get_mut(&id) {
            self.due.remove(&(generation.due, id));
            generation.due = due;
            self.due.insert((due, id));
        }
    }

    /// Ends a generation with a refusal.
    fn refuse(&mut self, id: u64, kind: RefusalKind, context: &mut Context<'_>) {
        let Some(generation) = self.live.remove(&id) else {
            return;
        };
        self.due.remove(&(generation.due, id));
        self.release_grant(&generation.state, 0.0, false, true, context);
        let is_running = matches!(generation.state, State::Running { .. });
        let retry_after = PLACEMENT_BACKOFF
            .cap
            .mul_f64(1.0 + f64::from(generation.failures));
        let refusal = Refusal {
            kind,
            not_run: !generation.may_have_run && !is_running,
            retry_after,
        };
        let purpose = generation.spec.purpose;
        self.ended.push(GenerationEnd::Refused { purpose, refusal });
    }

    /// Runs the timers that are due and sends releases.
    pub(crate) fn tick(
        &mut self,
        engines: &mut EngineTable,
        owners: &mut OwnerTable,
        context: &mut Context<'_>,
    ) {
        while let Some((due, id)) = self.due.first().copied() {
            if due > context.now {
                break;
            }
            self.due.remove(&(due, id));
            self.handle_due(id, engines, owners, context);
        }
        self.send_releases(owners, context);
    }

    /// Handles the timer of a generation that waits for placement or admission: refuses it after
    /// its deadline, places it, repeats its admission request or tries another engine. A running
    /// generation has no timer.
    fn handle_due(
        &mut self,
        id: u64,
        engines: &mut EngineTable,
        owners: &mut OwnerTable,
        context: &mut Context<'_>,
    ) {
        let Some(generation) = self.live.get_mut(&id) else {
            return;
        };
        if generation.spec.deadline <= context.now {
            let kind = if engines.is_empty() {
                RefusalKind::NoEngine
            } else {
                RefusalKind::DeadlinePassed
            };
            self.refuse(id, kind, context);
            return;
        }
        match &mut generation.state {
            State::Waiting => self.place(id, engines, owners, context),
            State::Queued {
                engine,
                owner,
                unanswered,
                ..
            } => {
                *unanswered += 1;
                let owner_changed = owners.owner(engine, context).as_ref() != Some(owner);
                if owner_changed || *unanswered > MAX_UNANSWERED {
                    let engine = engine.clone();
                    let state = std::mem::replace(&mut generation.state, State::Waiting);
                    if !owner_changed {
                        generation.avoid.push(engine);
                    }
                    self.release_grant(&state, 0.0, false, false, context);
                    self.place(id, engines, owners, context);
                } else {
                    self.send_enqueue(id, context);
                    self.schedule(id, context.now + ENQUEUE_RESEND_PERIOD);
                }
            }
            State::Running { .. } => {}
        }
    }
}

/// Cost of one attempt: the tokens generated after the resumed output, and the prompt.
fn served_cost(spec: &GenerationSpec, generated: &Partial) -> f32 {
    let tokens = total_tokens(&generated.spans).saturating_sub(total_tokens(&spec.resume.spans));
    (tokens as f64 + f64::from(spec.prompt_tokens) * PROMPT_TOKEN_COST) as f32
}
