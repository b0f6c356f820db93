//! An edge: serves callers, forwards their requests, takes jobs, runs items.

mod answers;
mod asking;
mod attempt;
mod attempt_error;
mod attempts;
mod balance;
mod cluster;
mod ended;
mod evacuation;
mod event_buffer;
mod forward;
mod front;
mod headers;
mod item_run;
mod pace;
mod passing;
mod process;
mod reader;
mod ready;
mod refusal;
mod residency;
mod retry_after;
mod runs;
mod scoring;
mod starting;
mod stream;
mod usage;
mod warming;
mod work_lease;

pub use process::run;
