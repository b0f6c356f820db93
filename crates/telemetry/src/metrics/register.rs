//! What both sets of metrics are made with: types, registration, labels, the text.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Metric, Registry};

/// Names of labels with their values.
type Labels = Vec<(&'static str, String)>;
/// Counters by labels.
pub(super) type Counters = Family<Labels, Counter>;
/// Gauges by labels.
pub(super) type Gauges = Family<Labels, Gauge>;
/// Histograms by labels.
pub(super) type Histograms = Family<Labels, Histogram>;

/// First bound of the buckets of a time, in seconds. Not measured.
const FIRST_BUCKET: f64 = 0.001;
/// Each bound is this times the one before.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of bounds: the last is 16.384 s. Not measured.
const BUCKETS: u16 = 15;

/// A metric as it is at the start of a process.
pub(super) trait Fresh {
    fn fresh() -> Self;
}

impl Fresh for Counter {
    fn fresh() -> Self {
        Self::default()
    }
}

impl Fresh for Gauge {
    fn fresh() -> Self {
        Self::default()
    }
}

impl Fresh for Histogram {
    fn fresh() -> Self {
        Self::new(exponential_buckets(FIRST_BUCKET, BUCKET_FACTOR, BUCKETS))
    }
}

impl Fresh for Counters {
    fn fresh() -> Self {
        Self::default()
    }
}

impl Fresh for Gauges {
    fn fresh() -> Self {
        Self::default()
    }
}

impl Fresh for Histograms {
    fn fresh() -> Self {
        Self::new_with_constructor(Histogram::fresh)
    }
}

/// Registers a new metric and returns a handle to it.
pub(super) fn register<M: Metric + Clone + Fresh>(
    registry: &mut Registry,
    name: &str,
    help: &str,
) -> M {
    let metric = M::fresh();
    registry.register(name, help, metric.clone());
    metric
}

/// Defines a struct of metrics by a table of `field: Type = "name", "help text";` and its
/// function `register`, which registers them in the order of the table.
macro_rules! metrics {
    (
        $(#[$about:meta])*
        struct $table:ident {
            $($field:ident: $kind:ty = $name:literal, $help:literal;)*
        }
    ) => {
        $(#[$about])*
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

/// Counts one event under these labels.
pub(super) fn count<const N: usize>(counters: &Counters, labels: [(&'static str, &str); N]) {
    counters.get_or_create(&owned(labels)).inc();
}

/// Adds a time in seconds under these labels.
pub(super) fn observe<const N: usize>(
    histograms: &Histograms,
    labels: [(&'static str, &str); N],
    seconds: f64,
) {
    histograms.get_or_create(&owned(labels)).observe(seconds);
}

/// Sets the gauge of these labels.
pub(super) fn set<const N: usize>(gauges: &Gauges, labels: [(&'static str, &str); N], value: i64) {
    gauges.get_or_create(&owned(labels)).set(value);
}

fn owned<const N: usize>(labels: [(&'static str, &str); N]) -> Labels {
    let owned = labels.map(|(name, value)| (name, value.to_string()));
    owned.into()
}

/// All metrics of a registry.
pub(super) fn text(registry: &Registry) -> String {
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = encode(&mut text, registry);
    text
}
