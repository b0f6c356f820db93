//! Response times and choices of replicas for hedges and scoring calls.

use super::LoadBalancer;
use crate::clock::Moment;
use crate::edge::replica_state::{DEFAULT_RESPONSE_MS, ReplicaState};
use crate::edge::response_time::median;
use brasspond_eligibility::{Clearance, Requirements};
use std::sync::Arc;
use std::time::Duration;

/// Response time assumed for an attempt that was cancelled unanswered, as a multiple of the time
/// until then, which is only a lower bound.
const UNANSWERED_FACTOR: f64 = 2.0;

impl LoadBalancer {
    /// Typical response time of the eligible replicas that have responded to this edge, in ms: the
    /// median of their averages. `None` if none has responded.
    pub fn typical_response_ms(&self, requirements: &Requirements<'_>) -> Option<f64> {
        let times = self.eligible(requirements);
        let times = times.filter_map(|state| state.response.mean_ms());
        median(times.collect())
    }

    /// Chooses an eligible replica that has a free slot, is not paused and is not `excluded`; `None`
    /// if there is none.
    pub fn choose_free(
        &self,
        requirements: &Requirements<'_>,
        excluded: &[String],
        now: Moment,
    ) -> Option<Clearance> {
        self.choose_fit(requirements, excluded, now, |state| {
            !state.is_paused(now)
                && !state.is_failing(now)
                && state.requests(now) < state.slots.max(1)
        })
    }

    /// Chooses an eligible replica that has capacity for scoring calls, is expected to respond
    /// within `limit` and is not `excluded`; `None` if there is none.
    pub fn choose_spare(
        &self,
        requirements: &Requirements<'_>,
        excluded: &[String],
        limit: Duration,
        now: Moment,
    ) -> Option<Clearance> {
        let limit_ms = limit.as_secs_f64() * 1_000.0;
        self.choose_fit(requirements, excluded, now, |state| {
            state.has_spare_capacity(self.utilization_of(state, now), now)
                && !state.is_failing(now)
                && self.expected_ms(state, true, now) <= limit_ms
        })
    }

    fn choose_fit(
        &self,
        requirements: &Requirements<'_>,
        excluded: &[String],
        now: Moment,
        is_fit: impl Fn(&ReplicaState) -> bool,
    ) -> Option<Clearance> {
        let fit = self.eligible(requirements).filter(|state| {
            let is_excluded = excluded.iter().any(|id| **id == *state.endpoint.id);
            !is_excluded && is_fit(state)
        });
        self.choose_among(fit.collect(), requirements, &[], now)
    }

    /// Records an attempt that began at `started` and was cancelled unanswered after `elapsed`. If
    /// that is longer than the average, the attempt counts as a response time of
    /// [`UNANSWERED_FACTOR`] times as long, and is reported to the leader as one. Faults and pauses
    /// stay as they are.
    pub fn record_unanswered(&mut self, id: &str, started: Moment, elapsed: Duration) {
        let Some(state) = self.current_state(id, started) else {
            return;
        };
        let average_ms = state.response.mean_ms().unwrap_or(DEFAULT_RESPONSE_MS);
        let elapsed_ms = elapsed.as_secs_f64() * 1_000.0;
        if elapsed_ms > average_ms {
            let assumed_ms = elapsed_ms * UNANSWERED_FACTOR;
            state.response.record(assumed_ms, Moment::now());
            let replica = Arc::clone(&state.endpoint.id);
            self.observations.record_answer(&replica, assumed_ms);
        }
    }
}
