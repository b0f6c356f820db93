//! Dissemination of the configuration from the few nodes that read the store to all nodes.
//!
//! Every change carries the revision that it follows, so a node applies changes
//! strictly in order and detects gaps. Changes are pushed to a few random peers
//! (Demers et al., *Epidemic Algorithms for Replicated Database Maintenance*,
//! PODC 1987); a node that sees a newer revision in the header of any message
//! pulls the missing changes.
#![forbid(unsafe_code)]

mod json;
mod readiness;
mod replica;

pub use json::{change_from_json, change_to_json};
pub use readiness::Readiness;
pub use replica::{Change, Message, Operation, Output, Replica};
