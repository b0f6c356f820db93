//! Which item of which job runs where, and which replica loads which version.
//!
//! Decided by the leader of the log alone; edges carry it out. Free of I/O:
//! [`Dispatcher::handle`] takes an event and the present time and returns
//! actions. Everything here can be lost: a new leader begins from the job table
//! and from what the edges tell it of their runs.
#![forbid(unsafe_code)]

mod demand;
mod dispatcher;
mod jobs;
mod load_cost;
mod loads;
mod moves;
mod orders;
mod placement;
mod rebirth;
mod replicas;
pub mod residency;
mod runs;
mod scoring;
mod takeover;
mod warming;
mod withheld;

pub use dispatcher::{Action, Dispatcher, Event, Load, OrderLeases, Settings};
pub use orders::{OrderAnswer, ReplicaReport};
pub use warming::{GrantCounts, PermitAsk};
