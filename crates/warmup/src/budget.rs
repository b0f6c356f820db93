//! Rate limiter for the requests that the leader grants to one replica that is warming up.

use crate::rate::Rate;
use brasspond_units::Millis;
use std::collections::VecDeque;

/// Time after the confirmation of a new leader during which the previous leader may still grant
/// requests, in ms. Only one leader is confirmed at a time, but clocks and the estimates of clocks
/// may be wrong by up to this time. A new leader assumes that all budgets are exhausted at the end
/// of this time. Without this time, fuzzing found the rate exceeded at an overlap of 351 ms
/// (`tests/granting.rs`).
pub const LEADER_OVERLAP_MS: Millis = 500;

/// Sliding-window rate limiter of one replica: at most [`Rate::max_grants`] grants in any span of
/// [`Rate::span_ms`].
#[derive(Clone, Debug)]
pub struct Budget {
    rate: Rate,
    /// Time of each grant, oldest first; at most [`Rate::max_grants`].
    grants: VecDeque<Millis>,
}

impl Budget {
    /// Creates a budget with as many grants at `at` as the rate allows; `at` may be in the future.
    /// Used if other processes may send an unknown number of requests to the replica until `at`.
    pub fn exhausted(rate: Rate, at: Millis) -> Self {
        let grants = std::iter::repeat_n(at, rate.max_grants as usize);
        Self {
            rate,
            grants: grants.collect(),
        }
    }

    /// Replaces all grants by as many at `at` as the rate allows, as in [`Budget::exhausted`].
    pub fn exhaust(&mut self, at: Millis) {
        *self = Self::exhausted(self.rate, at);
    }

    /// Sets the rate. If it differs from the current rate, the budget counts as exhausted at `at`,
    /// because another process may already have granted requests at the new rate.
    pub fn set_rate(&mut self, rate: Rate, at: Millis) {
        if rate != self.rate {
            *self = Self::exhausted(rate, at);
        }
    }

    /// Returns the time from which the next request may be granted, in ms; 0 if fewer grants are
    /// recorded than the rate allows.
    pub fn available_at(&self) -> Millis {
        let is_full = self.grants.len() >= self.rate.max_grants as usize;
        let oldest = self.grants.front().filter(|_| is_full);
        oldest.map_or(0, |at| at + self.rate.span_ms)
    }

    /// Returns the number of requests that may be granted at `now`.
    pub fn remaining(&self, now: Millis) -> usize {
        (self.rate.max_grants as usize).saturating_sub(self.active_grants(now))
    }

    /// Whether any grant counts against the rate at `now`.
    pub fn has_counted_grants(&self, now: Millis) -> bool {
        self.active_grants(now) > 0
    }

    /// Returns the number of grants that count against the rate at `now`.
    fn active_grants(&self, now: Millis) -> usize {
        let active = self.grants.iter();
        let active = active.filter(|at| now < *at + self.rate.span_ms);
        active.count()
    }

    /// Grants a request at `now` if the rate allows it. Returns whether it was granted.
    pub fn try_grant(&mut self, now: Millis) -> bool {
        if now < self.available_at() {
            return false;
        }
        if self.grants.len() >= self.rate.max_grants as usize {
            self.grants.pop_front();
        }
        self.grants.push_back(now);
        true
    }

    /// Removes a grant made at `at` whose request was not sent and never will be. Has no effect if
    /// there is no such grant.
    pub fn refund(&mut self, at: Millis) {
        let index = self.grants.iter().rposition(|granted_at| *granted_at == at);
        if let Some(index) = index {
            self.grants.remove(index);
        }
    }
}
