//! Retry budget: limits retries to a fraction of the first attempts.

use std::time::Duration;

use brasspond_types::Timestamp;

/// Token bucket filled by first attempts and drained by retries.
///
/// Every first attempt adds `ratio` tokens, and every second adds
/// `minimum_per_second`, so that retries are possible at low traffic.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    minimum_per_second: f64,
    tokens: f64,
    capacity: f64,
    refilled_at: Timestamp,
}

impl RetryBudget {
    /// Creates a full budget of `ratio` retries per first attempt. Its capacity is the number of
    /// retries that `minimum_per_second` adds over `window`, plus those that `SAVED_REQUESTS` first
    /// attempts add.
    pub fn new(ratio: f64, minimum_per_second: f64, window: Duration) -> Self {
        const SAVED_REQUESTS: f64 = 100.0;
        let capacity = minimum_per_second * window.as_secs_f64() + ratio * SAVED_REQUESTS;
        Self {
            ratio,
            minimum_per_second,
            tokens: capacity,
            capacity,
            refilled_at: Timestamp::ZERO,
        }
    }

    /// Records a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.capacity);
    }

    /// Takes one retry. Returns `false` if none is left.
    pub fn withdraw(&mut self, now: Timestamp) -> bool {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * self.minimum_per_second).min(self.capacity);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
