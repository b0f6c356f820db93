//! Observations of one replica, merged over all edges, with their age.

use crate::ReplicaObservation;
use brasspond_units::Millis;
use std::collections::VecDeque;
use std::sync::Arc;

/// Age at which an observation expires, in ms.
const OBSERVATION_TTL: Millis = 5_000;
/// Time for which the answers of all edges are added up, in ms. It bounds the memory of a replica
/// to ten sums, whatever the number of edges.
const SUM_INTERVAL: Millis = 500;

/// Answers that arrived within one interval.
#[derive(Clone, Copy, Debug)]
struct Sum {
    begun_at: Millis,
    answers: u64,
    total_ms: u64,
}

/// The last report of an edge on a replica if it contained faults.
#[derive(Clone, Debug)]
struct FailingEdge {
    edge: Arc<str>,
    reported_at: Millis,
}

/// Merged observations of a replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct Merged {
    /// Oldest first.
    sums: VecDeque<Sum>,
    failing_edges: Vec<FailingEdge>,
}

impl Merged {
    /// Adds the report of an edge. A report with faults replaces the edge's previous one, and one
    /// with answers only withdraws it.
    pub fn add(&mut self, edge: &Arc<str>, observation: &ReplicaObservation, now: Millis) {
        if observation.answers > 0 {
            self.add_answers(observation, now);
        }
        if observation.faults > 0 || observation.answers > 0 {
            self.failing_edges.retain(|failing| failing.edge != *edge);
        }
        if observation.faults > 0 {
            self.failing_edges.push(FailingEdge {
                edge: Arc::clone(edge),
                reported_at: now,
            });
        }
    }

    fn add_answers(&mut self, observation: &ReplicaObservation, now: Millis) {
        let current = self.sums.back().map(|sum| sum.begun_at);
        if current.is_none_or(|begun_at| now >= begun_at + SUM_INTERVAL) {
            self.sums.push_back(Sum {
                begun_at: now,
                answers: 0,
                total_ms: 0,
            });
        }
        if let Some(sum) = self.sums.back_mut() {
            let answers = u64::from(observation.answers);
            sum.answers = sum.answers.saturating_add(answers);
            let total_ms = answers.saturating_mul(u64::from(observation.mean_ms));
            sum.total_ms = sum.total_ms.saturating_add(total_ms);
        }
    }

    /// Removes expired observations. Returns whether any are left.
    pub fn expire(&mut self, now: Millis) -> bool {
        let is_expired = |at: Millis| now >= at + OBSERVATION_TTL;
        while self
            .sums
            .front()
            .is_some_and(|sum| is_expired(sum.begun_at))
        {
            self.sums.pop_front();
        }
        self.failing_edges
            .retain(|failing| !is_expired(failing.reported_at));
        !self.sums.is_empty() || !self.failing_edges.is_empty()
    }

    /// Mean response time in ms; `None` without answers.
    pub fn mean_ms(&self) -> Option<u32> {
        let answers: u64 = self.sums.iter().map(|sum| sum.answers).sum();
        let total_ms = self
            .sums
            .iter()
            .fold(0_u64, |total, sum| total.saturating_add(sum.total_ms));
        let mean_ms = total_ms.checked_div(answers)?;
        Some(u32::try_from(mean_ms).unwrap_or(u32::MAX))
    }

    /// Number of edges at which the replica fails.
    pub fn failing_edges(&self) -> usize {
        self.failing_edges.len()
    }
}
