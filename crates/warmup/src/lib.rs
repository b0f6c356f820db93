//! Replicas that warm up bear a few requests a second, from all callers together.
//!
//! One process, the leader, grants each request that goes to such a replica: a [`Permit`],
//! which is good for [`PERMIT_MS`] by the clock of the process that sends. It keeps a
//! [`Budget`] for each replica, which counts a grant for that time and a second more, so
//! that no sliding second has more requests sent than the replica bears, whenever within
//! their permits they leave. Nothing here does I/O.
//!
//! ```text
//! leader: Spell (does it warm up?) + Budget (may one more go?)  --Permit-->  edge: sends, or not
//! ```
#![forbid(unsafe_code)]

mod budget;
mod peer_clock;
mod permit;
mod rate;
mod spell;

pub use budget::{Budget, LEADERS_OVERLAP};
pub use peer_clock::PeerClock;
pub use permit::{PERMIT_MS, Permit};
pub use rate::Rate;
pub use spell::Spell;
