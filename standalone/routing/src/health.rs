//! Ejection of failing engines and slow start of new ones.

use brasspond_types::Timestamp;
use std::time::Duration;

/// Number of consecutive failures after which an engine is ejected.
const EJECTION_FAILURES: u32 = 3;
/// Duration of the first ejection, which doubles with each further ejection without a success in
/// between.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Upper bound of the duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Time over which the extra cost of a new or returning engine falls to zero.
const SLOW_START_PERIOD: Duration = Duration::from_secs(5);
/// Factor on an engine's cost at the beginning of its slow start.
const SLOW_START_FACTOR: f64 = 3.0;

/// Health of one engine as seen from one node.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Timestamp>,
    slow_start_at: Option<Timestamp>,
}

impl Health {
    /// Begins the slow start of an engine that appeared at `now`.
    pub(crate) fn begin_slow_start(&mut self, now: Timestamp) {
        self.slow_start_at = Some(now);
    }

    /// Records a successful attempt, which resets both failure counts.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    /// Records a failed attempt. After [`EJECTION_FAILURES`] in a row, ejects the engine and
    /// schedules its slow start for the end of the ejection.
    pub fn record_failure(&mut self, now: Timestamp) {
        self.failures += 1;
        if self.failures < EJECTION_FAILURES {
            return;
        }
        self.failures = 0;
        let doublings = self.ejections.min(8);
        let duration = (FIRST_EJECTION * 2u32.pow(doublings)).min(MAX_EJECTION);
        self.ejections += 1;
        self.ejected_until = Some(now + duration);
        self.slow_start_at = Some(now + duration);
    }

    /// Whether the engine is not ejected at `now`.
    pub(crate) fn is_eligible(&self, now: Timestamp) -> bool {
        self.ejected_until.is_none_or(|until| until <= now)
    }

    /// Factor on the engine's cost, above one during the slow start.
    pub(crate) fn cost_factor(&self, now: Timestamp) -> f64 {
        let Some(slow_start_at) = self.slow_start_at else {
            return 1.0;
        };
        let progress = now.since(slow_start_at).as_secs_f64() / SLOW_START_PERIOD.as_secs_f64();
        let remaining = (1.0 - progress).clamp(0.0, 1.0);
        1.0 + (SLOW_START_FACTOR - 1.0) * remaining
    }
}
