//! A storage process: keeps the replicated log; its leader runs the jobs.

mod asks;
mod group;
mod leading;
mod order_log;
pub mod plan;
mod process;

pub use process::{ProcessError, run};
