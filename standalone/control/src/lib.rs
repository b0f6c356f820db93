//! Control logic of a node without I/O. It handles one event at a time, given the current time, and
//! returns the actions to carry out.
//!
//! [`Control`] combines the decision packages (membership, dissemination,
//! fairness, routing, limits, rollout, idempotency) and has no clock, socket or
//! thread. The node and the simulation drive the same type: they pass
//! [`Event`]s to it and carry out its [`Action`]s.
//!
//! It owns the state of one node: members, configuration, the queues of its
//! engines, its steps, claims and writes.
#![forbid(unsafe_code)]

mod claims;
mod context;
mod control;
mod event;
mod fleet;
mod generation;
mod owner;
mod owner_table;
mod parameters;
mod step_copies;
mod steps;
mod store_reader;
mod versions;
mod writes;

pub use control::Control;
pub use event::{
    Action, AttemptId, Event, GenerateRequest, PutResult, Refusal, RefusalKind, Reply, RequestId,
    StoreCall, StoreEvent, WriteOperation, WriteReply,
};
pub use fleet::FleetStatus;
pub use parameters::Parameters;
