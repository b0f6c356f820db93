//! Routing: owner nodes by rendezvous hashing, and engines for requests by cost.
//!
//! The cost of a placement, in microseconds, is
//! `queue wait + prefill of uncached tokens + decode + zone and owner costs`,
//! where a slow start multiplies the first three terms. It is estimated from load
//! reports, the mean load of the pool and the requests that this node sent since
//! the reports. The candidates are this node's own engines, two engines by prefix
//! affinity, the one that last received the prefix, and a few at random
//! (Mitzenmacher, *The Power of Two Choices*, 2001).
#![forbid(unsafe_code)]

mod health;
mod load;
mod owner;
mod placement;
mod prefix;
mod sent;

pub use health::Health;
pub use load::{EngineLoad, PoolLoad, SpeedEstimate};
pub use owner::{assign_evenly, rank, rank_distinct_zones};
pub use placement::{EngineTable, EngineView, Placement, PlacementRequest};
pub use prefix::{BLOCK_TOKENS, CacheEvent, estimate_tokens, prefix_hashes};
