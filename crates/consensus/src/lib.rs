//! Raft consensus: a small group of machines agrees on one log (Ongaro and Ousterhout, "In Search
//! of an Understandable Consensus Algorithm", USENIX ATC 2014).
//!
//! The crate does no I/O. [`Consensus`] is one member of the group: it takes messages, proposals
//! and ticks, and collects in [`Ready`] what the caller must write to disk and send. The caller
//! writes and syncs **before** it sends, since an acknowledgement promises that its entries are
//! durable.
//!
//! The modules cover elections, replication, entries (synced, committed, applied), membership,
//! quorums, and freshness (whether a follower may answer reads).
//!
//! A member is identified by a random number that is drawn when its disk is first used, so a
//! machine that comes back with an empty disk is a new member and cannot vote as the old one.
//! Membership changes one member at a time (Ongaro's thesis, section 4.1). Elections begin with a
//! pre-vote (section 9.6).
#![forbid(unsafe_code)]

mod election;
mod entries;
mod freshness;
mod log;
mod membership;
mod message;
mod node;
mod quorum;
mod ready;
mod replication;
mod role;
mod stored;
mod terms;
mod timing;

pub use membership::MembershipError;
pub use message::{Entry, EntryId, HardState, Member, MemberId, Message, Payload, Snapshot};
pub use node::Consensus;
pub use ready::{Persisted, Ready};
pub use role::Progress;
pub use stored::StoredEntries;
pub use timing::{READ_LEASE, Timing};
