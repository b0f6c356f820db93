//! Metrics in the Prometheus text format.

use crate::peers::Traffic;
use crate::view::View;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

type Labels = Vec<(String, String)>;

/// The metrics of a node and their registry.
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    state: Family<Labels, Gauge<f64, AtomicU64>>,
    requests: Family<Labels, Counter>,
    latency: Histogram,
    traffic: Arc<Traffic>,
}

impl Metrics {
    pub(crate) fn new(traffic: Arc<Traffic>) -> Self {
        let state = Family::default();
        let requests = Family::default();
        let latency = Histogram::new(exponential_buckets(0.000_1, 2.0, 20));
        let mut registry = Registry::with_prefix("brasspond");
        registry.register("state", "State of the decisions, by name", state.clone());
        registry.register(
            "requests",
            "Requests answered, by interface and status",
            requests.clone(),
        );
        registry.register(
            "request_seconds",
            "Time to the head of an answer",
            latency.clone(),
        );
        let registry = Mutex::new(registry);
        Self {
            registry,
            state,
            requests,
            latency,
            traffic,
        }
    }

    /// Counts an answered request and records its latency.
    pub(crate) fn record_request(&self, interface: &str, status: u16, seconds: f64) {
        let labels = vec![
            ("interface".to_owned(), interface.to_owned()),
            ("status".to_owned(), status.to_string()),
        ];
        self.requests.get_or_create(&labels).inc();
        self.latency.observe(seconds);
    }

    /// Encodes all metrics, with the counters of `view`.
    pub(crate) fn render(&self, view: &View) -> String {
        let set = |name: &str, value: f64| {
            let labels = vec![("name".to_owned(), name.to_owned())];
            self.state.get_or_create(&labels).set(value);
        };
        for (name, value) in &view.counters {
            set(name, *value);
        }
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed) as f64;
        set("peer_sent_bytes", load(&self.traffic.sent_bytes));
        set("peer_sent_messages", load(&self.traffic.sent_messages));
        set(
            "peer_refused_messages",
            load(&self.traffic.refused_messages),
        );
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = encode(&mut text, &registry);
        text
    }
}
