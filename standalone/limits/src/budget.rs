//! A retry budget: retries may be a share of traffic, not a count a request.

use std::time::Duration;

use brasspond_types::Timestamp;

/// Token bucket filled by first attempts and drained by retries.
///
/// Every first attempt adds `ratio` tokens and every second adds
/// `minimum_per_second`, so that little traffic can still retry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    minimum_per_second: f64,
    tokens: f64,
    bound: f64,
    filled: Timestamp,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries a request that saves at most
    /// `window` worth of the minimum rate, and of ten requests' share.
    pub fn new(ratio: f64, minimum_per_second: f64, window: Duration) -> Self {
        const REQUESTS_SAVED: f64 = 100.0;
        let bound = minimum_per_second * window.as_secs_f64() + ratio * REQUESTS_SAVED;
        Self {
            ratio,
            minimum_per_second,
            tokens: bound,
            bound,
            filled: Timestamp::ZERO,
        }
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.bound);
    }

    /// Takes one retry, or says that none is left.
    pub fn withdraw(&mut self, now: Timestamp) -> bool {
        let passed = now.since(self.filled).as_secs_f64();
        self.filled = now;
        self.tokens = (self.tokens + passed * self.minimum_per_second).min(self.bound);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
