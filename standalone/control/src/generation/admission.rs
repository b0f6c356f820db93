//! Admission at the requesting node: requests, grants, refusals and releases.

use super::{
    CALLER_REMOTE_PENALTY, ENQUEUE_RESEND_PERIOD, Generations, MAX_AVOIDED, MAX_RELEASE_SENDS,
    PLACEMENT_BACKOFF, PROMPT_TOKEN_COST, PendingRelease, Purpose, QUEUED_CHECK_PERIOD,
    RELEASE_RESEND_PERIOD, State,
};
use crate::context::Context;
use crate::event::{Action, AttemptId, RefusalKind};
use crate::owner_table::OwnerTable;
use brasspond_engine_api::EngineCall;
use brasspond_protocol::{AdmissionMessage, PeerMessage, RefusalReason};
use brasspond_routing::{EngineTable, PlacementRequest};
use brasspond_types::{EngineName, Timestamp};
use std::sync::Arc;

impl Generations {
    /// Chooses an engine and requests admission from its owner. If no engine with an owner can be
    /// chosen, clears the list of avoided engines and schedules another placement.
    pub(super) fn place(
        &mut self,
        id: u64,
        engines: &mut EngineTable,
        owners: &mut OwnerTable,
        context: &mut Context<'_>,
    ) {
        let Some(generation) = self.live.get_mut(&id) else {
            return;
        };
        let zone = &context.membership.local().locality.zone;
        let request = PlacementRequest {
            model: &generation.spec.model,
            minimum_version: generation.spec.minimum_version,
            prefix: &generation.spec.prefix,
            prompt_tokens: generation.spec.prompt_tokens,
            expected_tokens: generation.spec.expected_tokens,
            zone,
            avoid: &generation.avoid,
            remote_penalty: match generation.spec.purpose {
                Purpose::Caller(_) => CALLER_REMOTE_PENALTY,
                Purpose::Slot(_) => 0.0,
            },
        };
        owners.refresh_owned(engines, context.now);
        let placement = engines.choose(&request, context.now, context.random);
        let chosen = placement.and_then(|placement| {
            let owner = owners.owner(&placement.engine, context)?;
            Some((placement.engine, owner))
        });
        generation.placements += 1;
        let Some((engine, owner)) = chosen else {
            generation.state = State::Waiting;
            generation.avoid.clear();
            let delay = PLACEMENT_BACKOFF.delay(generation.placements, context.random);
            self.schedule(id, context.now + delay);
            return;
        };
        let ticket = self.next;
        self.next += 1;
        let unanswered = 0;
        generation.state = State::Queued {
            engine,
            owner,
            ticket,
            unanswered,
        };
        self.by_ticket.insert(ticket, id);
        self.send_enqueue(id, context);
        self.schedule(id, context.now + ENQUEUE_RESEND_PERIOD);
    }

    /// Sends the admission request of a queued generation.
    pub(super) fn send_enqueue(&mut self, id: u64, context: &mut Context<'_>) {
        let Some(generation) = self.live.get(&id) else {
            return;
        };
        let State::Queued {
            engine,
            owner,
            ticket,
            ..
        } = &generation.state
        else {
            return;
        };
        let spec = &generation.spec;
        let time_left = spec.deadline.since(context.now).as_millis();
        let cost = spec.expected_tokens + f64::from(spec.prompt_tokens) * PROMPT_TOKEN_COST;
        let enqueue = AdmissionMessage::Enqueue {
            ticket: *ticket,
            asked_at: context.now,
            engine: engine.clone(),
            group: spec.group.clone(),
            model: spec.model.clone(),
            minimum_version: spec.minimum_version,
            cost: cost as f32,
            priority: spec.priority,
            milliseconds_left: u32::try_from(time_left).unwrap_or(u32::MAX),
        };
        let owner = owner.clone();
        context.send(&owner, PeerMessage::Admission(enqueue));
    }

    /// Handles an owner's admission message.
    pub(crate) fn handle_admission(
        &mut self,
        message: &AdmissionMessage,
        engines: &mut EngineTable,
        owners: &mut OwnerTable,
        context: &mut Context<'_>,
    ) {
        let ticket = match message {
            AdmissionMessage::Released { ticket, load } => {
                let release = self.releases.remove(ticket);
                if let (Some(release), Some(load)) = (release, load) {
                    engines.record_load(&release.engine, *load, context.now);
                }
                return;
            }
            AdmissionMessage::Probe { engine, tickets } => {
                for ticket in tickets {
                    self.release_unused(*ticket, engine, context);
                }
                return;
            }
            AdmissionMessage::Granted { ticket, engine, .. }
                if !self.by_ticket.contains_key(ticket) =>
            {
                self.release_unused(*ticket, engine, context);
                return;
            }
            AdmissionMessage::Queued { ticket, .. }
            | AdmissionMessage::Granted { ticket, .. }
            | AdmissionMessage::Refused { ticket, .. } => *ticket,
            AdmissionMessage::Enqueue { .. } | AdmissionMessage::Release { .. } => return,
        };
        self.handle_answer(ticket, message, engines, owners, context);
    }

