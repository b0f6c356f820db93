//! A simulated fleet: clock, network, processes, engines, platform, clients.
//!
//! The nodes are real [`brasspond_control::Control`] values, the same that run
//! in `brasspond node`; everything around them is simulated and seeded. The
//! oracle is fed by what trainers, callers, engines and services saw, never by
//! what the nodes say of themselves. Fuzzing draws faults two at a time.
//!
//! Owns the simulated clock, the queue of events and all that is outside a node's
//! decisions. Relies on `brasspond-control` for the decisions and on
//! `brasspond-emulator` for engines and stores; reads no real clock and opens no
//! socket, so that a seed always plays alike.
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
