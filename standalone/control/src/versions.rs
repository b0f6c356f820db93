//! Which weight versions are acceptable, and when.

use brasspond_resource::{Catalogue, SwapPolicy};
use brasspond_types::{GroupName, ModelName, Timestamp, WeightVersion};
use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of the newest interval in the estimate of the publication period; not measured.
const PERIOD_SMOOTHING: f64 = 0.3;

/// Part of the estimated period after which the next version may already come; not measured
/// apart (docs/MEASUREMENTS.md has the figures of the rule with it).
const EARLIEST_PART: f64 = 0.6;

#[derive(Debug, Default)]
struct Published {
    newest: WeightVersion,
    heard: Option<Timestamp>,
    period: Option<Duration>,
}

/// Newest published version of each model, and how often one comes.
#[derive(Debug, Default)]
pub(crate) struct Versions {
    models: BTreeMap<ModelName, Published>,
}

impl Versions {
    /// Takes in the versions of a configuration.
    pub(crate) fn update(&mut self, catalogue: &Catalogue, now: Timestamp) {
        for (model, version) in catalogue.newest_versions() {
            self.hear(&model, version, now);
        }
    }

    /// Hears that a version was published, from the configuration or from the
    /// trainer that published it.
    pub(crate) fn hear(&mut self, model: &ModelName, version: WeightVersion, now: Timestamp) {
        let published = self.models.entry(model.clone()).or_default();
        if version <= published.newest && published.heard.is_some() {
            return;
        }
        if let Some(heard) = published.heard {
            let interval = now.since(heard).as_secs_f64();
            let smoothed = published.period.map_or(interval, |period| {
                let old = period.as_secs_f64() * (1.0 - PERIOD_SMOOTHING);
                old + interval * PERIOD_SMOOTHING
            });
            published.period = Some(Duration::from_secs_f64(smoothed));
        }
        published.newest = published.newest.max(version);
        published.heard = Some(now);
    }

    /// Newest published version of a model.
    pub(crate) fn newest(&self, model: &ModelName) -> WeightVersion {
        self.models
            .get(model)
            .map(|published| published.newest)
            .unwrap_or_default()
    }

    /// Oldest version a sample may contain when it is handed over.
    pub(crate) fn minimum_to_deliver(
        &self,
        catalogue: &Catalogue,
        group: &GroupName,
        model: &ModelName,
    ) -> WeightVersion {
        let group = catalogue.group(group.as_str());
        let bound = group.map_or(0, |group| group.max_staleness);
        WeightVersion(self.newest(model).0.saturating_sub(bound))
    }

    /// Oldest version to start with, so that the sample is not too old when an
    /// answer that takes `expected` ends: versions expected to be published
    /// meanwhile are added, as far as the newest version.
    pub(crate) fn minimum_to_start(
        &self,
        catalogue: &Catalogue,
        group: &GroupName,
        model: &ModelName,
        expected: Duration,
        now: Timestamp,
    ) -> WeightVersion {
        let deliver = self.minimum_to_deliver(catalogue, group, model);
        let Some(published) = self.models.get(model) else {
            return deliver;
        };
        let (Some(heard), Some(period)) = (published.heard, published.period) else {
            return deliver;
        };
        let period = (period.as_secs_f64() * EARLIEST_PART).max(1e-3);
        let since = now.since(heard).as_secs_f64().min(period);
        let coming = ((since + expected.as_secs_f64()) / period).floor() as u64;
        WeightVersion((deliver.0 + coming).min(published.newest.0))
    }

    /// How running samples of a model meet new weights.
    pub(crate) fn swap_policy(catalogue: &Catalogue, model: &ModelName) -> SwapPolicy {
        let model = catalogue.model(model.as_str());
        let group = model.and_then(|model| catalogue.group(model.group.as_str()));
        group.map(|group| group.swap_policy).unwrap_or_default()
    }
}
