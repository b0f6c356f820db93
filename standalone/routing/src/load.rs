//! Load and speed of engines, and the load of a pool of engines.

use serde::{Deserialize, Serialize};

/// Load of an engine and its queue, as its owner reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Number of requests that are admitted to the engine.
    pub running: u32,
    /// Maximum number of requests that the engine may run concurrently.
    pub limit: u32,
    /// Number of requests in the owner's queue.
    pub queued: u32,
    /// Expected tokens of the queued and running requests.
    pub pending_tokens: f32,
}

/// Speed of an engine, for the cost formula.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedEstimate {
    /// Base time of a decoding step, in microseconds.
    pub step_base: f64,
    /// Additional time of a decoding step per sequence in the batch, in microseconds.
    pub step_per_sequence: f64,
    /// Time to prefill one token, in microseconds.
    pub prefill_per_token: f64,
}

impl Default for SpeedEstimate {
    fn default() -> Self {
        Self {
            step_base: 8_000.0,
            step_per_sequence: 60.0,
            prefill_per_token: 40.0,
        }
    }
}

/// Total load of several engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// Number of engines.
    pub engines: u32,
    /// Number of requests that are admitted to them.
    pub running: u32,
    /// Maximum number of requests that they may run concurrently.
    pub limit: u32,
    /// Number of requests in their queues.
    pub queued: u32,
    /// Expected tokens of the queued and running requests.
    pub pending_tokens: f32,
}

impl PoolLoad {
    /// Adds the load of one engine.
    pub fn add(&mut self, load: &EngineLoad) {
        self.engines += 1;
        self.running += load.running;
        self.limit += load.limit;
        self.queued += load.queued;
        self.pending_tokens += load.pending_tokens;
    }

    /// Adds the load of another pool.
    pub fn merge(&mut self, other: &Self) {
        self.engines += other.engines;
        self.running += other.running;
        self.limit += other.limit;
        self.queued += other.queued;
        self.pending_tokens += other.pending_tokens;
    }

    /// Mean load per engine.
    pub(crate) fn mean(&self) -> MeanLoad {
        let engines = f64::from(self.engines.max(1));
        MeanLoad {
            running: f64::from(self.running) / engines,
            limit: (f64::from(self.limit) / engines).max(1.0),
            queued: f64::from(self.queued) / engines,
            pending_tokens: f64::from(self.pending_tokens) / engines,
        }
    }
}

/// Mean load per engine of a pool; the estimate for an engine without a recent report.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MeanLoad {
    pub(crate) pending_tokens: f64,
    pub(crate) running: f64,
    pub(crate) queued: f64,
    pub(crate) limit: f64,
}
