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

pub use slope::{Fit, fit};
