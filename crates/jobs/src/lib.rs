//! Jobs and their results: the state machine over the replicated log.
//!
//! [`JobTable::apply`] is deterministic: every member that applies the same
//! commands in the same order holds the same table. Invariants: a result keeps
//! its position and content; an item stands at one position at most; a job
//! accepted twice is one job.
#![forbid(unsafe_code)]

mod command;
mod table;

pub use command::{Command, CommandError, Item, Listing, Outcome, Submission};
pub use table::{Accepted, BodyError, Job, JobTable, Page, Positioned};
