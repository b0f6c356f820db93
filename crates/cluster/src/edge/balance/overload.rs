//! Overload of a service: whether a request can still be answered in time, and how long its backlog
//! takes.
//!
//! Goes by the requests that this edge knows of, its own and reported ones, and by its own response
//! times. Both are lower bounds while other edges send requests too, so that a request is rejected
//! only if it is certainly too late.

use super::LoadBalancer;
use crate::clock::Moment;
use crate::edge::replica_state::ReplicaState;
use brasspond_eligibility::Requirements;
use std::time::Duration;

impl ReplicaState {
    /// Expected time to the answer to a further request that waits for a slot, in ms; `None` if a
    /// slot is free or the replica has not responded yet.
    fn queued_response_ms(&self, now: Moment) -> Option<f64> {
        let slots = self.slots.max(1);
        let queued = self.requests(now).checked_sub(slots)? + 1;
        Some(self.response.mean_ms()? * (1.0 + f64::from(queued) / f64::from(slots)))
    }
}

impl LoadBalancer {
    /// Whether all slots of all eligible replicas are in use and none of these replicas is expected
    /// to answer within `left`. A replica that has not responded yet may always answer in time, and
    /// so may one that is warming up.
    pub fn is_overloaded(
        &self,
        requirements: &Requirements<'_>,
        left: Duration,
        now: Moment,
    ) -> bool {
        let left_ms = left.as_secs_f64() * 1_000.0;
        let is_late = |state: &ReplicaState| {
            let queued_ms = state.queued_response_ms(now);
            queued_ms.is_some_and(|queued_ms| queued_ms > left_ms)
        };
        let mut eligible = self.eligible(requirements).peekable();
        eligible.peek().is_some()
            && eligible.all(is_late)
            && !self.has_warming_replica(requirements)
    }

    /// Time until the eligible replicas have worked off the requests beyond their slots.
    pub fn backlog_time(&self, requirements: &Requirements<'_>, now: Moment) -> Duration {
        let typical_ms = self.typical_response_ms(requirements).unwrap_or(0.0);
        let eligible = || self.eligible(requirements);
        let requests: u32 = eligible().map(|state| state.requests(now)).sum();
        let slots: u32 = eligible().map(|state| state.slots).sum();
        let backlog = f64::from(requests.saturating_sub(slots));
        Duration::from_secs_f64(backlog * typical_ms / f64::from(slots.max(1)) / 1_000.0)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/overload.rs"]
mod tests;
