//! Exchange with the leader on the load and speed of replicas: reports what this edge observed, and
//! applies what the leader shares.

use super::process::Edge;
use crate::clock::Moment;
use brasspond_cluster_protocol::Message;
use brasspond_replica_load::ReplicaLoad;

/// Interval between reports of observations, in ms. Two reports per second keep the delay of a
/// shared fault at about a second and the load of the leader low.
const OBSERVATION_INTERVAL_MS: u64 = 500;

impl Edge {
    /// Applies the leader's list of deviating replicas.
    pub(super) fn apply_replica_loads(&self, loads: &[ReplicaLoad]) {
        let now = Moment::now();
        self.balancer.borrow_mut().apply_shared_loads(loads, now);
        self.update_known_loads(now);
    }

    /// Updates the typical response times of services and reports new observations to the leader,
    /// if due. Observations that the leader does not accept, or that are lost, are not repeated,
    /// since they would be old.
    pub(super) fn exchange_replica_loads(&self, now: u64) {
        if now < self.observations_reported_at.get() + OBSERVATION_INTERVAL_MS {
            return;
        }
        self.observations_reported_at.set(now);
        let now = Moment::now();
        let mut balancer = self.balancer.borrow_mut();
        balancer.update_typical_times(now);
        match self.storage.borrow().observations_writer() {
            Some(leader) => {
                let report = balancer.observations.take();
                if !report.is_empty() {
                    leader.send(&Message::ReplicaObservations(report));
                }
            }
            None => balancer.observations.clear(),
        }
        drop(balancer);
        self.update_known_loads(now);
    }

    fn update_known_loads(&self, now: Moment) {
        let known = self.balancer.borrow().shared_loads(now);
        self.metrics.known_replica_loads(known);
    }
}
