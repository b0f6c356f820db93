//! Failure detection and group membership between nodes, free of I/O.
//!
//! The protocol is SWIM with suspicion and incarnation numbers (Das, Gupta and
//! Motivala, *SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol*, DSN 2002) with a push-pull synchronisation added so
//! that two halves of a parted network merge again. See
//! `docs/design/0003-membership.md`.
//!
//! Cost a node: one probe and one acknowledgement sent a probe period, each
//! carrying at most [`Parameters::updates_per_message`] updates, whatever the
//! number of members.
#![forbid(unsafe_code)]

mod broadcast;
mod detector;
mod member;

pub use detector::{Membership, Output, Parameters};
pub use member::{Instance, Member, MemberState, Message, Update};
