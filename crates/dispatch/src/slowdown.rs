//! Estimates from paces how much slower a fully utilized replica is than an empty one.
//!
//! A pace is the time per event in ms; the utilization is the number of a replica's runs divided by
//! its slots. Both are compared with the replica's own means, so that replicas of different speeds
//! yield the same slope:
//!
//! ```text
//! (pace - mean pace) / pace of an empty replica  =  slope x (utilization - mean utilization)
//! pace of an empty replica  =  mean pace / (1 + slope x mean utilization)
//! ```
//!
//! The slope is fitted by least squares over all replicas of a service, with a prior.

/// Slope before any pace is known: a full replica takes 1.3 times as long.
const PRIOR_SLOPE: f64 = 0.3;
/// Weight of the prior, in squared differences of utilization.
const PRIOR_WEIGHT: f64 = 5.0;
/// Factor applied to the earlier sums at each pace, so that about the last thousand paces count.
const DECAY: f64 = 0.999;
/// Weight of a pace in a replica's means, so that about the last ten paces count.
const MEAN_WEIGHT: f64 = 0.1;
/// Deviation of a pace from its mean from which the pace is an outlier, relative to the pace of an
/// empty replica. An outlier has another cause than utilization, such as a load of weights, a
/// preemption or a fault. It does not count for the slope, and for the mean it is limited to this
/// share of the mean.
const MAX_DEVIATION: f64 = 0.5;
/// Maximum slope: a full replica takes twice as long.
const MAX_SLOPE: f64 = 1.0;

/// Mean pace and utilization of one replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Means {
    pace: f64,
    utilization: f64,
}

/// Fitted relation between utilization and pace in one service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Slowdown {
    /// Sum of products of relative paces and utilizations, each minus its mean.
    products: f64,
    /// Sum of squares of utilizations, each minus its mean.
    squares: f64,
}

impl Default for Slowdown {
    fn default() -> Self {
        Self {
            products: PRIOR_SLOPE * PRIOR_WEIGHT,
            squares: PRIOR_WEIGHT,
        }
    }
}

impl Slowdown {
    /// Relative increase of the time per event on a full replica.
    pub fn slope(&self) -> f64 {
        (self.products / self.squares).clamp(0.0, MAX_SLOPE)
    }

    /// Ratio of the time per event at this utilization to that on an empty replica.
    pub fn factor(&self, utilization: f64) -> f64 {
        1.0 + self.slope() * utilization
    }

    /// Records a pace in ms per event at this utilization.
    pub fn observe(&mut self, means: &mut Option<Means>, pace: f64, utilization: f64) {
        let Some(known) = means else {
            *means = Some(Means { pace, utilization });
            return;
        };
        let empty_pace = known.pace / self.factor(known.utilization);
        let relative_pace = (pace - known.pace) / empty_pace;
        let deviation = utilization - known.utilization;
        if relative_pace.abs() < MAX_DEVIATION {
            self.products = self.products * DECAY + relative_pace * deviation;
            self.squares = (self.squares * DECAY + deviation * deviation).max(f64::EPSILON);
        }
        let pace = pace.clamp(
            known.pace * (1.0 - MAX_DEVIATION),
            known.pace * (1.0 + MAX_DEVIATION),
        );
        known.pace += MEAN_WEIGHT * (pace - known.pace);
        known.utilization += MEAN_WEIGHT * (utilization - known.utilization);
    }
}

#[cfg(test)]
#[path = "../tests/unit/slowdown.rs"]
mod tests;
