//! Decides when a request is sent to a second replica while the first one has not answered.
//!
//! Every rule is a pure function of its arguments. The budget is the only state; it belongs to the
//! edge and is kept by service. [`super::hedged_attempt`] applies the decisions.

use brasspond_fleet::RouteKind;
use std::collections::HashMap;
use std::time::Duration;

/// Delay of a hedge, as a multiple of the response time expected for the service.
const HEDGE_DELAY_FACTOR: f64 = 2.0;
/// Minimum delay of a hedge: shorter delays measure the edge's own scheduling.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(20);
/// Maximum delay of a hedge as a fraction of the route's latency objective. The other half is left
/// for the hedge itself.
const MAX_HEDGE_DELAY_OBJECTIVES: f64 = 0.5;
/// Hedges that a service gains with each request. It bounds the additional load to half of the
/// requests.
const HEDGES_PER_REQUEST: f64 = 0.5;
/// Maximum number of saved hedges of a service. It bounds a burst of hedges after quiet time.
const MAX_SAVED_HEDGES: f64 = 10.0;
/// Saved hedges that scoring calls leave to callers' requests.
const HEDGES_RESERVED_FOR_CALLERS: f64 = 5.0;

/// The kind of request that a hedge is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HedgeClass {
    Caller,
    ScoringCall,
}

/// When and how a hedge may be sent for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HedgePlan {
    /// Time from the start of the attempt to the hedge.
    pub delay: Duration,
    /// Timeout of the hedge.
    pub timeout: Duration,
    pub class: HedgeClass,
}

/// Whether a hedge is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HedgeDecision {
    Send,
    /// The service's budget is used up.
    NoBudget,
    /// No other allowed replica has a free slot.
    NoReplica,
}

/// Whether an attempt may be hedged. `delivered` earlier attempts reached a replica; the attempt
/// and its hedge count as two more. A route without a latency objective has no delay to go by.
pub(super) fn may_hedge(
    kind: RouteKind,
    delivered: u32,
    max_attempts: u32,
    objective: Duration,
) -> bool {
    kind == RouteKind::Idempotent
        && delivered.saturating_add(2) <= max_attempts
        && !objective.is_zero()
}

/// Time from the start of an attempt to its hedge. `typical_ms` is the response time expected for
/// the service, in ms; without it the delay is the maximum.
pub(super) fn hedge_delay(typical_ms: Option<f64>, objective: Duration) -> Duration {
    let longest = objective.mul_f64(MAX_HEDGE_DELAY_OBJECTIVES);
    let Some(typical_ms) = typical_ms else {
        return longest;
    };
    let delay_ms = (HEDGE_DELAY_FACTOR * typical_ms).clamp(0.0, longest.as_secs_f64() * 1_000.0);
    let delay = Duration::from_secs_f64(delay_ms / 1_000.0);
    delay.max(MIN_HEDGE_DELAY).min(longest)
}

/// Token bucket of one service, in hedges.
#[derive(Clone, Copy, Debug)]
struct HedgeBudget {
    saved: f64,
}

impl HedgeBudget {
    fn gain(&mut self) {
        self.saved = (self.saved + HEDGES_PER_REQUEST).min(MAX_SAVED_HEDGES);
    }

    /// Takes one hedge. Returns false if the budget for this class is used up.
    fn take(&mut self, class: HedgeClass) -> bool {
        let reserved = match class {
            HedgeClass::Caller => 0.0,
            HedgeClass::ScoringCall => HEDGES_RESERVED_FOR_CALLERS,
        };
        if self.saved < reserved + 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

/// Budgets of hedges by service. A service that is not known yet has a full budget, because an
/// edge that has just started knows no response times.
#[derive(Debug, Default)]
pub(super) struct HedgeBudgets {
    by_service: HashMap<String, HedgeBudget>,
}

impl HedgeBudgets {
    /// Counts a request that may be hedged towards the budget of its service.
    pub fn count_request(&mut self, service: &str) {
        self.budget(service).gain();
    }

    /// Decides whether a hedge is sent and, if so, takes it from the budget. `has_replica` tells
    /// whether another allowed replica has a free slot.
    pub fn decide(&mut self, service: &str, class: HedgeClass, has_replica: bool) -> HedgeDecision {
        if !has_replica {
            return HedgeDecision::NoReplica;
        }
        if self.budget(service).take(class) {
            HedgeDecision::Send
        } else {
            HedgeDecision::NoBudget
        }
    }

    fn budget(&mut self, service: &str) -> &mut HedgeBudget {
        if !self.by_service.contains_key(service) {
            let full = HedgeBudget {
                saved: MAX_SAVED_HEDGES,
            };
            self.by_service.insert(service.to_string(), full);
        }
        self.by_service
            .get_mut(service)
            .expect("the entry was inserted above")
    }
}

#[cfg(test)]
#[path = "../../tests/unit/hedging.rs"]
mod tests;
