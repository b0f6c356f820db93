//! Moving average of a replica's response times, which loses weight as it ages.
//!
//! Without ageing, one slow answer would keep a replica behind the others until they are busier
//! than it was slow.

use crate::clock::Moment;
use std::time::Duration;

/// Weight of a sample that immediately follows another one, from 0 to 1. It is higher if the
/// average has aged.
const RESPONSE_TIME_WEIGHT: f64 = 0.3;
/// Age at which an average has lost half of its weight.
const RESPONSE_TIME_HALF_LIFE: Duration = Duration::from_secs(5);
/// Age up to which an average counts for the typical response time of its service. An edge of a
/// large deployment sends about one request in five seconds.
const TYPICAL_SAMPLE_TTL: Duration = Duration::from_secs(30);

/// Moving average of response times.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ResponseTime {
    average: Option<Average>,
}

#[derive(Clone, Copy, Debug)]
struct Average {
    mean_ms: f64,
    updated_at: Moment,
}

impl Average {
    /// Remaining weight of the average, from 1 down to 0.
    fn freshness(&self, now: Moment) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        let half_lives = age.as_secs_f64() / RESPONSE_TIME_HALF_LIFE.as_secs_f64();
        (-half_lives).exp2()
    }
}

impl ResponseTime {
    /// Adds a sample. The first one is the average itself.
    pub fn record(&mut self, time_ms: f64, now: Moment) {
        let mean_ms = self.average.map_or(time_ms, |average| {
            let kept = (1.0 - RESPONSE_TIME_WEIGHT) * average.freshness(now);
            kept * average.mean_ms + (1.0 - kept) * time_ms
        });
        self.average = Some(Average {
            mean_ms,
            updated_at: now,
        });
    }

    /// The average in ms, whatever its age; `None` before the first sample.
    pub fn mean_ms(&self) -> Option<f64> {
        self.average.map(|average| average.mean_ms)
    }

    /// The average in ms if its last sample is recent enough to be typical at present.
    pub fn recent_mean_ms(&self, now: Moment) -> Option<f64> {
        let average = self.average?;
        let age = now.saturating_duration_since(average.updated_at);
        (age < TYPICAL_SAMPLE_TTL).then_some(average.mean_ms)
    }

    /// The expected response time in ms: the average, moved towards `reference_ms` as it ages. It
    /// is the reference before the first sample, and the average without a reference.
    pub fn expected_ms(&self, reference_ms: Option<f64>, now: Moment) -> Option<f64> {
        let Some(average) = self.average else {
            return reference_ms;
        };
        let mean_ms = average.mean_ms;
        let reference_ms = reference_ms.unwrap_or(mean_ms);
        Some(reference_ms + (mean_ms - reference_ms) * average.freshness(now))
    }
}

/// Median of response times in ms, the lower one of two; `None` if there are none.
pub(super) fn median(mut times_ms: Vec<f64>) -> Option<f64> {
    let middle = times_ms.len().checked_sub(1)? / 2;
    let (_, median, _) = times_ms.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}

#[cfg(test)]
#[path = "../../tests/unit/response_time.rs"]
mod tests;
