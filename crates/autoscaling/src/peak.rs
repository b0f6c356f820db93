//! Recent peak of concurrent requests, and whether it predicts the load to come.

use crate::waves::Waves;
use brasspond_units::Millis;
use std::collections::VecDeque;

/// Length of the sliding window, in ms. A trainer causes one wave of load per training step, and
/// the window covers several short steps.
const WINDOW_MS: Millis = 30_000;
/// Length of the buckets that divide the window, in ms.
const BUCKET_MS: Millis = 2_000;

/// Maximum of the load over the last [`WINDOW_MS`], to the precision of a bucket.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peak {
    /// Start and maximum of each bucket, oldest first.
    buckets: VecDeque<(Millis, usize)>,
    /// Waves of load since `since`.
    waves: Waves,
    /// Time of the first load; `None` before any load, and again after a window without load.
    since: Option<Millis>,
}

impl Peak {
    /// Records the load at `now`.
    pub fn record(&mut self, load: usize, now: Millis) {
        self.waves.record(load);
        if load > 0 {
            self.since.get_or_insert(now);
        } else if self.max() == 0 {
            // After a window without load, earlier load does not predict later load.
            self.since = None;
            self.waves = Waves::default();
        }
        while self
            .buckets
            .front()
            .is_some_and(|(start, _)| start + WINDOW_MS < now)
        {
            self.buckets.pop_front();
        }
        match self.buckets.back_mut() {
            Some((start, max)) if now < *start + BUCKET_MS => *max = (*max).max(load),
            _ => self.buckets.push_back((now, load)),
        }
    }

    /// Whether the maximum predicts the load to come. This holds after several similar waves, of
    /// which the highest filled the `slots` of a replica, or once load was observed for
    /// `WINDOW_MS`. The first requests of a wave do not predict its peak.
    pub fn is_known(&self, slots: u32, now: Millis) -> bool {
        let covers_window = self.since.is_some_and(|since| since + WINDOW_MS <= now);
        covers_window || self.waves.are_predictable(slots as usize)
    }

    /// Returns the maximum load in the window; 0 if no load was recorded.
    pub fn max(&self) -> usize {
        let maxima = self.buckets.iter().map(|(_, max)| *max);
        maxima.max().unwrap_or(0)
    }
}
