//! Tracks demand by model and divides the replicas of a service among its models.
//!
//! Demand is the number of tokens that jobs expect to generate, with exponential decay over
//! [`DECAY_TIME_MS`]. It counts tokens rather than items, as items with longer texts occupy slots
//! for longer. A model's share of `n` replicas is `n x demand / total demand`, and at least one if
//! there are enough replicas.

use brasspond_units::Millis;
use std::collections::BTreeMap;

/// Time in which demand decays to 1/e, in ms. Covers several jobs, so that a single job does not
/// move replicas to its model and back.
const DECAY_TIME_MS: f64 = 60_000.0;
/// Number of replicas by which one model must exceed its share, and another fall short of its
/// share, before a replica is reassigned. Above 0.5, so that rounding does not move the replica
/// back.
const REASSIGNMENT_THRESHOLD: f64 = 0.6;

/// Expected tokens by model.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    by_model: BTreeMap<String, f64>,
    as_of: Millis,
}

impl Demand {
    /// Adds the expected tokens of a job to the demand for its model.
    pub fn record(&mut self, model: &str, tokens: u64, now: Millis) {
        let age = now.saturating_sub(self.as_of) as f64;
        let decay = (-age / DECAY_TIME_MS).exp();
        self.by_model
            .values_mut()
            .for_each(|demand| *demand *= decay);
        self.as_of = now;
        *self.by_model.entry(model.to_string()).or_default() += tokens as f64;
    }

    /// Each model's share of `replicas`; equal shares while there is no demand.
    fn shares(&self, models: &[String], replicas: usize) -> Vec<f64> {
        let expected = models.iter().map(|model| self.by_model.get(model).copied());
        let expected: Vec<f64> = expected.map(Option::unwrap_or_default).collect();
        let total: f64 = expected.iter().sum();
        let replicas = replicas as f64;
        let equal = replicas / models.len().max(1) as f64;
        if total <= 0.0 {
            return vec![equal; models.len()];
        }
        let minimum = equal.min(1.0);
        // Models below the minimum get the minimum share; the others divide the remaining replicas.
        let is_below_minimum = |demand: &f64| replicas * demand / total < minimum;
        let small = expected
            .iter()
            .filter(|demand| is_below_minimum(demand))
            .count() as f64;
        let large: f64 = expected
            .iter()
            .filter(|demand| !is_below_minimum(demand))
            .sum();
        let share = |demand: &f64| {
            if is_below_minimum(demand) {
                minimum
            } else {
                (replicas - small * minimum) * demand / large
            }
        };
        expected.iter().map(share).collect()
    }

    /// Index in `models` of the model furthest below its share; if several are, the first.
    pub fn most_underserved(&self, models: &[String], counts: &[usize], replicas: usize) -> usize {
        let shares = self.shares(models, replicas);
        let deficit = |index: &usize| shares[*index] - counts[*index] as f64;
        let most_underserved =
            (0..models.len()).max_by(|a, b| deficit(a).total_cmp(&deficit(b)).then(b.cmp(a)));
        // Callers pass at least one model.
        most_underserved.unwrap_or(0)
    }

    /// Indexes of the models from and to which a replica should be reassigned; `None` if each model
    /// has about its share.
    pub fn next_reassignment(&self, models: &[String], counts: &[usize]) -> Option<(usize, usize)> {
        let replicas = counts.iter().sum();
        let shares = self.shares(models, replicas);
        let excess = |index: &usize| counts[*index] as f64 - shares[*index];
        let from = (0..models.len()).max_by(|a, b| excess(a).total_cmp(&excess(b)))?;
        let to = self.most_underserved(models, counts, replicas);
        let is_worth_it = excess(&from) > REASSIGNMENT_THRESHOLD
            && -excess(&to) > REASSIGNMENT_THRESHOLD
            && counts[from] > 1;
        (from != to && is_worth_it).then_some((from, to))
    }
}

#[cfg(test)]
#[path = "../tests/unit/demand.rs"]
mod tests;
