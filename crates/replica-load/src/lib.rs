//! Sharing of the load and speed of replicas between edges, by way of the leader.
//!
//! ```text
//! edge: ObservationRecorder ──ReplicaObservation──▶ leader: LoadBoard ──ReplicaLoad──▶ all edges
//! ```
//!
//! An edge of a large deployment sends few requests to each replica, so it would need long to find
//! out by itself which replicas are slow or fail. The leader merges what all edges observed and
//! sends them only the replicas that deviate from their service. Everything is in memory and
//! expires after a few seconds; a new leader starts empty.
//!
//! Nothing here does I/O: `(state, event, now) -> result`.
#![forbid(unsafe_code)]

mod board;
mod merged;
mod observation;

pub use board::{BoardChange, LoadBoard};
pub use observation::{ObservationRecorder, ReplicaLoad, ReplicaObservation};

/// Maximum number of replicas in one message, in either direction. With about 25 bytes for each,
/// a message every 500 ms takes at most 3.2 KB/s.
pub const MAX_ENTRIES: usize = 64;
