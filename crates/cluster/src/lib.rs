//! The processes of a cluster: edges, which serve callers and run items, and
//! storage processes, which keep the replicated log and lead.
//!
//! Both are event loops on one thread: the machines give a process a fraction
//! of a core and charge every wake-up, so a thread for each duty costs more
//! than it gains here (`docs/design/0013-platform.md`). What lies outside (the
//! platform's store, the names of headers, the form of calls) comes through
//! the traits of [`platform`].
#![forbid(unsafe_code)]

pub mod client;
pub mod clock;
pub mod edge;
pub mod evacuation;
pub mod link;
mod link_context;
mod link_writer;
mod member_question;
mod metrics_server;
pub mod platform;
pub mod settings;
mod socket;
pub mod storage;
mod traffic;
pub mod upstream;
