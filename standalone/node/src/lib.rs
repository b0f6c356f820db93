//! A running node: sockets, threads and HTTP around [`brasspond_control`].
//!
//! One thread takes all decisions; others carry bytes. They are joined by
//! bounded channels (`docs/design/0001-architecture.md`). This package
//! assembles and applies; it decides nothing.
//!
//! Owns sockets, threads, rings and the data folder. Relies on `brasspond-control` for
//! every decision, on engines and on the platform's store over HTTP.
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
