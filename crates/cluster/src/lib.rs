//! The processes of a cluster: edges, which serve callers and run items, and storage processes,
//! which store the replicated log and elect a leader.
//!
//! Both are event loops on one thread, because a process gets a fraction of a core and additional
//! threads would cost more wake-ups than they save. Everything that depends on the platform (its
//! store, names of headers, formats of calls) is accessed through the traits of [`platform`].
#![forbid(unsafe_code)]

mod body;
pub mod client;
pub mod clock;
pub mod edge;
pub mod evacuation;
pub mod link;
mod link_context;
mod link_writer;
mod member_question;
mod memory;
mod metrics_server;
pub mod platform;
pub mod settings;
mod socket;
pub mod storage;
mod traffic;
pub mod upstream;

#[cfg(test)]
#[path = "../tests/unit/replicas.rs"]
mod test_replicas;
