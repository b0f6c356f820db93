//! Logging, metrics, and the analysis of log files.
//!
//! Neither logging nor metrics block a request. Log lines pass through a bounded ring to a writing
//! thread; lines that do not fit are dropped and counted. Metrics are kept in memory and encoded
//! when they are read. [`Timeline`] reconstructs from the logs of several processes what happened
//! to a request, job, job item, usage window or request content.
#![forbid(unsafe_code)]

mod explain;
mod log_ring;
mod metrics;
mod panics;

pub use explain::Timeline;
pub use log_ring::{LogLimits, LogRing, start};
pub use metrics::{EdgeMetrics, LinkMetrics, SourceMetrics, StorageMetrics, StorageState};
pub use panics::log_panics;
