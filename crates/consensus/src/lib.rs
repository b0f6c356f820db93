//! Agreement among a few machines on one log (Raft: Ongaro and Ousterhout,
//! "In Search of an Understandable Consensus Algorithm", USENIX ATC 2014).
//!
//! Free of I/O: [`Consensus`] takes messages, proposals and ticks, and collects
//! in [`Ready`] what must be written to disk, sent and applied. The caller
//! writes and syncs **before** it sends; nothing else makes an acknowledgement
//! durable.
//!
//! Members are identified by a number drawn when their disk was first used, so
//! a machine that comes back with an empty disk is a new member and cannot vote
//! as the old one. Membership changes one member at a time (Ongaro's thesis,
//! section 4.1); a candidate first asks whether it could win (section 9.6).
#![forbid(unsafe_code)]

mod currency;
mod election;
mod log;
mod membership;
mod message;
mod node;
mod replication;

pub use crate::log::Log;
pub use membership::MembershipError;
pub use message::{Entry, HardState, Member, MemberId, Message, Payload, Snapshot};
pub use node::{Consensus, Persisted, Ready, Role, Timing};
pub use replication::READ_LEASE;
