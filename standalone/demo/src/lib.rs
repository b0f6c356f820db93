//! Demonstration of the complete system in one process, on loopback ports chosen by the operating
//! system. While steps are running, one engine crashes and one node is killed and replaced.
//!
//! The report is computed from the records of the stand-in trainers, engines, services and callers.
//! It does not rely on metrics or states that the nodes report.
#![forbid(unsafe_code)]

mod cluster;
mod fleet;
mod report;
mod run;
mod services;
mod tokens;
mod trainer;

pub use report::{Report, SampleCounts};
pub use run::{DemoError, DemoOptions, run};
