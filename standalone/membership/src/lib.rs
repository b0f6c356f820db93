//! Failure detection and group membership between nodes, without I/O.
//!
//! The protocol is SWIM with suspicion and incarnation numbers (Das, Gupta and
//! Motivala, *SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol*, DSN 2002), extended by push-pull synchronisations of full
//! lists and by probes of dead members. The probes let the sides of a partitioned
//! network merge again.
//!
//! While no member fails, each node sends one probe and, on average, one
//! acknowledgement per probe period, each with at most
//! [`Parameters::updates_per_message`] updates, whatever the number of members.
//! Only synchronisations send full lists. A node requests one per
//! [`Parameters::sync_period`] from a random member. Until the first answer, and while
//! it knows no live member, it requests one per probe period from every seed.
#![forbid(unsafe_code)]

mod broadcast;
mod detector;
mod member;

pub use detector::{Membership, Output, Parameters};
pub use member::{Instance, Member, MemberState, Message, Update};
