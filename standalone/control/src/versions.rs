//! Published weight versions and the oldest acceptable ones.

use brasspond_resource::{Catalogue, SwapPolicy};
use brasspond_types::{GroupName, ModelName, Timestamp, WeightVersion};
use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of the newest interval in the estimate of the publication period.
const PERIOD_SMOOTHING: f64 = 0.3;

/// Fraction of the estimated publication period that is assumed as the time between two versions.
/// It is below one, since versions may be published early.
const EARLIEST_FRACTION: f64 = 0.6;

#[derive(Debug, Default)]
struct Published {
    newest: WeightVersion,
    recorded_at: Option<Timestamp>,
    period: Option<Duration>,
}

/// Newest published version and estimated publication period of each model.
#[derive(Debug, Default)]
pub(crate) struct Versions {
    models: BTreeMap<ModelName, Published>,
}

impl Versions {
    /// Records the versions of a configuration.
    pub(crate) fn update(&mut self, catalogue: &Catalogue, now: Timestamp) {
        for (model, version) in catalogue.newest_versions() {
            self.record(&model, version, now);
        }
    }

    /// Records a published version, known from the configuration or from the
    /// trainer that published it.
    pub(crate) fn record(&mut self, model: &ModelName, version: WeightVersion, now: Timestamp) {
        let published = self.models.entry(model.clone()).or_default();
        if version <= published.newest && published.recorded_at.is_some() {
            return;
        }
        if let Some(recorded_at) = published.recorded_at {
            let interval = now.since(recorded_at).as_secs_f64();
            let smoothed = published.period.map_or(interval, |period| {
                let old = period.as_secs_f64() * (1.0 - PERIOD_SMOOTHING);
                old + interval * PERIOD_SMOOTHING
            });
            published.period = Some(Duration::from_secs_f64(smoothed));
        }
        published.newest = published.newest.max(version);
        published.recorded_at = Some(now);
    }

    /// Newest published version of a model.
    pub(crate) fn newest(&self, model: &ModelName) -> WeightVersion {
        self.models
            .get(model)
            .map(|published| published.newest)
            .unwrap_or_default()
    }

    /// Oldest version that a delivered sample may contain.
    pub(crate) fn minimum_to_deliver(
        &self,
        catalogue: &Catalogue,
        group: &GroupName,
        model: &ModelName,
    ) -> WeightVersion {
        let group = catalogue.group(group.as_str());
        let max_staleness = group.map_or(0, |group| group.max_staleness);
        WeightVersion(self.newest(model).0.saturating_sub(max_staleness))
    }

    /// Oldest version with which an answer may start so that it is still recent enough when it ends
    /// after `expected_duration`: the minimum to deliver plus the number of versions that are
    /// expected to be published meanwhile, but at most the newest version.
    pub(crate) fn minimum_to_start(
        &self,
        catalogue: &Catalogue,
        group: &GroupName,
        model: &ModelName,
        expected_duration: Duration,
        now: Timestamp,
    ) -> WeightVersion {
        let minimum = self.minimum_to_deliver(catalogue, group, model);
        let Some(published) = self.models.get(model) else {
            return minimum;
        };
        let (Some(recorded_at), Some(period)) = (published.recorded_at, published.period) else {
            return minimum;
        };
        let period = (period.as_secs_f64() * EARLIEST_FRACTION).max(1e-3);
        let since_publication = now.since(recorded_at).as_secs_f64().min(period);
        let expected_versions =
            ((since_publication + expected_duration.as_secs_f64()) / period).floor() as u64;
        WeightVersion((minimum.0 + expected_versions).min(published.newest.0))
    }

    /// How the running samples of a model are treated when weights are swapped.
    pub(crate) fn swap_policy(catalogue: &Catalogue, model: &ModelName) -> SwapPolicy {
        let model = catalogue.model(model.as_str());
        let group = model.and_then(|model| catalogue.group(model.group.as_str()));
        group.map(|group| group.swap_policy).unwrap_or_default()
    }
}
