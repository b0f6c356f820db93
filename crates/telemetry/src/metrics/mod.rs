//! Metrics of an edge and of a storage process, in the Prometheus text format (version 0.0.4 as
//! `prometheus-client` writes it).
//!
//! Each process owns one set. Its metrics appear in the text in the order of their registration;
//! names, types, labels and that order are relied on by operators.

mod edge;
mod links;
mod register;
mod source;
mod storage;

pub use edge::EdgeMetrics;
pub use links::LinkMetrics;
pub use source::SourceMetrics;
pub use storage::{StorageMetrics, StorageState};
