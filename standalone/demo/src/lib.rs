//! The demonstration: the whole system in one process, on loopback ports the
//! operating system picks, with a crash of an engine and the replacement of a
//! node in mid-step.
//!
//! The figures come from the stand-in trainers', engines' and services' own
//! records, not from what the nodes say of themselves.
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
