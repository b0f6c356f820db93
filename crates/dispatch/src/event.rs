//! Events that the dispatcher handles.

use crate::orders::{OrderAnswer, ReplicaReport};
use brasspond_cluster_protocol::{AttemptId, Pace, RunEnd, RunReport, ScoringEnd, StreamEvent};
use brasspond_fleet::{FleetView, Identity};
use std::sync::Arc;

/// Events that the dispatcher handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A newer view of the fleet.
    View(FleetView),
    /// A job was accepted and is in the table.
    JobAccepted(String),
    /// The caller ended a job.
    JobEnded(String),
    /// A job was removed from the table.
    JobForgotten(String),
    /// A listing of an item was applied to the table. The table rejects the listing if its text
    /// does not continue the parts in the log.
    Listed {
        /// Id of the job.
        job: String,
        /// Index of the item.
        item: u32,
    },
    /// An edge registered and reported all its runs.
    EdgeUp {
        /// Name of its machine.
        machine: String,
        /// Its zone.
        zone: String,
        /// Region of its zone, if known.
        region: Option<Arc<str>>,
        /// Its runs.
        runs: Vec<RunReport>,
    },
    /// An edge accepts no new runs.
    EdgeDraining(String),
    /// An edge has failed.
    EdgeDown(String),
    /// An edge reported events of a run.
    Progress {
        /// Machine of the edge.
        machine: String,
        /// The run.
        attempt: AttemptId,
        /// Events not reported before.
        events: Vec<StreamEvent>,
        /// Pace of these events; `None` if there are too few to compute it.
        pace: Option<Pace>,
    },
    /// An edge reported the end of a run.
    RunEnded {
        /// Machine of the edge.
        machine: String,
        /// The run.
        attempt: AttemptId,
        /// Events not reported before.
        events: Vec<StreamEvent>,
        /// How it ended.
        end: RunEnd,
    },
    /// An edge reported the end of a scoring.
    Scored {
        /// Machine of the edge.
        machine: String,
        /// The run that generated the text, or the order to score it.
        attempt: AttemptId,
        /// How it ended.
        end: ScoringEnd,
    },
    /// Answer to [`Action::RequestReport`](crate::Action::RequestReport).
    Report {
        /// Id of the replica; the report names its life.
        replica: String,
        /// Its state; `None` if it did not answer.
        report: Option<ReplicaReport>,
    },
    /// Answer to [`Action::Order`](crate::Action::Order).
    OrderAnswered {
        /// The replica, in the life that received the order.
        replica: Identity,
        /// Its answer.
        answer: OrderAnswer,
    },
    /// The used-up budget of a replica that warms up allows another request.
    BudgetOpened,
    /// Periodic event, every 100 ms.
    Tick,
}
