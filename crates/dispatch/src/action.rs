//! Actions that the dispatcher asks its caller to take.

use brasspond_cluster_protocol::{AttemptId, RunSpec, ScoringSpec};
use brasspond_fleet::Identity;
use brasspond_jobs::{Draft, Listing, Piece, Score};
use std::net::SocketAddr;

/// Actions that the dispatcher asks its caller to take.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an edge an item to run.
    Run {
        /// Machine of the edge.
        machine: String,
        /// The item, its replica and the events generated so far.
        spec: Box<RunSpec>,
    },
    /// Tell an edge to stop a run.
    Cancel {
        /// Machine of the edge.
        machine: String,
        /// The run.
        attempt: AttemptId,
    },
    /// Tell an edge to forget a run or scoring, as no further reports on it are needed.
    Recorded {
        /// Machine of the edge.
        machine: String,
        /// The run or scoring.
        attempt: AttemptId,
    },
    /// Tell an edge to score a text that is in the log.
    Score {
        /// Machine of the edge.
        machine: String,
        /// The scoring call.
        spec: Box<ScoringSpec>,
    },
    /// Append to the log that an item has ended without a text.
    List(Listing),
    /// Append parts of an unfinished text to the log.
    Extend(Piece),
    /// Append a complete text to the log before it is scored.
    Keep(Draft),
    /// Append the complete text of an item that needs no score to the log as its result.
    Finish(Draft),
    /// Append the score of an item whose text is in the log.
    ListScored(Score),
    /// Close connections to the earlier life of a replica that restarted.
    ReplicaRestarted {
        /// The replica in its new life.
        replica: Identity,
        /// Address at which it listens.
        address: SocketAddr,
    },
    /// Ask a replica for its state.
    RequestReport {
        /// Id of the replica.
        replica: String,
        /// Address at which it listens.
        address: SocketAddr,
    },
    /// Order a replica to load a version.
    Order {
        /// The replica in its known life.
        replica: Identity,
        /// Address at which it listens.
        address: SocketAddr,
        /// The model.
        model: String,
        /// The version.
        version: u64,
        /// Number of orders that the replica must have accepted before; otherwise it rejects this
        /// one.
        expected_orders: u64,
        /// Whether the replica finishes its runs before it loads, as a single version must generate
        /// each text. Otherwise it pauses the runs and continues them with the new version.
        runs_finish: bool,
    },
}
