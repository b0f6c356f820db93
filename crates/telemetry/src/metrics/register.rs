//! Shared parts of the metric sets: types, registration, labels and text encoding.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Metric, Registry};

/// Label names with their values.
type Labels = Vec<(&'static str, String)>;
/// Counters by labels.
pub(super) type Counters = Family<Labels, Counter>;
/// Gauges by labels.
pub(super) type Gauges = Family<Labels, Gauge>;
/// Histograms by labels.
pub(super) type Histograms = Family<Labels, Histogram>;

/// Upper bound of the first bucket of a duration histogram.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
/// Factor between the bounds of neighbouring buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of buckets with an upper bound; the last bound is 16.384 s.
const BUCKET_COUNT: u16 = 15;

/// Creates a metric in its initial state.
pub(super) trait Create {
    fn create() -> Self;
}

impl Create for Counter {
    fn create() -> Self {
        Self::default()
    }
}

impl Create for Gauge {
    fn create() -> Self {
        Self::default()
    }
}

impl Create for Histogram {
    fn create() -> Self {
        Self::new(exponential_buckets(
            FIRST_BUCKET_SECONDS,
            BUCKET_FACTOR,
            BUCKET_COUNT,
        ))
    }
}

impl Create for Counters {
    fn create() -> Self {
        Self::default()
    }
}

impl Create for Gauges {
    fn create() -> Self {
        Self::default()
    }
}

impl Create for Histograms {
    fn create() -> Self {
        Self::new_with_constructor(Histogram::create)
    }
}

/// Registers a new metric and returns a handle to it.
pub(super) fn register<M: Metric + Clone + Create>(
    registry: &mut Registry,
    name: &str,
    help: &str,
) -> M {
    let metric = M::create();
    registry.register(name, help, metric.clone());
    metric
}

/// Defines a struct of metrics by a table of `field: Type = "name", "help text";` and its
/// function `register`, which registers them in the order of the table.
macro_rules! metrics {
    (
        $(#[$doc:meta])*
        struct $table:ident {
            $($field:ident: $kind:ty = $name:literal, $help:literal;)*
        }
    ) => {
        $(#[$doc])*
        struct $table {
            $($field: $kind,)*
        }

        impl $table {
            fn register(registry: &mut prometheus_client::registry::Registry) -> Self {
                Self {
                    $($field: $crate::metrics::register::register(registry, $name, $help),)*
                }
            }
        }
    };
}
pub(super) use metrics;

/// Increments the counter with these labels.
pub(super) fn count<const N: usize>(counters: &Counters, labels: [(&'static str, &str); N]) {
    counters.get_or_create(&owned_labels(labels)).inc();
}

/// Records a duration in seconds under these labels.
pub(super) fn observe<const N: usize>(
    histograms: &Histograms,
    labels: [(&'static str, &str); N],
    seconds: f64,
) {
    histograms
        .get_or_create(&owned_labels(labels))
        .observe(seconds);
}

/// Sets the gauge with these labels.
pub(super) fn set<const N: usize>(gauges: &Gauges, labels: [(&'static str, &str); N], value: i64) {
    gauges.get_or_create(&owned_labels(labels)).set(value);
}

fn owned_labels<const N: usize>(labels: [(&'static str, &str); N]) -> Labels {
    let owned = labels.map(|(name, value)| (name, value.to_string()));
    owned.into()
}

/// Encodes all metrics of a registry as text.
pub(super) fn encode_text(registry: &Registry) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = encode(&mut text, registry);
    text
}
