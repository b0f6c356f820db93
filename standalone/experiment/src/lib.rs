//! Experiments: policies compared on the same seeds and the same drawn
//! lengths.
//!
//! Everything runs in simulated time on `brasspond-simulation`, with the
//! decisions of the running node.
#![forbid(unsafe_code)]

mod bound;
mod figures;
mod file;
mod html;
mod plan;
mod run;

pub use figures::{ExperimentReport, GroupReport, PolicyReport};
pub use file::{Experiment, PolicyName, parse_experiment};
pub use html::render_html;
pub use run::run_experiment;
