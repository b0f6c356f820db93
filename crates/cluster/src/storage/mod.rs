//! A storage process: keeps the replicated log; its leader runs the jobs.

mod announcing;
mod applying;
mod collecting;
pub mod copying;
mod edges;
mod evacuation;
mod group;
pub mod leader_rules;
mod leading;
pub mod load;
pub mod long_poll;
mod order_log;
mod ordering;
pub mod places;
pub mod plan;
mod process;
mod quarantine;
mod questions;
mod residency;
mod scaling;
pub mod search;
pub mod standbys;
mod texts;
mod usage;
mod warming;

pub use process::{ProcessError, run};
