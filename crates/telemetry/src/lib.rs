//! What an operator sees of a process: log lines and metrics.
//!
//! Neither ever makes a request wait: log lines go through a bounded ring to a
//! thread that writes them, and are counted where they are dropped; metrics are
//! counters in memory, written out when asked for.
#![forbid(unsafe_code)]

mod explain;
mod link_metrics;
mod log_ring;
mod metrics;
mod source_metrics;

pub use explain::{LogLine, Story};
pub use link_metrics::LinkMetrics;
pub use log_ring::{LogLimits, LogRing, start};
pub use metrics::{EdgeMetrics, StorageMetrics, StorageState};
pub use source_metrics::SourceMetrics;
