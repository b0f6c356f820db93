//! Small stand-ins for the platform, served over HTTP on real sockets.
//!
//! They wrap the models of `brasspond-emulator` and speak the protocols the
//! real platform speaks: the OpenAI-compatible completions interface with
//! server-sent events for engines, the Kubernetes object conventions for the
//! object store. Each keeps records of its own that the demo and the tests
//! hold against what brasspond says.
//!
//! Owns sockets, timers and records. Relies on `brasspond-emulator` for how an engine or
//! a store behaves: there is no second model here.
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
