//! A simulated fleet: clock, network, processes, engines, platform, clients.
//!
//! The nodes are real [`brasspond_control::Control`] values, the same that run
//! in `brasspond node`; everything around them is simulated and seeded. The
//! [`Oracle`] is fed by what trainers, callers, engines and services saw, never
//! by what the nodes say of themselves. Fuzzing draws faults two at a time;
//! experiments and the hollow fleet use the same world without them.
#![forbid(unsafe_code)]

mod actions;
mod callers;
mod clients;
mod config;
mod engines;
mod faults;
mod fuzz;
mod meter;
mod network;
mod operators;
mod oracle;
mod platform;
mod queue;
mod trainers;
mod world;

pub use callers::{CallerConfig, step_prompt};
pub use config::{GroupConfig, NetworkConfig, WorldConfig};
pub use engines::EngineTotals;
pub use faults::{Fault, FaultKind, draw_faults};
pub use fuzz::{FuzzFailure, FuzzOptions, fuzz_config, run_faults, run_limit, run_seed, shrink};
pub use meter::{MessageClass, Meter};
pub use oracle::{Guarantee, Oracle, Violation};
pub use trainers::TrainerTotals;
pub use world::World;
