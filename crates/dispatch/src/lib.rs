//! Schedules items of jobs on replicas and plans which replica loads which model version.
//!
//! The leader of the replicated log makes all decisions, and edges carry them out. The crate does
//! no I/O: [`Dispatcher::handle`] takes an event and the current time and returns actions. The
//! state of the dispatcher is not durable; a new leader rebuilds it from the job table and from the
//! runs that edges report.
//!
//! An item is a request of a job whose response text a replica generates as a stream of events. A
//! run is one attempt to generate the text: an edge sends the item to a replica and reports the
//! events to the leader. A load makes a replica serve another version of a model's weights.
//!
//! Where each rule is implemented:
//!
//! | rule | module |
//! |---|---|
//! | which replica runs an item | `placement`, by the spare capacity from `capacity` |
//! | which item of a job is placed next | `waiting` |
//! | which service runs an item of a divided route | `job_route`, by `service_capacity` |
//! | which edge runs it or makes a scoring call | `edges` |
//! | when a run is stalled, an edge misses heartbeats or this process was suspended | `timeouts` |
//! | whether an item is retried or given up, and whether its replica is paused | `retry` |
//! | when a run is handed over to another replica | `moves` |
//! | which replica loads which version, and how many load concurrently | `load_plan`, by `model_plan` and `peak`; `loads` |
//! | when an order or a load is abandoned | `orders` |
//! | which model is a replica's primary model | `assignment`, by `demand` |
//! | when a scoring call is repeated | `scoring` |
//! | how many requests a replica may be sent while it warms up | `warming` |
#![forbid(unsafe_code)]

mod action;
mod assignment;
mod capacity;
mod demand;
mod dispatcher;
mod earlier_texts;
mod edges;
mod ending;
mod event;
mod job_route;
mod job_run;
mod jobs;
mod leases;
mod load_plan;
mod loading;
mod loads;
mod model_plan;
mod moves;
mod orders;
mod peak;
mod placement;
mod replicas;
pub mod residency;
mod restarts;
mod retry;
mod runs;
mod scoring;
mod service_capacity;
mod slowdown;
mod starting;
mod status;
mod takeover;
mod timeouts;
mod waiting;
mod warming;

pub use action::Action;
pub use dispatcher::{Dispatcher, Settings};
pub use event::Event;
pub use leases::OrderLeases;
pub use orders::{OrderAnswer, ReplicaReport};
pub use status::Workload;
pub use warming::{GrantCounts, PermitRequest};
