//! Response times and choices of replicas for hedges and scoring calls.

use super::LoadBalancer;
use crate::clock::Moment;
use crate::edge::replica_state::{DEFAULT_RESPONSE_MS, ReplicaState};
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
        let states = self.replicas.values();
        let eligible = states.filter(|state| state.endpoint.check(requirements).is_ok());
        let mut times: Vec<f64> = eligible
            .filter_map(|state| state.response.mean_ms())
            .collect();
        let middle = times.len().checked_sub(1)? / 2;
        let (_, median, _) = times.select_nth_unstable_by(middle, f64::total_cmp);
        Some(*median)
    }

    /// Chooses an eligible replica that has a free slot, is not paused and is not `excluded`; `None`
    /// if there is none.
    pub fn choose_free(
        &self,
        requirements: &Requirements<'_>,
        excluded: Vec<String>,
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
        excluded: Vec<String>,
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
        mut excluded: Vec<String>,
        now: Moment,
        is_fit: impl Fn(&ReplicaState) -> bool,
    ) -> Option<Clearance> {
        let states = self.replicas.iter();
        let unfit = states
            .filter(|(_, state)| state.endpoint.check(requirements).is_ok() && !is_fit(state));
        excluded.extend(unfit.map(|(id, _)| id.to_string()));
        let chosen = self.choose(requirements, &excluded, now)?;
        let is_excluded = excluded.iter().any(|id| **id == **chosen.replica());
        (!is_excluded).then_some(chosen)
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
