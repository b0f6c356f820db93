//! How much each model is asked for, and how replicas are divided by it.
//!
//! Demand is the tokens that jobs expect to be written, forgotten over
//! [`MEMORY`]: a model with longer answers needs more places for as many items,
//! or its last items begin late and its step ends late. A model's part of `n`
//! replicas is `n x demand / total demand`, at least one.

use brasspond_units::Millis;
use std::collections::BTreeMap;

/// Time after which demand counts for a third of what it was, in ms. Many jobs
/// long, or each job would swing the division towards its model and back.
const MEMORY: f64 = 60_000.0;
/// A model keeps its replicas until it has so many more or fewer than its part.
const SLACK: f64 = 0.6;

/// Expected tokens by model.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    by_model: BTreeMap<String, f64>,
    as_of: Millis,
}

impl Demand {
    /// A job of a model asks for so many tokens.
    pub fn note(&mut self, model: &str, tokens: u64, now: Millis) {
        let age = now.saturating_sub(self.as_of) as f64;
        let fading = (-age / MEMORY).exp();
        self.by_model.values_mut().for_each(|one| *one *= fading);
        self.as_of = now;
        *self.by_model.entry(model.to_string()).or_default() += tokens as f64;
    }

    /// Each model's part of `replicas`; equal parts before anything is asked.
    fn parts(&self, models: &[String], replicas: usize) -> Vec<f64> {
        let asked = models.iter().map(|model| self.by_model.get(model).copied());
        let asked: Vec<f64> = asked.map(Option::unwrap_or_default).collect();
        let total: f64 = asked.iter().sum();
        let replicas = replicas as f64;
        let equal = replicas / models.len().max(1) as f64;
        if total <= 0.0 {
            return vec![equal; models.len()];
        }
        let least = equal.min(1.0);
        // Those that are given the least leave the rest to the others.
        let is_small = |one: &f64| replicas * one / total < least;
        let small = asked.iter().filter(|one| is_small(one)).count() as f64;
        let large: f64 = asked.iter().filter(|one| !is_small(one)).sum();
        let part = |one: &f64| {
            if is_small(one) {
                least
            } else {
                (replicas - small * least) * one / large
            }
        };
        asked.iter().map(part).collect()
    }

    /// The model that most lacks replicas.
    pub fn neediest(&self, models: &[String], counts: &[usize], replicas: usize) -> usize {
        let parts = self.parts(models, replicas);
        let lacks = |number: &usize| parts[*number] - counts[*number] as f64;
        let needy = (0..models.len()).max_by(|a, b| lacks(a).total_cmp(&lacks(b)).then(b.cmp(a)));
        needy.unwrap_or(0)
    }

    /// A replica to be moved, as the models it leaves and serves then.
    pub fn shift(&self, models: &[String], counts: &[usize]) -> Option<(usize, usize)> {
        let replicas = counts.iter().sum();
        let parts = self.parts(models, replicas);
        let excess = |number: &usize| counts[*number] as f64 - parts[*number];
        let from = (0..models.len()).max_by(|a, b| excess(a).total_cmp(&excess(b)))?;
        let to = self.neediest(models, counts, replicas);
        let is_worth_it = excess(&from) > SLACK && -excess(&to) > SLACK && counts[from] > 1;
        (from != to && is_worth_it).then_some((from, to))
    }
}
