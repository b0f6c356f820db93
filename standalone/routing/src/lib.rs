//! Where a request runs: owners by rendezvous hashing, engines by cost.
//!
//! The cost of a placement, in microseconds, is
//! `queue wait + prefill of what is not cached + decode + distance`, worked
//! out from lagging load reports corrected by what this node sent since
//! (`docs/design/0004-routing.md`). Only a bounded sample of engines is
//! priced: two by prefix affinity and a few at random, so the decision costs
//! the same whether a report of every engine is at hand or of few
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
