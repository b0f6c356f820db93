//! Adaptive concurrency limit of a back end.

/// Concurrency limit with additive increase and multiplicative decrease.
///
/// Source: Chiu and Jain, *Analysis of the Increase and Decrease Algorithms
/// for Congestion Avoidance*, 1989. The limit grows only while it is in use, so
/// that a burst after an idle period does not overload the back end.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    min_limit: f64,
    max_limit: f64,
}

/// Factor by which an overload reduces the limit.
const DECREASE_FACTOR: f64 = 0.8;
/// Fraction of the limit that must be in use for it to grow.
const GROWTH_UTILIZATION: f64 = 0.9;

impl ConcurrencyLimit {
    /// Creates a limit of `initial`, clamped to `min_limit..=max_limit`.
    pub fn new(initial: u32, min_limit: u32, max_limit: u32) -> Self {
        Self {
            limit: f64::from(initial.clamp(min_limit, max_limit)),
            min_limit: f64::from(min_limit),
            max_limit: f64::from(max_limit),
        }
    }

    /// Current limit, in requests that may run concurrently.
    pub fn current(&self) -> u32 {
        self.limit as u32
    }

    /// Sets the upper bound, which is never below the lower bound.
    pub fn set_max(&mut self, max_limit: u32) {
        self.max_limit = f64::from(max_limit).max(self.min_limit);
        self.limit = self.limit.min(self.max_limit);
    }

    /// Records a successful request that ended while `in_flight` requests ran.
    pub fn record_success(&mut self, in_flight: u32) {
        if f64::from(in_flight) >= self.limit * GROWTH_UTILIZATION {
            self.limit = (self.limit + 1.0).min(self.max_limit);
        }
    }

    /// Records a request that the back end rejected or did not answer in time.
    pub fn record_overload(&mut self) {
        self.limit = (self.limit * DECREASE_FACTOR).max(self.min_limit);
    }
}
