//! Utilization of a service, estimated from the newest load reports of any of its replicas.
//!
//! An edge of a large deployment hears of a single replica less often than load reports are valid.
//! Without this estimate, all replicas would look idle to it while they are full.

use crate::clock::Moment;
use std::time::Duration;

/// Age at which a report has lost half of its weight.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(500);
/// Minimum weight of all reports together from which they are an estimate: one report of the last
/// second.
const MIN_WEIGHT: f64 = 0.25;

/// Fading mean of reported utilizations.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceLoad {
    /// Sum of utilizations, by weight.
    sum: f64,
    weight: f64,
    /// `None` before the first report.
    updated_at: Option<Moment>,
}

impl ServiceLoad {
    /// Remaining weight of the earlier reports, from 1 down to 0.
    fn freshness(&self, now: Moment) -> f64 {
        let Some(updated_at) = self.updated_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated_at);
        (-age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Records the utilization of a replica: its requests divided by its slots.
    pub fn record(&mut self, utilization: f64, now: Moment) {
        let freshness = self.freshness(now);
        self.sum = self.sum * freshness + utilization;
        self.weight = self.weight * freshness + 1.0;
        self.updated_at = Some(now);
    }

    /// Mean utilization of the service's replicas; `None` if the reports are too old.
    pub fn utilization(&self, now: Moment) -> Option<f64> {
        let is_known = self.weight * self.freshness(now) >= MIN_WEIGHT;
        is_known.then(|| self.sum / self.weight)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/service_load.rs"]
mod tests;
