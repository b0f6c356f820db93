//! Batch jobs and their results: the state machine that the replicated log drives.
//!
//! [`JobTable::apply`] is deterministic: members that apply the same commands in the same order
//! have equal tables. A table keeps these invariants:
//!
//! - No command changes the position or the content of a result. [`Command::Forget`] removes the
//!   results of a job together with the job.
//! - An item has at most one result.
//! - Accepting a job again has no effect.
//! - A score is stored with the draft that precedes it in the log.
#![forbid(unsafe_code)]

mod command;
mod groups;
mod job;
mod stream;
mod table;
mod text_file;

pub use command::{
    Command, CommandError, Draft, Item, Listing, Outcome, Part, Piece, Score, ScoringCall,
    Submission,
};
pub use groups::{Groups, StepState};
pub use job::{ItemResult, Job, Page};
pub use table::{Accepted, BodyError, JobTable};
pub use text_file::{TextFileIndex, TextSpan};
