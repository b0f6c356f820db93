//! Stand-ins for the servers of the platform, which listen on real sockets.
//!
//! They wrap the emulators of `brasspond-emulator` and implement the protocols of the real
//! platform: the OpenAI-compatible completions interface with server-sent events for engines,
//! and the Kubernetes object conventions for the object store. Engines and services record
//! the requests that they run, so that the demo and the tests can compare these records with
//! the results that brasspond reports.
//!
//! This package owns sockets, timers and records. `brasspond-emulator` implements the
//! behaviour of engines and stores.
#![forbid(unsafe_code)]

mod engine;
mod faults;
mod service;
mod store;
mod weights;

pub use engine::{EngineRecord, EngineServer, EngineSettings};
pub use faults::{Fault, FaultKind, FaultSchedule};
pub use service::{ServiceRecord, ServiceServer};
pub use store::StoreServer;
pub use weights::WeightServer;
