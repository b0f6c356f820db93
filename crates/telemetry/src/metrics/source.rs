//! Metrics of what is read from the source of the fleet's view.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::atomic::Ordering;

type Labels = Vec<(&'static str, &'static str)>;

/// Entries that others wrote and that cannot be read, by kind.
#[derive(Default)]
pub struct SourceMetrics {
    now: Family<Labels, Gauge>,
    turned: Family<Labels, Counter>,
}

impl SourceMetrics {
    /// Registers these metrics.
    pub(super) fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        registry.register(
            "unreadable_entries",
            "Entries at the source that are not used now: unreadable, or of a service that is not configured, by kind",
            metrics.now.clone(),
        );
        registry.register(
            "entries_turned_unreadable",
            "How often an entry at the source turned so that it cannot be read, by kind",
            metrics.turned.clone(),
        );
        metrics
    }

    /// How many entries of a kind cannot be read now, and how often one became so since the
    /// process started.
    pub fn unreadable(&self, kind: &'static str, now: usize, turned: u64) {
        let labels = vec![("kind", kind)];
        self.now.get_or_create(&labels).set(now as i64);
        let counter = self.turned.get_or_create(&labels);
        counter.inner().store(turned, Ordering::Relaxed);
    }
}