    /// Handles an owner's answer to a queued admission request.
    fn handle_answer(
        &mut self,
        ticket: u64,
        message: &AdmissionMessage,
        engines: &mut EngineTable,
        owners: &mut OwnerTable,
        context: &mut Context<'_>,
    ) {
        let Some(id) = self.by_ticket.get(&ticket).copied() else {
            return;
        };
        let Some(generation) = self.live.get_mut(&id) else {
            return;
        };
        let State::Queued {
            engine, unanswered, ..
        } = &mut generation.state
        else {
            return;
        };
        *unanswered = 0;
        let engine = engine.clone();
        match message {
            AdmissionMessage::Queued { load, .. } => {
                engines.record_load(&engine, *load, context.now);
                self.schedule(id, context.now + QUEUED_CHECK_PERIOD);
            }
            AdmissionMessage::Granted { asked_at, load, .. } => {
                engines.record_load(&engine, *load, context.now);
                self.handle_grant(id, engine, *asked_at, owners, context);
            }
            AdmissionMessage::Refused { reason, load, .. } => {
                if let Some(load) = load {
                    engines.record_load(&engine, *load, context.now);
                }
                self.handle_refusal(id, engine, *reason, context);
            }
            _ => {}
        }
    }

    /// Releases a grant that no generation of this node uses.
    pub(super) fn release_unused(
        &mut self,
        ticket: u64,
        engine: &EngineName,
        context: &Context<'_>,
    ) {
        if self.by_ticket.contains_key(&ticket) {
            return;
        }
        self.releases.entry(ticket).or_insert(PendingRelease {
            engine: engine.clone(),
            served: 0.0,
            engine_failed: false,
            sends: 0,
            due: context.now,
        });
    }

    /// Starts the granted attempt. If the grant answers a request older than `grant_age_limit`, the
    /// engine may be leaving by now, so the admission request is sent again instead.
    pub(super) fn handle_grant(
        &mut self,
        id: u64,
        engine: EngineName,
        asked_at: Timestamp,
        owners: &OwnerTable,
        context: &mut Context<'_>,
    ) {
        if context.now.since(asked_at) > context.parameters.grant_age_limit {
            self.send_enqueue(id, context);
            self.schedule(id, context.now + ENQUEUE_RESEND_PERIOD);
            return;
        }
        let Some(address) = owners.address(&engine) else {
            return;
        };
        let Some(generation) = self.live.get_mut(&id) else {
            return;
        };
        let State::Queued { ticket, .. } = generation.state else {
            return;
        };
        self.due.remove(&(generation.due, id));
        let spec = &generation.spec;
        let call = EngineCall {
            model: spec.model.clone(),
            prompt: Arc::clone(&spec.prompt),
            prefix: Arc::clone(&spec.prefix),
            prompt_tokens: spec.prompt_tokens,
            max_tokens: spec.max_tokens,
            seed: spec.seed,
            priority: spec.priority,
            resume: spec.resume.clone(),
        };
        let request = match &spec.purpose {
            Purpose::Caller(request) => Some(*request),
            Purpose::Slot(_) => None,
        };
        let oldest = None;
        generation.state = State::Running {
            engine: engine.clone(),
            ticket,
            oldest,
        };
        context.actions.push(Action::StartAttempt {
            attempt: AttemptId(ticket),
            request,
            engine,
            address,
            call: Box::new(call),
        });
    }

    /// Schedules another placement that avoids the engine. A caller's request that was placed more
    /// than [`MAX_AVOIDED`] times is refused if the queue is full.
    pub(super) fn handle_refusal(
        &mut self,
        id: u64,
        engine: EngineName,
        reason: RefusalReason,
        context: &mut Context<'_>,
    ) {
        let Some(generation) = self.live.get_mut(&id) else {
            return;
        };
        if let State::Queued { ticket, .. } = generation.state {
            self.by_ticket.remove(&ticket);
        }
        generation.state = State::Waiting;
        generation.avoid.push(engine);
        if generation.avoid.len() > MAX_AVOIDED {
            generation.avoid.remove(0);
        }
        let is_caller = matches!(generation.spec.purpose, Purpose::Caller(_));
        let is_full = reason == RefusalReason::QueueFull;
        if is_caller && is_full && generation.placements as usize > MAX_AVOIDED {
            self.refuse(id, RefusalKind::Overloaded, context);
            return;
        }
        let delay = PLACEMENT_BACKOFF.delay(generation.placements.min(3), context.random);
        self.schedule(id, context.now + delay);
    }

    /// Sends the releases that are due. Drops a release that was sent [`MAX_RELEASE_SENDS`] times
    /// or whose engine has no owner.
    pub(super) fn send_releases(&mut self, owners: &mut OwnerTable, context: &mut Context<'_>) {
        let due: Vec<u64> = self
            .releases
            .iter()
            .filter(|(_, release)| release.due <= context.now)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in due {
            let Some(release) = self.releases.get_mut(&ticket) else {
                continue;
            };
            release.sends += 1;
            release.due = context.now + RELEASE_RESEND_PERIOD;
            let owner = owners.owner(&release.engine, context);
            let Some(owner) = owner.filter(|_| release.sends <= MAX_RELEASE_SENDS) else {
                self.releases.remove(&ticket);
                continue;
            };
            let message = AdmissionMessage::Release {
                ticket,
                engine: release.engine.clone(),
                served: release.served,
                engine_failed: release.engine_failed,
            };
            context.send(&owner, PeerMessage::Admission(message));
        }
    }
}
