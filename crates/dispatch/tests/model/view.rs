//! The view that the leader receives, and that its orders respect what it knows.

use super::{
    EDGES, INSIDE, LONGEST_LAG, Mutation, REPLICAS, SLOTS, STEP_MS, VIEW_LAG, World, region_of,
    zone_of,
};
use crate::support;
use brasspond_fleet::Regions;
use std::collections::BTreeMap;
use std::sync::Arc;

impl World {
    pub(super) fn view_changed(&mut self) {
        self.view_at.get_or_insert(self.now + VIEW_LAG);
    }

    /// The view as the platform has it now.
    pub(super) fn renew_view(&mut self) {
        let replicas = self.replicas.iter().map(|replica| {
            let mut info = support::replica(replica.number, SLOTS as u32);
            info.id.clone_from(&replica.id);
            info.draining = replica.draining;
            info.zone = zone_of(replica.number).to_string();
            info.region = Some(region_of(replica.number, REPLICAS).into());
            info.models[0].version = replica.version;
            info.warming_ms = replica.warming_until.saturating_sub(self.now);
            info.life = self.life_of(replica);
            info.revision = replica.lives;
            let before = self.view.replicas.get(&info.id);
            let before = before.filter(|_| self.now < replica.entry_from);
            let info = before.cloned().unwrap_or(info);
            (info.id.clone(), info)
        });
        self.view.replicas = Arc::new(replicas.collect());
        for replica in &mut self.replicas {
            // Requests sent before the view had it arrive within the longest lag.
            let known_at = self.now + LONGEST_LAG + 2 * STEP_MS;
            let is_entry_written = self.now >= replica.entry_from;
            replica.is_life_known |= is_entry_written;
            if replica.is_warming(self.now) && replica.bounded_from == u64::MAX && is_entry_written
            {
                replica.bounded_from = known_at;
            }
        }
        let unwritten = self.replicas.iter().map(|one| one.entry_from);
        let unwritten = unwritten.filter(|at| *at > self.now).min();
        if let Some(at) = unwritten {
            self.view_at = Some(self.view_at.map_or(at, |known| known.min(at)));
        }
        self.view.replicas_revision += 1;
        let versions = BTreeMap::from([("model".to_string(), self.version)]);
        self.view.versions = Arc::new(versions);
        self.view.versions_revision += 1;
        if self.mutation != Some(Mutation::EvacuationNotSent) {
            self.view.evacuated = Arc::new(self.evacuated.clone());
        }
        self.view.evacuated_revision += 1;
        self.known_evacuated = self.evacuated.clone();
        self.leader_knows = self.dispatcher.is_some();
        self.renew_regions();
    }

    /// Nothing goes to a replica whose zone the leader knows as evacuated, nor anywhere
    /// before it knows.
    pub(super) fn check_evacuated(&self, replica: &str) {
        if !self.view.needs_evacuated {
            return;
        }
        assert!(
            self.leader_knows,
            "{replica} is sent work by a leader that knows nothing"
        );
        let there = self.replicas.iter().find(|one| one.id == replica);
        let zone = there.map(|one| zone_of(one.number));
        let is_out = zone.is_some_and(|zone| self.known_evacuated.contains(&zone));
        assert!(
            !is_out,
            "{replica} is sent work though its zone is evacuated"
        );
    }

    pub(super) fn renew_regions(&mut self) {
        let regions = if self.is_bound {
            Regions::only([INSIDE])
        } else {
            Regions::Any
        };
        let configuration = Arc::make_mut(self.view.configuration.as_mut().expect("one"));
        if configuration.routes[0].regions != regions {
            configuration.routes[0].regions = regions;
            self.view.configuration_revision += 1;
        }
    }

    /// A job's body goes to this edge, by order of a leader that knows this view.
    pub(super) fn check_edge(&self, machine: &str, job: &str) {
        let number = self.edges.iter().position(|edge| edge.machine == machine);
        let region = number.map(|number| region_of(number, EDGES));
        assert!(
            self.regions().allows(region),
            "a body of {job} goes to {machine} outside its regions"
        );
    }

    /// A job's item goes to this replica, by order of a leader that knows this view.
    pub(super) fn check_replica(&self, replica: &str, job: &str) {
        let known = self.replicas.iter().find(|known| known.id == replica);
        let region = known.map(|known| region_of(known.number, REPLICAS));
        let is_gone = known.is_none();
        assert!(
            is_gone || self.regions().allows(region),
            "an item of {job} goes to {replica} outside its regions"
        );
    }

    pub(super) fn regions(&self) -> &Regions {
        let configuration = self.view.configuration.as_ref().expect("one");
        &configuration.routes[0].regions
    }
}
