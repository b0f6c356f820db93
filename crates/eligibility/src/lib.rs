//! The one check before each request to a replica.
//!
//! Plain requests, streams and their resumption, items of jobs, hand-overs of runs and scoring
//! calls all pass [`Standing::takes`], so that what forbids a replica forbids it for all. A
//! connection for a request is opened only with a [`Clearance`], which [`Standing::clear`] returns.
//! For a run at a replica that this process does not know yet the leader made the check
//! ([`Clearance::of_leader`]). Nothing here does I/O; each process that knows the fleet's view
//! keeps a [`Standing`] for each replica.
#![forbid(unsafe_code)]

mod clearance;
mod standing;
mod work;

pub use clearance::Clearance;
pub use standing::Standing;
pub use work::{Unfit, Weights, Work};
