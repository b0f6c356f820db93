//! At-most-once execution of non-repeatable requests, by idempotency key.
//!
//! Keys are divided into shards; each shard has a few voters in different
//! zones. Before a request is sent to a back end, a majority of the voters must
//! accept its claim on the key; a voter accepts one claim per key. The voters
//! change only with a new epoch, which is written to the platform's store by
//! compare-and-swap. A voter of a new epoch first copies the claims of a majority
//! of the previous voters, which stop voting when they are asked. While the claim
//! on a key is kept, further requests with the key do not run. They are answered
//! with the outcome of the claimed request, or "unknown" if it is not known.
#![forbid(unsafe_code)]

mod claim;
mod coordinator;
mod voter;

pub use claim::{ClaimKey, ClaimToken, Message, Outcome, Verdict, shard_of};
pub use coordinator::{Coordinator, Decision};
pub use voter::Voter;
