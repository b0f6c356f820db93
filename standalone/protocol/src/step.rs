//! Steps: between the node a trainer talks to, the step's home, and the nodes
//! that keep copies.

use brasspond_rollout::{StepSpec, StepSummary};
use brasspond_types::{NodeName, Sample, StepId, WeightVersion};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What a trainer wants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StepRequest {
    /// Open a step; opening it again with the same content changes nothing.
    Open {
        /// The step.
        spec: Arc<StepSpec>,
        /// Newest version the trainer has published.
        newest_version: WeightVersion,
    },
    /// Hand over finished samples.
    Fetch {
        /// The step.
        step: StepId,
        /// Text of the cursor; empty at the beginning.
        cursor: String,
        /// Newest version the trainer has published.
        newest_version: WeightVersion,
        /// Samples at most.
        count: u32,
        /// Time to wait for the first sample, in milliseconds.
        wait_milliseconds: u32,
    },
    /// Forget the step.
    Close(StepId),
}

impl StepRequest {
    /// Step the request is about.
    pub fn step(&self) -> &StepId {
        match self {
            Self::Open { spec, .. } => &spec.id,
            Self::Fetch { step, .. } | Self::Close(step) => step,
        }
    }
}

/// The home's answer to a trainer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StepReply {
    /// The step is open.
    Opened(StepSummary),
    /// Samples, perhaps none yet.
    Samples {
        /// The samples.
        samples: Vec<Arc<Sample>>,
        /// Cursor to name next time.
        cursor: String,
        /// Whether the cursor now holds all slots.
        complete: bool,
        /// Progress of the step.
        summary: StepSummary,
    },
    /// The step is closed.
    Closed,
    /// No such step is known: open it again.
    Unknown,
    /// The receiver is not the step's home.
    NotHome,
    /// The step is open with other content.
    Conflict,
    /// The cursor was not given out for this step.
    BadCursor,
    /// Too many steps are open.
    TooManySteps,
}

/// Identity of a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StepRequestId {
    /// Process that forwards.
    pub instance: u64,
    /// Number within the process.
    pub number: u64,
}

/// Messages about steps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StepMessage {
    /// A trainer's request, forwarded to the home; repeated until answered.
    Request {
        /// Echoed by the reply.
        id: StepRequestId,
        /// The request.
        request: StepRequest,
    },
    /// The home's reply.
    Reply {
        /// Identity of the request.
        id: StepRequestId,
        /// The reply.
        reply: StepReply,
    },
    /// Specification to keep a copy of; repeated until acknowledged.
    CopySpec {
        /// The specification.
        spec: Arc<StepSpec>,
        /// Slots the sender has under way.
        under_way: Vec<u32>,
    },
    /// A former home still has these slots under way; repeated while it has.
    UnderWay {
        /// The step.
        step: StepId,
        /// The slots.
        slots: Vec<u32>,
    },
    /// Answer to [`StepMessage::CopySpec`].
    SpecCopied(StepId),
    /// Results to keep copies of; repeated until acknowledged.
    CopyResults {
        /// The step.
        step: StepId,
        /// Finished samples.
        samples: Vec<Arc<Sample>>,
    },
    /// Answer to [`StepMessage::CopyResults`].
    ResultsCopied {
        /// The step.
        step: StepId,
        /// Slots now kept.
        slots: Vec<u32>,
    },
    /// The step was closed: drop the copy.
    Drop {
        /// The step.
        step: StepId,
        /// Node that closed it.
        by: NodeName,
    },
}
