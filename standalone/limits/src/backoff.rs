//! Exponential backoff with full jitter.

use rand::Rng;
use std::time::Duration;

/// Waiting times between attempts.
///
/// Source: Brooker, *Exponential Backoff and Jitter*, 2015 ("full jitter").
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Upper end of the first waiting time.
    pub base: Duration,
    /// Upper end of every waiting time.
    pub cap: Duration,
}

impl Backoff {
    /// Draws the time to wait after `failures` failures in a row.
    pub fn delay(&self, failures: u32, random: &mut impl Rng) -> Duration {
        let doubled = self
            .base
            .saturating_mul(2u32.saturating_pow(failures.min(16)));
        let ceiling = doubled.min(self.cap);
        ceiling.mul_f64(random.random_range(0.1..=1.0))
    }
}
