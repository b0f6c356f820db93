//! A running node: sockets, threads and HTTP around [`brasspond_control`].
//!
//! One thread, the decisions thread, runs the control logic of `brasspond-control`, which takes
//! every decision. The other threads perform input and output and exchange events and actions with
//! it over bounded queues.
//!
//! This package owns the sockets, the threads, the queues and the data folder. It calls the
//! engines and the platform's object store over HTTP.
#![forbid(unsafe_code)]

mod attempts;
mod auth;
mod catalogue_store;
mod completions;
mod decisions;
mod engine_client;
mod errors;
mod handle;
mod metrics;
mod peers;
mod resources;
mod router;
mod runtime;
mod server;
mod service_replicas;
mod services;
mod steps;
mod store_client;
mod view;

pub use catalogue_store::CatalogueStoreError;
pub use runtime::{Node, StartError};
