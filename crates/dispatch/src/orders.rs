//! Orders that make replicas load a version of a model: their state, timeouts and retries.
//!
//! Owns the loads in progress and the number of orders that each replica has accepted. Only one
//! holder sends orders at a time: it respects the leases of earlier holders, and each order states
//! how many orders the replica must have accepted, so that the replica rejects a delayed order
//! after a newer one. `load_plan` decides which replica loads which version, `assignment` chooses
//! primary models, and `loading` sends orders and handles answers by the rules in this module.

use crate::leases::OrderLeases;
use crate::loads::LoadLimit;
use crate::peak::PeakItems;
use brasspond_fleet::Life;
use brasspond_units::Millis;
use std::collections::{BTreeMap, HashMap};

/// Interval between two polls of a replica that loads, in ms.
pub(crate) const POLL_INTERVAL_MS: Millis = 120;
/// Time for a replica to accept and begin an order, or to answer the query before it, in ms; then
/// the load is abandoned.
const ORDER_TIMEOUT_MS: Millis = 2_500;
/// Time for which a replica may execute an order, in ms; then the load is abandoned. Includes the
/// runs that the replica finishes before it loads.
const LOAD_TIMEOUT_MS: Millis = 20_000;
/// Delay before a replica is ordered again after an abandoned load, in ms.
pub(crate) const LOAD_RETRY_DELAY_MS: Millis = 500;

/// State of a replica as it reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaReport {
    /// Models that the replica serves, with their versions.
    pub versions: Vec<(String, u64)>,
    /// Whether the replica is executing an order.
    pub busy: bool,
    /// Number of orders that the replica has accepted.
    pub sequence: u64,
    /// Life of the replica when it reported.
    pub life: Life,
}

/// Answer of a replica to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The replica accepted the order and executes it.
    Taken,
    /// The replica already serves the version.
    Holds,
    /// The replica is executing another order, or has accepted another number of orders than this
    /// one expects.
    Conflict,
    /// The replica has accepted an order of a newer holder.
    Fenced,
    /// The replica rejected the order for another reason, for example because another replica
    /// listens at the address.
    Refused,
    /// No answer arrived, so the replica may still execute the order at any time.
    Unknown,
    /// The order was not sent.
    NotSent,
}

/// Progress of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The replica was asked how many orders it has accepted.
    AwaitingReport,
    /// The order was sent; the answer is pending.
    AwaitingAnswer,
    /// The replica accepted the order and is polled.
    Loading,
}

impl Stage {
    /// Returns the name of the stage in log lines.
    fn name(self) -> &'static str {
        match self {
            Self::AwaitingReport => "Asking",
            Self::AwaitingAnswer => "Sent",
            Self::Loading => "Loading",
        }
    }
}

/// A load in progress.
#[derive(Clone, Debug)]
pub(crate) struct VersionLoad {
    pub model: String,
    pub version: u64,
    pub stage: Stage,
    /// When the load began or the replica accepted the order.
    pub since: Millis,
    /// When the replica accepted the order, if the answer arrived.
    pub accepted_at: Option<Millis>,
    /// When to poll the replica next; `None` while a poll is pending.
    pub poll_at: Option<Millis>,
}

/// The next step of a load after a report of its replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AfterReport {
    /// The load has ended: the replica serves the version.
    Loaded,
    /// The replica is polled again later.
    PollAgain,
    /// The order is sent now.
    SendOrder,
    /// The load is abandoned.
    Abandon,
}

/// Whether the time to accept and begin an order is over. `elapsed` is the time in ms since the
/// load began or the replica accepted the order.
pub(crate) fn is_order_timed_out(elapsed: Millis) -> bool {
    elapsed >= ORDER_TIMEOUT_MS
}

/// Decides the next step of a load after a report. `elapsed` is the time in ms since the load began
/// or the replica accepted the order. `has_version` states that the replica serves the version or
/// a newer one, `is_busy` that it is executing an order.
pub(crate) fn after_report(
    stage: Stage,
    elapsed: Millis,
    has_version: bool,
    is_busy: bool,
) -> AfterReport {
    if has_version && !is_busy {
        AfterReport::Loaded
    } else if is_busy && elapsed < LOAD_TIMEOUT_MS {
        AfterReport::PollAgain
    } else if is_order_timed_out(elapsed) {
        AfterReport::Abandon
    } else if stage == Stage::AwaitingReport && !is_busy {
        AfterReport::SendOrder
    } else {
        AfterReport::PollAgain
    }
}

