//! Application of newer views to the replicas of the load balancer.
//!
//! A change of a few replicas is applied to these alone, because a pass over thousands of replicas
//! would hold up the requests of a small machine several times a second.

use super::LoadBalancer;
use crate::edge::replica_state::ReplicaState;
use brasspond_fleet::{FleetView, Identity, LifeChange, ReplicaInfo, ViewDelta};
use std::net::SocketAddr;
use std::sync::Arc;

/// Minimum time between two removals of the lives of removed replicas, in ms.
const LIVES_PRUNE_INTERVAL_MS: u64 = 10_000;

/// Replicas for which a newer view may differ from the one that was applied last.
#[derive(Clone, Copy, Debug)]
pub(in crate::edge) enum ChangedReplicas<'a> {
    /// Any of them.
    All,
    /// Those in the delta.
    Delta(&'a ViewDelta),
}

/// Result of applying a newer view.
#[derive(Debug)]
pub(in crate::edge) struct ViewChange {
    /// Number of ready replicas before the change.
    pub ready_before: usize,
    /// Replicas that restarted under the same id. The address is that of the previous life, or the
    /// new one if the replica was missing from the previous view.
    pub restarted: Vec<(Identity, SocketAddr)>,
}

impl LoadBalancer {
    /// Applies a newer view at `now`, in ms of the edge's clock. An entry from an earlier life of a
    /// replica updates only draining, warm-up, the evacuation of the zone, and whether the service
    /// is configured.
    pub fn apply_view(
        &mut self,
        view: &FleetView,
        changed: ChangedReplicas<'_>,
        now: u64,
    ) -> ViewChange {
        let mut change = ViewChange {
            ready_before: self.ready,
            restarted: Vec::new(),
        };
        match changed {
            ChangedReplicas::All => self.apply_all(view, &mut change, now),
            ChangedReplicas::Delta(delta) => self.apply_changed(view, delta, &mut change, now),
        }
        change
    }

    fn apply_all(&mut self, view: &FleetView, change: &mut ViewChange, now: u64) {
        self.prune_lives(view, now);
        self.replicas.retain(|id, _| view.replicas.contains_key(id));
        for info in view.replicas.values() {
            self.apply_entry(info, view, change, now);
        }
        let states = self.replicas.values();
        self.ready = states.filter(|state| state.endpoint.takes_work()).count();
    }

    fn apply_changed(
        &mut self,
        view: &FleetView,
        delta: &ViewDelta,
        change: &mut ViewChange,
        now: u64,
    ) {
        if now >= self.lives_pruned_at + LIVES_PRUNE_INTERVAL_MS {
            self.prune_lives(view, now);
        }
        for id in &delta.gone {
            self.lives.observe_removal(id, now);
            self.ready -= usize::from(self.is_ready(id));
            self.replicas.remove(id);
        }
        for info in &delta.changed {
            let before = self.is_ready(&info.id);
            self.apply_entry(info, view, change, now);
            let after = self.is_ready(&info.id);
            self.ready = self.ready + usize::from(after) - usize::from(before);
        }
    }

    fn is_ready(&self, id: &str) -> bool {
        let state = self.replicas.get(id);
        state.is_some_and(|state| state.endpoint.takes_work())
    }

    fn prune_lives(&mut self, view: &FleetView, now: u64) {
        self.lives_pruned_at = now;
        self.lives
            .forget_gone(|id| view.replicas.contains_key(id), now);
    }

    /// Applies the entry of one replica.
    fn apply_entry(
        &mut self,
        info: &ReplicaInfo,
        view: &FleetView,
        change: &mut ViewChange,
        now: u64,
    ) {
        let id = &info.id;
        let life_change = self.lives.observe_entry(id, info.life, info.revision, now);
        if life_change == LifeChange::Older {
            if let Some(state) = self.replicas.get_mut(id) {
                state.endpoint.update_restrictions(info, view, now);
            }
            return;
        }
        let links = &self.links;
        let state = self.replicas.entry(Arc::clone(id));
        let state = state.or_insert_with(|| ReplicaState::new(info, view, links, now));
        if matches!(life_change, LifeChange::Restarted { .. }) {
            let previous = state.endpoint.address;
            change.restarted.push((self.lives.identity(id), previous));
            state.reset(info, view, links, now);
        }
        state.endpoint.update(info, view, now);
        state.slots = info.slots;
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/view_changes.rs"]
mod tests;
