//! Metrics of an edge and of a storage process in the Prometheus text format (version 0.0.4, as
//! `prometheus-client` writes it).
//!
//! Each process owns one set. Operators rely on the names, types, labels and order of the metrics;
//! the order is that of registration.

mod edge;
mod links;
mod register;
mod source;
mod storage;

pub use edge::EdgeMetrics;
pub use links::LinkMetrics;
pub use source::SourceMetrics;
pub use storage::{StorageMetrics, StorageState};
