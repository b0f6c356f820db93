//! Metrics of the links between processes.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::sync::atomic::{AtomicU64, Ordering};

type Labels = Vec<(&'static str, &'static str)>;

/// Bytes sent and round-trip times of links, by distance: within a zone, within a region, or
/// between regions.
#[derive(Default)]
pub struct LinkMetrics {
    sent: Family<Labels, Counter>,
    round_trips: Family<Labels, Gauge<f64, AtomicU64>>,
}

impl LinkMetrics {
    /// Creates the metrics and registers them.
    pub(super) fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        registry.register(
            "link_sent_bytes",
            "Bytes sent to other processes, by kind of message and distance",
            metrics.sent.clone(),
        );
        registry.register(
            "link_round_trip_seconds",
            "Time of a round trip, by distance: measured, or assumed before",
            metrics.round_trips.clone(),
        );
        metrics
    }

    /// Sets the bytes sent since the process started, by kind of message and distance.
    pub fn sent(&self, kind: &'static str, distance: &'static str, bytes: u64) {
        let labels = vec![("kind", kind), ("distance", distance)];
        let counter = self.sent.get_or_create(&labels);
        counter.inner().store(bytes, Ordering::Relaxed);
    }

    /// Sets the round-trip time of a distance, in seconds.
    pub fn round_trip(&self, distance: &'static str, seconds: f64) {
        let labels = vec![("distance", distance)];
        self.round_trips.get_or_create(&labels).set(seconds);
    }
}
