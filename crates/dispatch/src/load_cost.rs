//! How much slower a full replica is than an empty one, learned from paces.
//!
//! Of each replica the paces told lately and how full it was then are compared with its
//! own means, so that replicas of different speeds say the same:
//!
//! ```text
//! (pace - mean pace) / pace alone  =  slope x (fill - mean fill)
//! pace alone  =  mean pace / (1 + slope x mean fill)
//! ```
//!
//! The slope is that of least squares over all replicas of a service, with a prior.

/// Slope before anything was seen: that of the first deployments.
const PRIOR: f64 = 0.3;
/// Weight of the prior, in squared differences of fill: some seconds of paces outweigh it.
const PRIOR_WEIGHT: f64 = 5.0;
/// What is left of earlier sums with each pace: some thousand count.
const FADING: f64 = 0.999;
/// Weight of a pace in a replica's means.
const MEAN_WEIGHT: f64 = 0.1;
/// A pace so far from its mean tells of something else (a load, a preemption, a fault) and
/// moves the mean no further than that.
const FARTHEST: f64 = 0.5;
/// Largest slope.
const MOST: f64 = 1.0;

/// Means of one replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Means {
    pace: f64,
    fill: f64,
}

/// The slope of one service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadCost {
    products: f64,
    squares: f64,
}

impl Default for LoadCost {
    fn default() -> Self {
        Self {
            products: PRIOR * PRIOR_WEIGHT,
            squares: PRIOR_WEIGHT,
        }
    }
}

impl LoadCost {
    /// Part of its time by which an event takes longer on a full replica.
    pub fn slope(&self) -> f64 {
        (self.products / self.squares).clamp(0.0, MOST)
    }

    /// Times longer that an event takes at a fill of 0 to 1.
    pub fn factor(&self, fill: f64) -> f64 {
        1.0 + self.slope() * fill
    }

    /// A replica's event took `pace` ms while it was so full.
    pub fn note(&mut self, means: &mut Option<Means>, pace: f64, fill: f64) {
        let Some(known) = means else {
            *means = Some(Means { pace, fill });
            return;
        };
        let alone = known.pace / self.factor(known.fill);
        let slower = (pace - known.pace) / alone;
        let fuller = fill - known.fill;
        if slower.abs() < FARTHEST {
            self.products = self.products * FADING + slower * fuller;
            self.squares = (self.squares * FADING + fuller * fuller).max(f64::EPSILON);
        }
        let pace = pace.clamp(known.pace * (1.0 - FARTHEST), known.pace * (1.0 + FARTHEST));
        known.pace += MEAN_WEIGHT * (pace - known.pace);
        known.fill += MEAN_WEIGHT * (fill - known.fill);
    }
}

#[cfg(test)]
#[path = "../tests/unit/load_cost.rs"]
mod tests;
