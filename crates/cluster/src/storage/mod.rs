//! A storage process: stores the replicated log, and as the leader runs the jobs.
//!
//! The public modules are pure decisions, which are tested without processes. The private ones
//! contain the process with its state and I/O.

mod announcing;
mod applying;
mod collecting;
pub mod copying;
mod disk;
mod edges;
mod evacuation;
mod group;
mod job_memory;
mod leader;
pub mod leader_rules;
mod links;
pub mod listing;
pub mod load;
mod local;
pub mod long_poll;
mod membership;
mod memory_budget;
mod monitor;
mod order_log;
mod ordering;
pub mod placement;
pub mod plan;
mod process;
mod proposals;
mod quarantine;
mod questions;
mod record;
mod replica_loads;
mod residency;
pub mod retirements;
mod scaling;
pub mod search;
mod snapshots;
pub mod standbys;
mod texts;
mod turn;
mod usage;
mod warming;

pub use process::{ProcessError, run};
