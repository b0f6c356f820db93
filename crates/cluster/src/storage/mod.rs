//! A storage process: keeps the replicated log; its leader runs the jobs.

mod applying;
mod asks;
pub mod copying;
mod evacuation;
pub mod gathering;
mod group;
mod leading;
pub mod load;
mod order_log;
mod ordering;
pub mod places;
pub mod plan;
mod process;
mod quarantine;
mod residency;
mod scaling;
pub mod search;
mod spread;
pub mod standbys;
mod texts;
mod usage;
mod warming;

pub use process::{ProcessError, run};
