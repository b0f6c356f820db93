//! Load and speed of replicas at the leader: merges what edges observe, and sends them the replicas
//! that deviate from their service.
//!
//! The rules and the state are in `crates/replica-load`.

use super::process::Storage;
use crate::link::shared_frame;
use brasspond_cluster_protocol::{Message, MessageKind};
use brasspond_replica_load::{BoardChange, ReplicaObservation};
use brasspond_units::Millis;
use std::sync::Arc;

impl Storage {
    /// Merges an edge's report.
    pub(super) fn on_replica_observations(&mut self, edge: &str, report: &[ReplicaObservation]) {
        let now = self.clock.now();
        if let Some(leader_state) = &mut self.leader_state {
            let edge: Arc<str> = edge.into();
            leader_state.load_board.observe(&edge, report, now);
        }
    }

    /// Sends the list of deviating replicas, when it is due, to all edges that can read it, and at
    /// once to those that have not received it in this term.
    pub(super) fn share_replica_loads(&mut self, now: Millis) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let replicas = &self.view.replicas;
        let service_of = |replica: &str| replicas.get(replica).map(|info| &*info.service);
        let change = leader_state.load_board.tick(service_of, now);
        if let Some(change) = &change {
            log_change(change);
            let shared = leader_state.load_board.shared().len();
            self.metrics.shared_replica_loads(shared);
        }
        let mut frame = None;
        for state in self.links.announced_edges(leader_state.term) {
            let is_due = change.is_some() || !state.has_replica_loads;
            if !is_due || !state.reads_replica_loads() {
                continue;
            }
            let frame = frame.get_or_insert_with(|| {
                let loads = leader_state.load_board.shared().to_vec();
                shared_frame(&Message::ReplicaLoads(loads))
            });
            let is_sent = state
                .writer
                .send_frame(MessageKind::ReplicaLoads, frame.clone());
            state.has_replica_loads |= is_sent;
        }
    }
}

fn log_change(change: &BoardChange) {
    for load in &change.entered {
        log::info!(
            "event=replica_load_shared replica={} listed=true mean_ms={} failing={}",
            load.replica,
            load.mean_ms.unwrap_or(0),
            load.is_failing
        );
    }
    for replica in &change.left {
        log::info!("event=replica_load_shared replica={replica} listed=false");
    }
}
