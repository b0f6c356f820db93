//! Settings of a node's control logic.

use brasspond_membership as membership;
use brasspond_routing::SpeedEstimate;
use brasspond_types::Mutations;
use std::time::Duration;

/// Settings of one node's control logic.
#[derive(Clone, Debug)]
pub struct Parameters {
    /// Timing of failure detection.
    pub membership: membership::Parameters,
    /// Speed of engines, for the cost formula.
    pub speed: SpeedEstimate,
    /// Time between two polls of an owned engine.
    pub poll_period: Duration,
    /// Age of an engine's report beyond which the engine gets no new work.
    pub report_age_limit: Duration,
    /// Age of an admission request beyond which its grant is not used and the request is sent
    /// again.
    pub grant_age_limit: Duration,
    /// Fraction of an engine's concurrency limit reserved for interactive requests.
    pub interactive_reserve: f64,
    /// Limit on the queued slots of a step, per configured engine.
    pub queued_per_engine: f64,
    /// Number of nodes that read the store.
    pub store_readers: usize,
    /// Number of engines that load a version from the weight store; all others
    /// load it from another engine.
    pub weight_roots: usize,
    /// Maximum number of engines that load a version from the same engine.
    pub weight_fanout: usize,
    /// Number of shards of idempotency keys.
    pub claim_shards: usize,
    /// Number of voters per shard.
    pub claim_voters: usize,
    /// Number of peers to which a change or a summary is pushed.
    pub gossip_fanout: usize,
    /// Deliberate faults for tests.
    pub mutations: Mutations,
}

impl Default for Parameters {
    fn default() -> Self {
        Self {
            membership: membership::Parameters::default(),
            speed: SpeedEstimate::default(),
            poll_period: Duration::from_millis(500),
            report_age_limit: Duration::from_millis(1_500),
            grant_age_limit: Duration::from_millis(800),
            interactive_reserve: 1.0 / 16.0,
            queued_per_engine: 4.0,
            store_readers: 5,
            weight_roots: 12,
            weight_fanout: 4,
            claim_shards: 16,
            claim_voters: 3,
            gossip_fanout: 3,
            mutations: Mutations::default(),
        }
    }
}
