//! Deterministic simulation of a fleet: clock, network, node processes, engines, platform and
//! clients.
//!
//! Each node runs the same [`brasspond_control::Control`] state machine as `brasspond node`.
//! Everything around it is simulated and driven by a seed. The crate reads no real clock and opens
//! no socket, so a seed always reproduces the same run.
//!
//! The oracle checks the guarantees of the system. It compares what the nodes deliver with the
//! records of the simulated trainers, callers, engines, services and object store. Only the
//! configuration that a node applies is read from the node itself. The fuzzer injects faults in
//! pairs and shrinks the fault list of a failed run.
#![forbid(unsafe_code)]

mod actions;
mod callers;
mod clients;
mod config;
mod engines;
mod faults;
mod fuzz;
mod network;
mod operators;
mod oracle;
mod platform;
mod queue;
mod trainers;
mod world;

pub use config::WorldConfig;
pub use faults::{Fault, FaultKind};
pub use fuzz::{FuzzFailure, FuzzOptions, fuzz_config, run_faults, run_limit, run_seed, shrink};
pub use oracle::{Guarantee, Violation};
pub use world::World;
