//! One engine at the node that owns it: its queue, grants and versions.

mod orders;

use crate::context::Context;
use brasspond_engine_api::EngineReport;
use brasspond_fairness::{FairQueue, Priority, QueueEntry};
use brasspond_limits::{Backoff, ConcurrencyLimit};
use brasspond_protocol::{AdmissionMessage, PeerMessage, RefusalReason, Sender};
use brasspond_routing::EngineLoad;
use brasspond_types::{
    EngineName, GroupName, ModelName, Mutation, NodeName, Timestamp, WeightVersion,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which an unanswered order is sent again.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before another claim after the engine rejected an order: at most 2 s after the first
/// rejection and 4 s after further ones, so that membership can agree on the engine's owner.
const CLAIM_BACKOFF: Backoff = Backoff {
    base: Duration::from_secs(1),
    cap: Duration::from_secs(4),
};
/// Time between two attempts to load weights from a busy source.
const LOAD_RETRY_PERIOD: Duration = Duration::from_millis(120);
/// Number of tries to load weights from one source before the next ancestor is used. They take
/// 4.8 s if the source is always busy, at one try per [`LOAD_RETRY_PERIOD`].
pub(crate) const TRIES_PER_ANCESTOR: u32 = 40;
/// Time after a takeover during which requests that the engine reports count against its limit,
/// since the previous owner may have granted them.
const TAKEOVER_PERIOD: Duration = Duration::from_secs(60);
/// Time between two probes of a grant. A probe asks the requesting node whether it still uses the
/// grant, since its release may have gone to another owner during a network partition.
const GRANT_PROBE_PERIOD: Duration = Duration::from_secs(10);
/// Lower bound of the concurrency limit, so that the limit alone never blocks an engine.
const MIN_LIMIT: u32 = 1;
/// Maximum number of requests in the queue of one engine.
const MAX_QUEUE_LENGTH: usize = 4_096;
/// Fraction of a group's excess that one correction adds to the group's fair-queueing counter.
const FAIRNESS_GAIN: f64 = 0.5;

/// Identity of one request for admission to an engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct TicketId {
    /// Node that requested it.
    pub(crate) node: NodeName,
    /// Process on that node.
    pub(crate) instance: u64,
    /// Number within the process, which is never reused.
    pub(crate) number: u64,
}

impl TicketId {
    /// Creates the identity from the sending process and the number that it gave the request.
    pub(crate) fn new(sender: &Sender, number: u64) -> Self {
        Self {
            node: sender.node.clone(),
            instance: sender.instance,
            number,
        }
    }
}

/// A request in the owner's queue.
#[derive(Clone, Debug, PartialEq)]
struct AdmissionRequest {
    ticket: TicketId,
    model: ModelName,
    minimum_version: WeightVersion,
    /// Time at which the requesting node sent the request.
    asked_at: Timestamp,
}

/// A granted request, which may run on the engine.
#[derive(Debug)]
struct Grant {
    group: GroupName,
    cost: f32,
    priority: Priority,
    probe_due: Timestamp,
}

/// An engine this node owns.
#[derive(Debug)]
pub(crate) struct Owner {
    pub(crate) engine: EngineName,
    pub(crate) address: SocketAddr,
    /// Epoch in which the engine accepts this node's orders, if any.
    held_epoch: Option<u64>,
    /// Number of orders that the engine rejected since the last accepted claim.
    rejected_orders: u32,
    claim_due: Timestamp,
    order_sent: Option<Timestamp>,
    load_tries: BTreeMap<(ModelName, WeightVersion), u32>,
    load_due: Timestamp,
    queue: FairQueue<AdmissionRequest>,
    /// Requests for a version that the engine does not serve yet.
    awaiting_version: Vec<QueueEntry<AdmissionRequest>>,
    grants: BTreeMap<TicketId, Grant>,
    limit: ConcurrencyLimit,
    report: Option<EngineReport>,
    /// Time at which the poll that `report` answers was sent.
    report_asked: Timestamp,
    poll_due: Timestamp,
    owned_since: Timestamp,
}

impl Owner {
    pub(crate) fn new(engine: EngineName, address: SocketAddr, now: Timestamp) -> Self {
        Self {
            engine,
            address,
            held_epoch: None,
            rejected_orders: 0,
            claim_due: now,
            order_sent: None,
            load_tries: BTreeMap::new(),
            load_due: now,
            queue: FairQueue::new(MAX_QUEUE_LENGTH),
            awaiting_version: Vec::new(),
            grants: BTreeMap::new(),
            limit: ConcurrencyLimit::new(MIN_LIMIT, MIN_LIMIT, MIN_LIMIT),
            report: None,
            report_asked: Timestamp::ZERO,
            poll_due: now,
            owned_since: now,
        }
    }

