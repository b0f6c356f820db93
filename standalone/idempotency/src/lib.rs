//! Non-repeatable requests run at most once an idempotency key.
//!
//! Keys are spread over shards; each shard has a few voters in different
//! zones. Before a request is sent to a back end, a majority of the voters
//! must have accepted its claim on the key; a voter accepts one claim a key.
//! Voters change only through an epoch that is written to the platform's store
//! by compare-and-swap, and a voter of a new epoch first copies the claims of a
//! majority of the epoch before, which stops voting as it is asked. A request
//! without an outcome is therefore answered "unknown", never run again. See
//! `docs/design/0010-at-most-once.md`.
#![forbid(unsafe_code)]

mod claim;
mod coordinator;
mod voter;

pub use claim::{ClaimKey, ClaimToken, Message, Outcome, Verdict, shard_of};
pub use coordinator::{Coordinator, Decision};
pub use voter::Voter;
