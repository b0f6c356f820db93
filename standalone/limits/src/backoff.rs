//! Exponential backoff with jitter.

use rand::Rng;
use std::time::Duration;

/// Random delays between attempts, whose upper bound doubles with each failure.
///
/// Source: Brooker, *Exponential Backoff and Jitter*, 2015 ("full jitter"), but each delay is at
/// least a tenth of its upper bound.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Upper bound of the delay after no failure.
    pub base: Duration,
    /// Upper bound of every delay.
    pub cap: Duration,
}

impl Backoff {
    /// Draws the delay after `failures` consecutive failures.
    pub fn delay(&self, failures: u32, random: &mut impl Rng) -> Duration {
        let backed_off = self
            .base
            .saturating_mul(2u32.saturating_pow(failures.min(16)));
        let ceiling = backed_off.min(self.cap);
        ceiling.mul_f64(random.random_range(0.1..=1.0))
    }
}
