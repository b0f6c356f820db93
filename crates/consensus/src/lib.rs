//! Agreement among a few machines on one log (Raft: Ongaro and Ousterhout,
//! "In Search of an Understandable Consensus Algorithm", USENIX ATC 2014).
//!
//! Free of I/O: [`Consensus`] takes messages, proposals and ticks, and collects
//! in [`Ready`] what must be written to disk, sent and applied. The caller
//! writes and syncs **before** it sends; nothing else makes an acknowledgement
//! durable.
//!
//! [`Consensus`] is one member. Its parts: elections, replication, entries (synced, committed,
//! applied), membership, quorums, and currency (whether a follower may answer reads).
//!
//! Members are identified by a number drawn when their disk was first used, so
//! a machine that comes back with an empty disk is a new member and cannot vote
//! as the old one. Membership changes one member at a time (Ongaro's thesis,
//! section 4.1); a candidate first asks whether it could win (section 9.6).
#![forbid(unsafe_code)]

mod currency;
mod election;
mod entries;
mod log;
mod membership;
mod message;
mod node;
mod quorum;
mod ready;
mod replication;
mod role;
mod timing;

pub use membership::MembershipError;
pub use message::{Entry, HardState, Member, MemberId, Message, Payload, Snapshot};
pub use node::Consensus;
pub use ready::{Persisted, Ready};
pub use role::Progress;
pub use timing::{READ_LEASE, Timing};
