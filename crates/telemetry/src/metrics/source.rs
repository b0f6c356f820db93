//! Metrics of the entries that are read from the source of the fleet view.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::atomic::Ordering;

type Labels = Vec<(&'static str, &'static str)>;

/// Unreadable entries at the source, by kind.
#[derive(Default)]
pub struct SourceMetrics {
    current: Family<Labels, Gauge>,
    transitions: Family<Labels, Counter>,
}

impl SourceMetrics {
    /// Creates the metrics and registers them.
    pub(super) fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        registry.register(
            "unreadable_entries",
            "Entries at the source that are not used now: unreadable, or of a service that is not configured, by kind",
            metrics.current.clone(),
        );
        registry.register(
            "entries_turned_unreadable",
            "How often an entry at the source turned so that it cannot be read, by kind",
            metrics.transitions.clone(),
        );
        metrics
    }

    /// Sets the number of entries of a kind that are unreadable now, and how often an entry became
    /// unreadable since the process started.
    pub fn unreadable(&self, kind: &'static str, current: usize, transitions: u64) {
        let labels = vec![("kind", kind)];
        self.current.get_or_create(&labels).set(current as i64);
        let counter = self.transitions.get_or_create(&labels);
        counter.inner().store(transitions, Ordering::Relaxed);
    }
}
