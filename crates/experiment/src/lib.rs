//! Experiments: policies compared on the same seeds and the same drawn
//! lengths, and the cost of control by the size of the fleet.
//!
//! Everything runs in simulated time on `brasspond-simulation`, with the
//! decisions of the running node.
#![forbid(unsafe_code)]

mod bound;
mod capacity;
mod figures;
mod file;
mod html;
mod plan;
mod run;
mod slope;

pub use capacity::{CapacityOptions, CapacityReport, Promises, measure_capacity, measure_promises};
pub use figures::{ExperimentReport, GroupReport, PolicyReport};
pub use file::{Experiment, PolicyName, parse_experiment};
pub use html::render_html;
pub use run::run_experiment;
pub use slope::{Fit, fit};
