//! Replicas that start again under their id.
//!
//! What is known of a replica is of its id (which model it serves first, leases of orders,
//! grants that count) or of one life of it (versions, counts of orders, paces, faults, loads,
//! connections at rest, runs). The latter is void as soon as a newer life is heard of, from
//! its entry or its report, whichever comes first.

use crate::dispatcher::{Action, Dispatcher};
use crate::replicas::{Replica, Replicas};
use brasspond_cluster_protocol::AttemptId;
use brasspond_fleet::{FleetView, Identity, LifeChange};
use brasspond_units::Millis;
use std::sync::Arc;

impl Replica {
    /// Forgets what the life before held and did. Kept are its places that are taken, until
    /// the runs there have ended, and its budget: requests that were granted to the life
    /// before may reach this one.
    fn begin_life(&mut self) {
        self.standing.begin_life();
        self.event_ms = None;
        self.means = None;
        self.faults = 0;
        self.paused_until = 0;
        self.paced_from = 0;
    }
}

impl Replicas {
    /// A replica started again, and no entry of its new life is known yet: it warms up for as
    /// long as any of its service does, until one tells.
    pub fn assume_warming(&mut self, id: &str, view: &FleetView, now: Millis) {
        let unknown_until = self.unknown_until(now);
        let Some(replica) = self.by_id.get_mut(id) else {
            return;
        };
        let Some(warm_up) = view.warm_up_of(&replica.standing.service) else {
            return;
        };
        replica.standing.warming.observe(warm_up.time_ms, 0, now);
        replica.renew_budget(view, unknown_until, now);
        self.note_budgets(now);
    }
}

impl Dispatcher {
    /// Hears the lives that entries tell, before anything else of a newer view is taken.
    /// True: a replica started again.
    pub(crate) fn hear_entries(&mut self, now: Millis) -> bool {
        let entries = Arc::clone(&self.view.replicas);
        let lives = &mut self.replicas.lives;
        lives.forget_gone(|id| entries.contains_key(id), now);
        let mut reborn = Vec::new();
        for (id, info) in entries.iter() {
            let heard = lives.hear_entry(id, info.life, info.revision, now);
            if matches!(heard, LifeChange::Reborn { .. }) {
                reborn.push(id);
            }
        }
        for id in &reborn {
            self.begin_life(id, now);
        }
        !reborn.is_empty()
    }

    /// A lower life counts after [`brasspond_fleet::SET_BACK_MS`] also where no entry changes
    /// meanwhile.
    pub(crate) fn settle_lives(&mut self, now: Millis) {
        if self.replicas.lives.is_uncertain() && self.hear_entries(now) {
            self.replicas.take_view(&self.view, now);
            self.placement.forget();
        }
    }

    /// Whether an order to a replica is still to the life that is known.
    pub fn is_present(&self, replica: &Identity) -> bool {
        self.replicas.lives.is_present(replica)
    }

    /// A replica started again: what was of its life before is void.
    pub(crate) fn begin_life(&mut self, id: &str, now: Millis) {
        self.orders.begin_life(id, now);
        for edge in self.edges.values_mut() {
            edge.resting.remove(id);
        }
        if let Some(replica) = self.replicas.by_id.get_mut(id) {
            replica.begin_life();
            let address = replica.standing.address;
            let replica = self.replicas.lives.identity(id);
            self.actions.push(Action::Reborn { replica, address });
        }
        self.placement.freed(id);
        self.move_from_earlier_lives(id, now);
    }

    /// Runs of lives before go on elsewhere: their streams are dead, or silent for good, and
    /// it takes half a second of silence to see that (`Settings::stall_ms`).
    fn move_from_earlier_lives(&mut self, id: &str, now: Millis) {
        let life = self.replicas.lives.of(id);
        let there = self.runs.by_id.iter();
        let there =
            there.filter(|(_, run)| run.replica == id && run.life != life && !run.cancelled);
        let moving: Vec<AttemptId> = there.map(|(attempt, _)| *attempt).collect();
        for attempt in moving {
            self.hand_over(attempt, "replica_reborn", now);
        }
    }
}