/// Loads in progress and the primary model of each replica.
#[derive(Debug)]
pub(crate) struct Orders {
    /// Loads in progress by replica id. A load restarts when its replica does.
    pub loads: BTreeMap<String, VersionLoad>,
    pub load_limit: LoadLimit,
    /// Number of orders that each replica has accepted in its known life. A replica without an
    /// entry is asked before it is sent an order.
    pub sequences: HashMap<String, u64>,
    /// Primary model by replica id; kept when the replica restarts.
    pub primary_models: BTreeMap<String, String>,
    /// Earliest time of the next order to a replica after an abandoned load. Discarded when the
    /// replica restarts.
    pub not_before: HashMap<String, Millis>,
    /// Leases of earlier holders by replica id. They survive a restart of the replica, as an order
    /// of another holder may reach its next life.
    leases: OrderLeases,
    /// When loads were last planned.
    pub planned_at: Option<Millis>,
    /// Peak numbers of items, by which loads are urgent or not.
    pub peaks: PeakItems,
}

impl Orders {
    /// Creates the state of a new holder, which respects the leases of earlier ones.
    pub fn new(leases: OrderLeases) -> Self {
        Self {
            loads: BTreeMap::new(),
            load_limit: LoadLimit::new(),
            sequences: HashMap::new(),
            primary_models: BTreeMap::new(),
            not_before: HashMap::new(),
            leases,
            planned_at: None,
            peaks: PeakItems::default(),
        }
    }

    /// Discards the number of orders that a replica has accepted, as the replica may have restarted
    /// without reporting a new life. It is asked again before the next order.
    pub fn forget_sequence(&mut self, id: &str) {
        self.sequences.remove(id);
    }

    /// Discards the state of a replica's earlier life. A load in progress starts again, with the
    /// query for the number of accepted orders.
    pub fn begin_life(&mut self, id: &str, now: Millis) {
        self.sequences.remove(id);
        self.not_before.remove(id);
        let Some(load) = self.loads.get_mut(id) else {
            return;
        };
        log::info!(
            "event=load_anew replica={id} model={} version={} stage={} elapsed_ms={}",
            load.model,
            load.version,
            load.stage.name(),
            now - load.since
        );
        load.stage = Stage::AwaitingReport;
        load.since = now;
        load.accepted_at = None;
        load.poll_at = Some(now);
    }

    /// Whether a replica may be sent an order now: no load is in progress on it, none was abandoned
    /// within [`LOAD_RETRY_DELAY_MS`] and no other holder has a lease on it.
    pub fn may_load(&self, id: &str, now: Millis) -> bool {
        let is_due = self.not_before.get(id).is_none_or(|at| *at <= now);
        is_due && !self.leases.is_leased(id, now) && !self.loads.contains_key(id)
    }

    /// Discards the loads of replicas that accept no orders.
    pub fn retain_loads(&mut self, takes_orders: impl Fn(&str) -> bool) {
        self.loads.retain(|id, load| {
            let stays = takes_orders(id);
            if !stays {
                log::info!(
                    "event=load_forgotten replica={id} model={} version={} reason=takes_no_work",
                    load.model,
                    load.version
                );
            }
            stays
        });
    }

    /// Discards the retry times and order counts of replicas that accept no orders.
    pub fn retain_replicas(&mut self, takes_orders: impl Fn(&str) -> bool) {
        self.not_before.retain(|id, _| takes_orders(id));
        self.sequences.retain(|id, _| takes_orders(id));
    }

    /// Returns the replicas that are due to be polled and marks their polls as pending.
    pub fn take_due_polls(&mut self, now: Millis) -> Vec<String> {
        let mut due = Vec::new();
        for (id, load) in &mut self.loads {
            if load.poll_at.is_some_and(|at| at <= now) {
                load.poll_at = None;
                due.push(id.clone());
            }
        }
        due
    }

    /// Number of loads in progress.
    pub fn in_progress(&self) -> usize {
        self.loads.len()
    }

    /// Whether a replica loads, or is about to load, a version of a model.
    pub fn is_loading(&self, replica: &str, model: &str) -> bool {
        let load = self.loads.get(replica);
        load.is_some_and(|load| load.model == model)
    }

    /// Whether a replica loads, or is about to load, any model.
    pub fn is_loading_any(&self, replica: &str) -> bool {
        self.loads.contains_key(replica)
    }
}

#[cfg(test)]
#[path = "../tests/unit/orders.rs"]
mod tests;
