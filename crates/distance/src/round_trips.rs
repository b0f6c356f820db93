//! Estimates of round-trip times, by distance class.

use crate::place::Distance;
use std::collections::VecDeque;

/// Maximum number of samples stored per class. The estimate is the minimum of the samples, which
/// ignores samples delayed by a busy machine or a lost packet. If the round-trip time increases, the
/// estimate follows after this many new samples.
const MAX_SAMPLES: usize = 16;
/// Minimum number of samples of a class that replace its default.
const MIN_SAMPLES: usize = 3;
/// Round-trip time of each class until the class has enough samples, in ms. The values are typical
/// within a zone, between buildings some tens of km apart, and between cities some hundreds of km
/// apart.
const DEFAULT_MS: [f64; 3] = [0.5, 3.0, 20.0];

/// Round-trip times measured on links, and the estimate for each distance class.
#[derive(Clone, Debug)]
pub struct RoundTrips {
    /// Newest samples of each class, in ms.
    samples: [VecDeque<f64>; 3],
    /// Estimate for each class, in ms. It is cached because every request reads it.
    estimates_ms: [f64; 3],
}

impl Default for RoundTrips {
    fn default() -> Self {
        Self {
            samples: Default::default(),
            estimates_ms: DEFAULT_MS,
        }
    }
}

impl RoundTrips {
    /// Records a measured round-trip time, in ms. Negative, infinite and NaN values are ignored.
    pub fn record(&mut self, distance: Distance, ms: f64) {
        if !ms.is_finite() || ms < 0.0 {
            return;
        }
        let samples = &mut self.samples[distance as usize];
        samples.push_back(ms);
        if samples.len() > MAX_SAMPLES {
            samples.pop_front();
        }
        let mut nearer_ms = 0.0;
        for one in Distance::ALL {
            nearer_ms = self.class_ms(one).max(nearer_ms);
            self.estimates_ms[one as usize] = nearer_ms;
        }
    }

    /// Returns the estimated round-trip time of a class, in ms. It is the smallest sample, or the
    /// default until there are enough samples, but at least the estimate of every nearer class.
    pub fn ms(&self, distance: Distance) -> f64 {
        self.estimates_ms[distance as usize]
    }

    /// Returns the number of stored samples of a class.
    pub fn sample_count(&self, distance: Distance) -> usize {
        self.samples[distance as usize].len()
    }

    /// Returns the estimate of a class regardless of the other classes, in ms.
    fn class_ms(&self, distance: Distance) -> f64 {
        let samples = &self.samples[distance as usize];
        if samples.len() < MIN_SAMPLES {
            return DEFAULT_MS[distance as usize];
        }
        samples.iter().copied().fold(f64::INFINITY, f64::min)
    }
}
