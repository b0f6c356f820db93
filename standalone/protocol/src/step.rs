//! Messages about training steps. They pass between the node that a trainer calls, the home of the
//! step (the node that runs it), and the nodes that hold replicas of it.

use brasspond_rollout::{StepSpec, StepSummary};
use brasspond_types::{NodeName, Sample, StepId, WeightVersion};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Request of a trainer about one step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StepRequest {
    /// Opens a step. A repeated request with the same specification has no effect.
    Open {
        /// Specification of the step.
        spec: Arc<StepSpec>,
        /// Newest version that the trainer has published.
        newest_version: WeightVersion,
    },
    /// Fetches finished samples.
    Fetch {
        /// Step that the samples belong to.
        step: StepId,
        /// Cursor of the previous reply; empty in the first request.
        cursor: String,
        /// Newest version that the trainer has published.
        newest_version: WeightVersion,
        /// Maximum number of samples.
        count: u32,
        /// Maximum time to wait for the first sample, in milliseconds.
        wait_milliseconds: u32,
    },
    /// Closes the step and discards its state.
    Close(StepId),
}

impl StepRequest {
    /// Returns the step that the request is about.
    pub fn step(&self) -> &StepId {
        match self {
            Self::Open { spec, .. } => &spec.id,
            Self::Fetch { step, .. } | Self::Close(step) => step,
        }
    }
}

/// Reply of the home to a trainer's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StepReply {
    /// The step is open.
    Opened(StepSummary),
    /// Response to [`StepRequest::Fetch`].
    Samples {
        /// Finished samples that the cursor of the request does not cover; empty if no sample
        /// finished in time.
        samples: Vec<Arc<Sample>>,
        /// Cursor to send in the next request.
        cursor: String,
        /// Whether the new cursor covers all slots.
        complete: bool,
        /// Progress of the step.
        summary: StepSummary,
    },
    /// The step is closed.
    Closed,
    /// The step is unknown or its home did not reply in time. The trainer must open it again.
    Unknown,
    /// The receiver is not the step's home.
    NotHome,
    /// The step is already open with a different specification.
    Conflict,
    /// The cursor was not issued for this step.
    BadCursor,
    /// The home already runs the maximum number of steps of the group.
    TooManySteps,
}

/// Identifier of a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StepRequestId {
    /// Instance number of the forwarding process.
    pub instance: u64,
    /// Request number, unique within the process.
    pub number: u64,
}

/// Message between nodes about a step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StepMessage {
    /// Forwards a trainer's request to the home. Repeated until the home replies or the request
    /// expires.
    Request {
        /// Identifier of the forwarded request, which the reply echoes.
        id: StepRequestId,
        /// Request of the trainer.
        request: StepRequest,
    },
    /// Reply of the home to a forwarded request.
    Reply {
        /// Identifier of the request.
        id: StepRequestId,
        /// Reply to the trainer.
        reply: StepReply,
    },
    /// Replicates the specification of a step. Repeated until acknowledged.
    CopySpec {
        /// Specification of the step, which includes its identifier.
        spec: Arc<StepSpec>,
        /// Slots that the sender is generating.
        under_way: Vec<u32>,
    },
    /// Lists the slots that a former home is still generating. Repeated until it has finished.
    UnderWay {
        /// Step that the slots belong to.
        step: StepId,
        /// Slots that the sender is generating.
        slots: Vec<u32>,
    },
    /// Acknowledges [`StepMessage::CopySpec`].
    SpecCopied(StepId),
    /// Replicates finished samples. Repeated until acknowledged.
    CopyResults {
        /// Step that the samples belong to.
        step: StepId,
        /// Finished samples.
        samples: Vec<Arc<Sample>>,
    },
    /// Acknowledges [`StepMessage::CopyResults`].
    ResultsCopied {
        /// Step that the slots belong to.
        step: StepId,
        /// Slots whose results the sender has stored.
        slots: Vec<u32>,
    },
    /// The step was closed; the receiver deletes its replica.
    Drop {
        /// Step to delete.
        step: StepId,
        /// Node that closed it.
        by: NodeName,
    },
}