    /// Load as reported to the nodes that request admission.
    pub(crate) fn load(&self) -> EngineLoad {
        let running: f32 = self.grants.values().map(|grant| grant.cost).sum();
        let awaiting: f64 = self
            .awaiting_version
            .iter()
            .map(|waiting| waiting.cost)
            .sum();
        EngineLoad {
            // At the end of the takeover period, only the grants count.
            running: self.occupied(self.owned_since + TAKEOVER_PERIOD),
            limit: self.limit.current(),
            queued: (self.queue.len() + self.awaiting_version.len()) as u32,
            pending_tokens: running + (self.queue.waiting_cost() + awaiting) as f32,
        }
    }

    /// Whether requests wait in the queue.
    pub(crate) fn has_waiting(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Sets the groups' weights.
    pub(crate) fn set_weights(&mut self, weights: &BTreeMap<GroupName, f64>) {
        for (group, weight) in weights {
            self.queue.set_weight(group, *weight);
        }
    }

    /// Adjusts the groups' counters by the cost that the whole pool served them
    /// above their share; `fraction` is this engine's part of the pool.
    pub(crate) fn correct_shares(&mut self, excess: &BTreeMap<GroupName, f64>, fraction: f64) {
        for (group, excess) in excess {
            self.queue.adjust(group, excess * fraction * FAIRNESS_GAIN);
        }
    }

    /// Whether the engine accepts work: it obeys this node's orders, its report is recent and it is
    /// not leaving.
    fn accepts_work(&self, is_leaving: bool, context: &Context<'_>) -> bool {
        let age = context.now.since(self.report_asked);
        let is_fresh = age <= context.parameters.report_age_limit;
        let has_report = self.report.is_some();
        let reports_leaving = self.reports_leaving(context);
        self.held_epoch.is_some() && has_report && is_fresh && !reports_leaving && !is_leaving
    }

    /// Whether the engine reports that it is about to stop.
    fn reports_leaving(&self, context: &Context<'_>) -> bool {
        let is_ignored = context.parameters.mutations.is_on(Mutation::IgnoreLeaving);
        !is_ignored && self.report.as_ref().is_some_and(|report| report.leaving)
    }

    /// Number of requests that occupy the engine: the number of grants or, during
    /// [`TAKEOVER_PERIOD`], the number of requests that the engine reports if that is larger.
    fn occupied(&self, now: Timestamp) -> u32 {
        let granted = self.grants.len() as u32;
        if now.since(self.owned_since) >= TAKEOVER_PERIOD {
            return granted;
        }
        let reported = self.report.as_ref();
        let reported = reported.map_or(0, |report| report.running + report.waiting);
        granted.max(reported)
    }

    /// Handles an admission request.
    pub(crate) fn enqueue(
        &mut self,
        sender: &Sender,
        message: &AdmissionMessage,
        is_leaving: bool,
        context: &mut Context<'_>,
    ) {
        let AdmissionMessage::Enqueue {
            ticket,
            asked_at,
            group,
            model,
            minimum_version,
            cost,
            priority,
            milliseconds_left,
            ..
        } = message
        else {
            return;
        };
        let ticket = &TicketId::new(sender, *ticket);
        if self.grants.contains_key(ticket) {
            self.repeat_grant(ticket, *asked_at, is_leaving, context);
            return;
        }
        if is_leaving || self.reports_leaving(context) {
            self.refuse(ticket, RefusalReason::EngineUnavailable, context);
            return;
        }
        self.remove_waiting(ticket);
        let time_left = Duration::from_millis(u64::from(*milliseconds_left));
        let waiting = QueueEntry {
            item: AdmissionRequest {
                ticket: ticket.clone(),
                model: model.clone(),
                minimum_version: *minimum_version,
                asked_at: *asked_at,
            },
            group: group.clone(),
            priority: *priority,
            cost: f64::from(*cost),
            enqueued: context.now,
            deadline: context.now + time_left,
        };
        if let Some(shed) = self.queue.push(waiting) {
            self.refuse(&shed.item.ticket, RefusalReason::QueueFull, context);
            if shed.item.ticket == *ticket {
                return;
            }
        }
        self.dispatch(is_leaving, context);
        if !self.grants.contains_key(ticket) {
            let queued = AdmissionMessage::Queued {
                ticket: ticket.number,
                load: self.load(),
            };
            context.send(&ticket.node, PeerMessage::Admission(queued));
        }
    }

    /// Answers a repeated admission request that is already granted. If the engine no longer
    /// accepts work, withdraws the grant and refuses the request.
    fn repeat_grant(
        &mut self,
        ticket: &TicketId,
        asked_at: Timestamp,
        is_leaving: bool,
        context: &mut Context<'_>,
    ) {
        if self.accepts_work(is_leaving, context) {
            self.send_granted(ticket, asked_at, context);
        } else {
            self.grants.remove(ticket);
            self.refuse(ticket, RefusalReason::EngineUnavailable, context);
        }
    }

    fn remove_waiting(&mut self, ticket: &TicketId) {
        self.queue
            .remove_matching(|waiting| waiting.item.ticket == *ticket);
        self.awaiting_version
            .retain(|waiting| waiting.item.ticket != *ticket);
    }

    /// Handles a release. Returns the group and the served cost if the request was granted.
    pub(crate) fn release(
        &mut self,
        ticket: &TicketId,
        served: f32,
        engine_failed: bool,
        is_leaving: bool,
        context: &mut Context<'_>,
    ) -> Option<(GroupName, f64)> {
        self.remove_waiting(ticket);
        let in_flight = self.grants.len() as u32;
        let grant = self.grants.remove(ticket)?;
        if engine_failed {
            self.limit.record_overload();
        } else {
            self.limit.record_success(in_flight);
        }
        let expected = f64::from(grant.cost);
        self.queue
            .correct_cost(&grant.group, expected, f64::from(served));
        self.dispatch(is_leaving, context);
        Some((grant.group, f64::from(served)))
    }

    /// Removes the requests and grants of the processes that `is_gone` selects.
    pub(crate) fn remove_tickets(&mut self, is_gone: impl Fn(&TicketId) -> bool) {
        self.queue
            .remove_matching(|waiting| is_gone(&waiting.item.ticket));
        self.awaiting_version
            .retain(|waiting| !is_gone(&waiting.item.ticket));
        self.grants.retain(|ticket, _| !is_gone(ticket));
    }

    /// Grants queued requests while the engine has capacity.
    pub(crate) fn dispatch(&mut self, is_leaving: bool, context: &mut Context<'_>) {
        if !self.accepts_work(is_leaving, context) {
            return;
        }
        loop {
            let occupied = self.occupied(context.now);
            if occupied >= self.limit.current() {
                return;
            }
            let Some(waiting) = self.queue.pop() else {
                return;
            };
            if waiting.deadline <= context.now {
                self.queue.correct_cost(&waiting.group, waiting.cost, 0.0);
                self.refuse(&waiting.item.ticket, RefusalReason::DeadlinePassed, context);
                continue;
            }
            if !self.serves(&waiting.item) {
                self.queue.correct_cost(&waiting.group, waiting.cost, 0.0);
                self.awaiting_version.push(waiting);
                continue;
            }
            if waiting.priority != Priority::Interactive && self.is_reserve_reached(context) {
                self.queue.correct_cost(&waiting.group, waiting.cost, 0.0);
                self.queue.push(waiting);
                return;
            }
            self.grant(waiting, context);
        }
    }

    /// Whether only the capacity reserved for interactive requests is left.
    fn is_reserve_reached(&self, context: &Context<'_>) -> bool {
        let limit = self.limit.current();
        let reserve = (f64::from(limit) * context.parameters.interactive_reserve) as u32;
        self.occupied(context.now) >= (limit - reserve).max(1)
    }

    fn serves(&self, request: &AdmissionRequest) -> bool {
        let report = self.report.as_ref();
        let version = report.and_then(|report| report.models.get(&request.model));
        version.is_some_and(|version| *version >= request.minimum_version)
    }

    fn grant(&mut self, waiting: QueueEntry<AdmissionRequest>, context: &mut Context<'_>) {
        let ticket = waiting.item.ticket;
        let grant = Grant {
            group: waiting.group,
            cost: waiting.cost as f32,
            priority: waiting.priority,
            probe_due: context.now + GRANT_PROBE_PERIOD,
        };
        self.grants.insert(ticket.clone(), grant);
        self.send_granted(&ticket, waiting.item.asked_at, context);
    }

    fn send_granted(&self, ticket: &TicketId, asked_at: Timestamp, context: &mut Context<'_>) {
        let granted = AdmissionMessage::Granted {
            ticket: ticket.number,
            engine: self.engine.clone(),
            asked_at,
            load: self.load(),
        };
        context.send(&ticket.node, PeerMessage::Admission(granted));
    }

    fn refuse(&self, ticket: &TicketId, reason: RefusalReason, context: &mut Context<'_>) {
        let refused = AdmissionMessage::Refused {
            ticket: ticket.number,
            reason,
            load: Some(self.load()),
        };
        context.send(&ticket.node, PeerMessage::Admission(refused));
    }

    /// Refuses all waiting requests, since the engine is leaving or another node owns it.
    pub(crate) fn refuse_all(&mut self, reason: RefusalReason, context: &mut Context<'_>) {
        let mut waiting = self.queue.remove_matching(|_| true);
        waiting.append(&mut self.awaiting_version);
        for waiting in waiting {
            self.refuse(&waiting.item.ticket, reason, context);
        }
    }

    /// Number of granted non-interactive requests, and number of all granted requests.
    pub(crate) fn grant_counts(&self) -> (usize, usize) {
        let rollouts = self.grants.values();
        let rollouts = rollouts.filter(|grant| grant.priority != Priority::Interactive);
        (rollouts.count(), self.grants.len())
    }
}
