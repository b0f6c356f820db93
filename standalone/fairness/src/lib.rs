//! Weighted fair sharing of an engine's time between research groups.
//!
//! [`FairQueue`] keeps a virtual counter of served cost per group, divided by
//! the group's weight, and serves the waiting group with the lowest counter
//! (Sheng et al., *Fairness in Serving Large Language Models*, OSDI 2024,
//! "virtual token counter"). Groups with interactive requests go first. The
//! counter of a group that returns after being idle is raised to the lowest
//! counter of the waiting groups, so idle time earns no credit.
//! [`UsageTable::excess`] computes the correction that makes the shares hold over
//! the whole pool, not only for each engine.
#![forbid(unsafe_code)]

mod queue;
mod usage;

pub use queue::{FairQueue, Priority, QueueEntry};
pub use usage::{GroupUsage, UsageTable};
