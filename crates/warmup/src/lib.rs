//! Rate limiting of replicas that are warming up. The [`Rate`] of such a replica limits the
//! requests of all callers together.
//!
//! A rate of at least one request per second limits the requests in every interval of one second. A
//! lower rate allows one request in every interval of 1 / rate seconds. The leader grants each
//! request with a [`Permit`], which allows an edge to send the request until the permit expires, at
//! most [`PERMIT_MS`] after the grant. A grant counts against the replica's [`Budget`] for the
//! interval of the rate plus [`PERMIT_MS`]. The requests sent in any such interval therefore do not
//! exceed the rate, no matter when edges use their permits.
//!
//! [`WarmUpPeriod`] determines whether a replica is warming up. [`PeerClock`] estimates the clock
//! of an edge, because a permit expires by that clock. After a change of leader, both leaders may
//! grant requests for up to [`LEADER_OVERLAP_MS`]. Nothing here does I/O.
//!
//! ```text
//! leader: WarmUpPeriod, Budget, PeerClock  --Permit-->  edge: sends the request before it expires
//! ```
#![forbid(unsafe_code)]

mod budget;
mod peer_clock;
mod permit;
mod rate;
mod warm_up_period;

pub use budget::{Budget, LEADER_OVERLAP_MS};
pub use peer_clock::PeerClock;
pub use permit::{PERMIT_MS, Permit};
pub use rate::Rate;
pub use warm_up_period::WarmUpPeriod;
