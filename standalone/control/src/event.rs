//! Events that a node's control logic handles and actions that it returns.

use brasspond_dissemination::Change;
use brasspond_engine_api::{AttemptUpdate, EngineCall, EngineOrder, EngineReport, OrderOutcome};
use brasspond_fairness::Priority;
use brasspond_idempotency::{ClaimKey, Decision, Outcome};
use brasspond_protocol::{Envelope, StepReply, StepRequest};
use brasspond_resource::{Catalogue, Object, ObjectKey, Revision};
use brasspond_types::{EngineName, GroupName, ModelName, NodeName, Timestamp, WeightVersion};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Identity of an external request at this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identity of one run of a request on an engine, started by this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// A caller's request to a model.
#[derive(Clone, Debug)]
pub struct GenerateRequest {
    /// Group that is charged.
    pub group: GroupName,
    /// Requested model.
    pub model: ModelName,
    /// Text of the prompt.
    pub prompt: Arc<str>,
    /// Maximum length of the answer, in tokens.
    pub max_tokens: u32,
    /// Priority class of the request.
    pub priority: Priority,
    /// Sampling seed.
    pub seed: u64,
    /// Oldest acceptable version.
    pub minimum_version: WeightVersion,
    /// Time after which the caller no longer waits for the answer.
    pub time_limit: Duration,
}

/// A write to the store.
#[derive(Clone, Debug)]
pub enum WriteOperation {
    /// Creates or replaces an object.
    Put(Box<Object>),
    /// Deletes an object.
    Remove(ObjectKey),
}

/// Result of a write to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutResult {
    /// The write took effect.
    Done(Revision),
    /// The object had another version or did not exist.
    Conflict,
    /// The store certainly did not receive the write.
    NotSent,
    /// The answer was lost; the write may or may not have taken effect.
    Lost,
}

/// Results that the store client reports.
#[derive(Clone, Debug)]
pub enum StoreEvent {
    /// A list of all objects.
    Listed(Box<Catalogue>),
    /// Changes after the watched revision, possibly none.
    Changed(Vec<Change>),
    /// The list or watch failed.
    ReadFailed,
    /// Result of a write.
    Written {
        /// Identity of the write.
        write: u64,
        /// How the write ended.
        result: PutResult,
    },
    /// The current state of the object of a write, read back from the store.
    Found {
        /// Identity of the write.
        write: u64,
        /// `None` if the store did not answer, `Some(None)` if the object does not exist.
        object: Option<Option<Box<Object>>>,
    },
}

/// Requests to the store client.
#[derive(Clone, Debug)]
pub enum StoreCall {
    /// Read all objects.
    List,
    /// Wait for changes after a revision.
    Watch(Revision),
    /// Write or delete an object if it has the expected version.
    Write {
        /// Identity of the write.
        write: u64,
        /// What to write.
        operation: WriteOperation,
        /// Version the object must have.
        expected: Option<Revision>,
    },
    /// Read the object of a write.
    Find {
        /// Identity of the write.
        write: u64,
        /// The object.
        key: ObjectKey,
    },
}

/// Input of a node's control logic.
#[derive(Clone, Debug)]
pub enum Event {
    /// Runs the timers that are due.
    Tick,
    /// The node must drain and stop.
    Drain,
    /// A peer sent a message.
    Peer(Box<Envelope>),
    /// A caller requests an answer from a model.
    Generate {
        /// The request.
        request: RequestId,
        /// Content of the request.
        body: Box<GenerateRequest>,
    },
    /// A caller disconnected.
    CallerDisconnected(RequestId),
    /// Progress or end of an attempt.
    Attempt {
        /// The attempt.
        attempt: AttemptId,
        /// What happened.
        update: AttemptUpdate,
    },
    /// A trainer's request about a step.
    Step {
        /// The request.
        request: RequestId,
        /// Content of the request.
        body: StepRequest,
    },
    /// A non-repeatable request claims its idempotency key before it runs.
    Claim {
        /// The request.
        request: RequestId,
        /// Its idempotency key.
        key: ClaimKey,
    },
    /// A non-repeatable request that claimed its key ended.
    ClaimEnded {
        /// The request.
        request: RequestId,
        /// The outcome; `None` if the request certainly was not sent.
        outcome: Option<Outcome>,
    },
    /// Result of a poll of an engine.
    EngineReport {
        /// The engine.
        engine: EngineName,
        /// When the poll was sent.
        asked_at: Timestamp,
        /// The report; `None` if the engine did not answer.
        report: Option<Box<EngineReport>>,
    },
    /// Result of an order to an engine.
    EngineOrdered {
        /// The engine.
        engine: EngineName,
        /// The order.
        order: EngineOrder,
        /// The answer.
        outcome: OrderOutcome,
    },
    /// Report of the store client.
    Store(StoreEvent),
    /// An operator writes a resource.
    Write {
        /// The request.
        request: RequestId,
        /// What is written.
        operation: WriteOperation,
        /// Version that the operator read.
        expected: Option<Revision>,
    },
}

/// Reason why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalKind {
    /// This node accepts no work, since it starts or drains.
    NotReady,
    /// The deadline passed and no engine is configured.
    NoEngine,
    /// The queues of the tried engines are full.
    Overloaded,
    /// The deadline passed while the request waited for an engine.
    DeadlinePassed,
    /// Attempts failed and no retry is left.
    Failed,
}

/// A refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub kind: RefusalKind,
    /// Whether it is certain that no back end started the request.
    pub not_run: bool,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

/// Answer to an operator's write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteReply {
    /// The write is durable in the store at this revision.
    Accepted(Revision),
    /// Another write changed the object.
    Conflict,
    /// The store cannot be reached; nothing was written.
    NotWritten,
    /// The answer was lost; whether the write took effect is not known.
    Unknown,
}

/// Answer to an external request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The caller's answer is complete.
    Generated,
    /// The request is refused.
    Refused(Refusal),
    /// Answer about a step.
    Step(StepReply),
    /// Decision on the claim of a non-repeatable request.
    Claim(Decision),
    /// Answer to a write.
    Write(WriteReply),
}

/// Output of a node's control logic, to be carried out by the caller.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: NodeName,
        /// Address of the peer.
        address: SocketAddr,
        /// Content of the envelope, to be sealed before it is sent.
        envelope: Box<Envelope>,
    },
    /// Run a request on an engine.
    StartAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// Caller's request that the attempt answers; `None` for a slot of a step.
        request: Option<RequestId>,
        /// The engine.
        engine: EngineName,
        /// Address of the engine.
        address: SocketAddr,
        /// What to generate.
        call: Box<EngineCall>,
    },
    /// Cancel an attempt.
    CancelAttempt(AttemptId),
    /// Ask an engine for its report.
    PollEngine {
        /// The engine.
        engine: EngineName,
        /// Address of the engine.
        address: SocketAddr,
    },
    /// Send an order to an engine.
    OrderEngine {
        /// The engine.
        engine: EngineName,
        /// Address of the engine.
        address: SocketAddr,
        /// The order.
        order: EngineOrder,
    },
    /// Answer an external request.
    Reply {
        /// The request.
        request: RequestId,
        /// The answer.
        reply: Reply,
    },
    /// Call the store.
    Store(StoreCall),
    /// A newer configuration is in force: save it if the node has a disk.
    InForce(Revision),
}
