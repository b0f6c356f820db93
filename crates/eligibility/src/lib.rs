//! The eligibility check that precedes every request to a replica.
//!
//! Plain requests, streams and their resumption, items of jobs, hand-overs of runs and scoring
//! calls all pass [`Endpoint::check`], so that the same rules exclude a replica for all of them.
//! Opening a connection for a request requires a [`Clearance`], which [`Endpoint::authorize`]
//! returns. For a run on a replica that this process does not know yet, the leader has made the
//! check ([`Clearance::from_leader`]). Each process that receives the view of the fleet has an
//! [`Endpoint`] for each replica. Nothing here does I/O.
#![forbid(unsafe_code)]

mod clearance;
mod endpoint;
mod requirements;

pub use clearance::Clearance;
pub use endpoint::Endpoint;
pub use requirements::{Ineligible, Requirements, VersionConstraint};
