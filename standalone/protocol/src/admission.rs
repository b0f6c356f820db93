//! Messages for the admission of requests to engines. They pass between the node that received a
//! request (the requester) and the node that owns the queue of the engine (the owner).

use brasspond_fairness::Priority;
use brasspond_routing::EngineLoad;
use brasspond_types::{EngineName, GroupName, ModelName, Timestamp, WeightVersion};
use serde::{Deserialize, Serialize};

/// Why a node rejects a request or an owner removes it from the queue. The request has not run in
/// any of these cases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The node that received the request does not own the engine, or no longer owns it.
    NotOwner,
    /// The queue is full, and the request was rejected or replaced by one of a higher priority.
    QueueFull,
    /// The engine is about to stop or does not answer.
    EngineUnavailable,
    /// The engine's version of the model is too old.
    VersionTooOld,
    /// The deadline passed while the request was in the queue.
    DeadlinePassed,
}

/// Messages about tickets. A ticket identifies one request in the queue of an engine or on the
/// engine. Each requesting process numbers its own tickets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AdmissionMessage {
    /// Asks the owner to add a request to the queue. The requester repeats it, with a current
    /// `asked_at`, until the request is granted or refused.
    Enqueue {
        /// Number of the ticket.
        ticket: u64,
        /// Time at the requester. A grant echoes it, so that the requester can detect a delayed
        /// grant.
        asked_at: Timestamp,
        /// Engine that the request is for.
        engine: EngineName,
        /// Group that is charged for the request.
        group: GroupName,
        /// Model that the request is for.
        model: ModelName,
        /// Oldest acceptable version of the model.
        minimum_version: WeightVersion,
        /// Expected cost in token-equivalents.
        cost: f32,
        /// Priority of the request.
        priority: Priority,
        /// Time left until the deadline, in milliseconds.
        milliseconds_left: u32,
    },
    /// The request is waiting in the queue.
    Queued {
        /// Number of the ticket.
        ticket: u64,
        /// Load of the engine.
        load: EngineLoad,
    },
    /// The request may start on the engine.
    Granted {
        /// Number of the ticket.
        ticket: u64,
        /// Engine that the ticket is for.
        engine: EngineName,
        /// Value of `asked_at` in the last [`AdmissionMessage::Enqueue`] that the owner received.
        asked_at: Timestamp,
        /// Load of the engine.
        load: EngineLoad,
    },
    /// The request is rejected or removed from the queue.
    Refused {
        /// Number of the ticket.
        ticket: u64,
        /// Reason for the rejection.
        reason: RefusalReason,
        /// Load of the engine, if the sender owns it.
        load: Option<EngineLoad>,
    },
    /// The owner asks whether old tickets are still in use. The requester releases the tickets
    /// that it does not know.
    Probe {
        /// Engine that the tickets are for.
        engine: EngineName,
        /// Numbers of the tickets.
        tickets: Vec<u64>,
    },
    /// The requester no longer needs the ticket. It repeats the message a limited number of times
    /// until the owner acknowledges it.
    Release {
        /// Number of the ticket.
        ticket: u64,
        /// Engine that the ticket was for.
        engine: EngineName,
        /// Actual cost in token-equivalents; zero if the request never started.
        served: f32,
        /// Whether the engine failed to run the request.
        engine_failed: bool,
    },
    /// Acknowledges [`AdmissionMessage::Release`].
    Released {
        /// Number of the ticket.
        ticket: u64,
        /// Load of the engine, if the sender owns it.
        load: Option<EngineLoad>,
    },
}
