//! Handles replicas that restart under the same id.
//!
//! A life is one incarnation of a replica, from its start to its end. Some state belongs to the
//! replica's id and survives a restart: the primary model, leases of orders and counted grants. All
//! other state belongs to one life: versions, order counts, paces, faults, loads, idle connections
//! and runs. It is discarded once a newer life is known, from the replica's entry in the view or
//! from its report, whichever arrives first.

use crate::action::Action;
use crate::dispatcher::Dispatcher;
use crate::replicas::{Replica, Replicas};
use brasspond_fleet::{FleetView, Identity, LifeChange};
use brasspond_units::Millis;
use std::sync::Arc;

impl Replica {
    /// Resets the state of the earlier life. The number of runs is kept, as those of the earlier
    /// life have not ended yet. The budget is kept, as requests granted to the earlier life may
    /// reach the new one.
    fn begin_life(&mut self) {
        self.endpoint.reset();
        self.event_ms = None;
        self.means = None;
        self.faults = 0;
        self.paused_until = 0;
        self.pace_valid_from = 0;
    }
}

impl Replicas {
    /// Treats a replica as warming up for the warm-up time of its service, after a report showed
    /// that it has restarted and before its entry does.
    pub fn assume_warming(&mut self, id: &str, view: &FleetView, now: Millis) {
        let unknown_until = self.unknown_until(now);
        let Some(replica) = self.by_id.get_mut(id) else {
            return;
        };
        let Some(warm_up) = view.warm_up_of(&replica.endpoint.service) else {
            return;
        };
        replica.endpoint.warming.observe(warm_up.time_ms, 0, now);
        replica.update_budget(view, unknown_until, now);
        self.index_budgets(now);
    }
}

impl Dispatcher {
    /// Checks the lives in the view's entries before a newer view is applied, and discards the
    /// state of earlier lives. Returns whether any replica has restarted.
    pub(crate) fn observe_entries(&mut self, now: Millis) -> bool {
        let entries = Arc::clone(&self.view.replicas);
        let lives = &mut self.replicas.lives;
        lives.forget_gone(|id| entries.contains_key(id), now);
        let mut restarted = Vec::new();
        for (id, info) in entries.iter() {
            let change = lives.observe_entry(id, info.life, info.revision, now);
            if matches!(change, LifeChange::Restarted { .. }) {
                restarted.push(id);
            }
        }
        for id in &restarted {
            self.begin_life(id, now);
        }
        !restarted.is_empty()
    }

    /// Checks the lives in the known entries again, as a lower life is accepted after
    /// [`brasspond_fleet::LOWER_LIFE_ACCEPTED_AFTER_MS`] even if no entry changes meanwhile.
    pub(crate) fn recheck_lives(&mut self, now: Millis) {
        if self.replicas.lives.is_uncertain() && self.observe_entries(now) {
            self.replicas.apply_view(&self.view, now);
            self.placement.clear();
        }
    }

    /// Whether this identity is that of a replica's known life. Orders to other lives are invalid.
    pub fn is_known_life(&self, replica: &Identity) -> bool {
        self.replicas.lives.is_known_life(replica)
    }

    /// Discards the state of a replica's earlier life and hands over its runs.
    pub(crate) fn begin_life(&mut self, id: &str, now: Millis) {
        self.orders.begin_life(id, now);
        for edge in self.edges.values_mut() {
            edge.idle_connections.remove(id);
        }
        if let Some(replica) = self.replicas.by_id.get_mut(id) {
            replica.begin_life();
            let address = replica.endpoint.address;
            let replica = self.replicas.lives.identity(id);
            self.actions
                .push(Action::ReplicaRestarted { replica, address });
        }
        self.placement.mark_changed(id);
        self.move_from_earlier_lives(id, now);
    }

    /// Hands over runs of earlier lives. Their streams are broken or silent, and a silent one would
    /// otherwise be detected only by `timeouts::is_stalled`.
    fn move_from_earlier_lives(&mut self, id: &str, now: Millis) {
        let life = self.replicas.lives.of(id);
        let moving = self
            .runs
            .ids_where(|run| run.replica == id && run.life != life && !run.cancelled);
        self.hand_over_all(moving, "replica_reborn", now);
    }
}
