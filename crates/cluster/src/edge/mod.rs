//! An edge: serves callers, forwards their requests, takes jobs, runs items.

mod asking;
mod balance;
mod cluster;
mod ended;
mod evacuation;
mod forward;
mod front;
mod pace;
mod passing;
mod process;
mod reader;
mod ready;
mod residency;
mod retry;
mod runs;
mod scoring;
mod starting;
mod stream;
mod usage;
mod warming;
mod work_lease;

pub use process::run;
