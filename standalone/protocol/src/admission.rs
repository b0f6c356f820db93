//! Admission of requests to engines: between the node that took a request and
//! the node that owns the engine's queue.

use brasspond_fairness::Priority;
use brasspond_routing::EngineLoad;
use brasspond_types::{EngineName, GroupName, ModelName, Timestamp, WeightVersion};
use serde::{Deserialize, Serialize};

/// Why an owner did not queue a request, or dropped it from the queue. In all
/// cases the request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The receiver does not own the engine.
    NotOwner,
    /// The queue is full of requests of the same or a higher class.
    QueueFull,
    /// The engine is leaving or does not answer.
    EngineUnavailable,
    /// The engine's version of the model is too old.
    VersionTooOld,
    /// The deadline passed in the queue.
    DeadlinePassed,
}

/// Messages about one ticket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AdmissionMessage {
    /// Asks for a place; repeated until answered, and to refresh `asked_at`.
    Enqueue {
        /// The place, numbered by the asking process.
        ticket: u64,
        /// Time at the asking node, echoed by a grant so that the asker can
        /// tell a grant that was long under way.
        asked_at: Timestamp,
        /// Engine wanted.
        engine: EngineName,
        /// Group that pays.
        group: GroupName,
        /// Model wanted.
        model: ModelName,
        /// Oldest acceptable version.
        minimum_version: WeightVersion,
        /// Expected cost in token-equivalents.
        cost: f32,
        /// Class.
        priority: Priority,
        /// Time left until the deadline, in milliseconds.
        milliseconds_left: u32,
    },
    /// The request waits in the queue.
    Queued {
        /// The place.
        ticket: u64,
        /// Load of the engine.
        load: EngineLoad,
    },
    /// The request may start on the engine.
    Granted {
        /// The place.
        ticket: u64,
        /// Engine it is on.
        engine: EngineName,
        /// Echo of the last [`AdmissionMessage::Enqueue`] received.
        asked_at: Timestamp,
        /// Load of the engine.
        load: EngineLoad,
    },
    /// The request has no place.
    Refused {
        /// The place.
        ticket: u64,
        /// Why.
        reason: RefusalReason,
        /// Load of the engine, where the receiver owns it.
        load: Option<EngineLoad>,
    },
    /// The owner asks whether places granted long ago are still held; the
    /// asker releases those it does not know.
    Probe {
        /// Engine they are on.
        engine: EngineName,
        /// The places.
        tickets: Vec<u64>,
    },
    /// The asker no longer wants the place, or is done with it; repeated until
    /// acknowledged.
    Release {
        /// The place.
        ticket: u64,
        /// Engine it was for.
        engine: EngineName,
        /// True cost in token-equivalents; zero if never started.
        served: f32,
        /// Whether the engine failed.
        engine_failed: bool,
    },
    /// Answer to [`AdmissionMessage::Release`].
    Released {
        /// The place.
        ticket: u64,
        /// Load of the engine, where the receiver owns it.
        load: Option<EngineLoad>,
    },
}
