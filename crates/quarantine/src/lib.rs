//! Requests that end the replicas which run them.
//!
//! Two requests are of one content when they ask for the same path of the same host, for
//! the same tenant, with the same method and body; their identities differ.
#![forbid(unsafe_code)]

mod fingerprint;

pub use fingerprint::{Content, Fingerprint};
