//! The stable subset of a service's replicas that an edge uses while it sends few requests.
//!
//! In a large fleet an edge would meet a replica that it has not used before with nearly every
//! request: each one would open a connection, and what the edge learns about a replica would never
//! count. Each edge therefore prefers a few replicas, by its own random order, so that all edges
//! together use all replicas. The subset grows with the edge's requests.

use super::{Candidate, LoadBalancer, NEAR_BEST_RATIO};
use crate::clock::Moment;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Smallest size of a subset, so that a slow or failing replica has alternatives.
const MIN_SUBSET: usize = 4;
/// Time in which the weight of a request falls to 1/e. It is shorter than the idle timeout of
/// connections, so that each replica of a subset gets a request before its connection is closed.
const REQUEST_DECAY: Duration = Duration::from_secs(5);
/// Number of requests of which one may go to any replica, so that an edge whose subset is slow
/// finds faster replicas.
const EXPLORATION_INTERVAL: u32 = 16;

/// Number of requests of a service, each weighted less the older it is.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecentRequests {
    count: f64,
    counted_at: Moment,
}

impl RecentRequests {
    pub fn new(now: Moment) -> Self {
        Self {
            count: 0.0,
            counted_at: now,
        }
    }

    fn at(self, now: Moment) -> f64 {
        let age = now.saturating_duration_since(self.counted_at);
        self.count * (-age.as_secs_f64() / REQUEST_DECAY.as_secs_f64()).exp()
    }

    pub fn add(&mut self, now: Moment) {
        self.count = self.at(now) + 1.0;
        self.counted_at = now;
    }

    /// Size of the subset: one replica for each recent request.
    fn subset_size(self, now: Moment) -> usize {
        MIN_SUBSET.max(self.at(now) as usize)
    }
}

/// An edge's own order of the replicas.
#[derive(Clone, Copy, Debug)]
pub(super) struct Preference {
    seed: u64,
}

impl Preference {
    pub fn random() -> Self {
        Self {
            seed: rand::random(),
        }
    }

    fn of(self, replica: &str) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, replica).hash(&mut hasher);
        hasher.finish()
    }
}

/// How a request chooses among the eligible replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    /// Among all of them.
    All,
    /// Among all of them, to find out about those outside the subset.
    Exploration,
    /// Among the subset of this size.
    Subset(usize),
}

impl LoadBalancer {
    /// Decides how the next request of a service chooses among `eligible` replicas.
    pub(super) fn scope(&self, service: &str, eligible: usize, now: Moment) -> Scope {
        let recent = self.recent_requests.get(service);
        let size = recent.map_or(MIN_SUBSET, |recent| recent.subset_size(now));
        if eligible <= size {
            return Scope::All;
        }
        let count = self.subset_choices.get().wrapping_add(1);
        self.subset_choices.set(count);
        if count.is_multiple_of(EXPLORATION_INTERVAL) {
            Scope::Exploration
        } else {
            Scope::Subset(size)
        }
    }

    /// Keeps the candidates of the subset: the best ones by rank, then the nearest, then those that
    /// this edge prefers. Keeps all candidates if one outside the subset is much faster than those
    /// inside. There must be more than `size` candidates.
    pub(super) fn keep_subset<'a>(
        &self,
        mut candidates: Vec<Candidate<'a>>,
        size: usize,
    ) -> Vec<Candidate<'a>> {
        let best = candidates
            .iter()
            .min_by(|one, other| Candidate::compare(one, other));
        let Some((rank, best_ms)) = best.map(|best| (best.rank, best.expected_ms)) else {
            return candidates;
        };
        for candidate in &mut candidates {
            candidate.preference = self.preference.of(&candidate.endpoint.id);
        }
        candidates.select_nth_unstable_by_key(size, |candidate| {
            (candidate.rank, candidate.distance, candidate.preference)
        });
        let mut subset = candidates[..size].iter();
        let has_near_best = subset.any(|candidate| {
            candidate.rank == rank && candidate.expected_ms <= best_ms * NEAR_BEST_RATIO
        });
        if has_near_best {
            candidates.truncate(size);
        }
        candidates
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/subset.rs"]
mod tests;
