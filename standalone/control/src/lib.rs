//! The decisions of a node, free of I/O: `(state, event, now) -> actions`.
//!
//! [`Control`] joins the parts that each decide one matter and holds no clock,
//! socket or thread. The running node and the simulation drive this same type:
//! they feed it [`Event`]s and apply its [`Action`]s. See `docs/ARCHITECTURE.md`.
//!
//! Owns what one node knows and has under way: members, configuration, the queues of
//! its engines, its steps, claims and writes. Relies on the packages that each decide
//! one matter (membership, dissemination, fairness, routing, limits, rollout,
//! idempotency) and on its caller for time and for every side effect.
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
