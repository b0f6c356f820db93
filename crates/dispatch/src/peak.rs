//! Peak number of items of each model that wait or run at once, from which follows how many
//! replicas must serve a version that the model's jobs allow.
//!
//! A fleet may have many more replicas than its jobs occupy. Each load takes the leader several
//! calls and its replica about a second, so the replicas that the work needs load first.

use brasspond_units::Millis;
use std::collections::BTreeMap;

/// Time in which a peak decays to 1/e, in ms. Covers several jobs.
const DECAY_TIME_MS: f64 = 60_000.0;
/// Ratio of the slots of replicas with an allowed version to the peak. Half of these replicas load
/// when the next version is published, and the others serve the jobs meanwhile.
const SLOTS_PER_PEAK_ITEM: f64 = 2.0;

/// A peak and the time for which it was computed.
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    items: f64,
    as_of: Millis,
}

impl Peak {
    fn at(self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.as_of) as f64;
        self.items * (-age / DECAY_TIME_MS).exp()
    }
}

/// Peaks by model.
#[derive(Debug, Default)]
pub(crate) struct PeakItems {
    by_model: BTreeMap<String, Peak>,
}

impl PeakItems {
    /// Records how many items of a model wait or run at `now`.
    pub fn observe(&mut self, model: &str, items: usize, now: Millis) {
        let items = items as f64;
        let known = self.by_model.get_mut(model);
        if items == 0.0 && known.is_none() {
            return;
        }
        let peak = match known {
            Some(peak) => peak,
            None => self.by_model.entry(model.to_string()).or_default(),
        };
        peak.items = items.max(peak.at(now));
        peak.as_of = now;
    }

    /// Number of `replicas`, which have `slots` slots in all, that must serve a version that the
    /// jobs of a model allow. It is all of them before the model's first job.
    pub fn required_replicas(&self, model: &str, replicas: usize, slots: usize) -> usize {
        let Some(peak) = self.by_model.get(model) else {
            return replicas;
        };
        let slots_each = slots as f64 / replicas.max(1) as f64;
        let required = peak.items * SLOTS_PER_PEAK_ITEM / slots_each.max(1.0);
        (required.ceil() as usize).min(replicas)
    }
}

#[cfg(test)]
#[path = "../tests/unit/peak.rs"]
mod tests;
