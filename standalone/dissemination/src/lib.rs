//! Spreading of configuration from a few store readers to all nodes.
//!
//! Every change carries the revision before it, so a node applies changes
//! strictly in order and knows when it missed one. Changes are pushed to a few
//! random peers (Demers et al., *Epidemic Algorithms for Replicated Database
//! Maintenance*, PODC 1987); whoever sees a newer revision in any message's
//! header pulls what it lacks. See `docs/design/0009-configuration.md`.
#![forbid(unsafe_code)]

mod json;
mod readiness;
mod replica;

pub use json::{change_from_json, change_to_json};
pub use readiness::Readiness;
pub use replica::{Change, Message, Operation, Output, Replica};
