//! Views that the leader receives, and checks that its actions respect them.

use super::{
    EDGES, INSIDE_REGION, MAX_LAG_MS, Mutation, REPLICAS, SLOTS, STEP_MS, Simulation,
    VIEW_DELAY_MS, region_of, zone_of,
};
use crate::support;
use brasspond_fleet::{Regions, replicas_by_id};
use std::collections::BTreeMap;
use std::sync::Arc;

impl Simulation {
    /// Schedules a view that shows the current state.
    pub(super) fn schedule_view(&mut self) {
        self.view_due_at.get_or_insert(self.now + VIEW_DELAY_MS);
    }

    /// Updates the view to the current state.
    pub(super) fn refresh_view(&mut self) {
        let replicas = self.replicas.iter().map(|replica| {
            let mut info = support::replica(replica.number, SLOTS as u32);
            info.id = replica.id.as_str().into();
            info.draining = replica.draining;
            info.zone = zone_of(replica.number);
            info.region = Some(region_of(replica.number, REPLICAS).into());
            info.models.set("model", replica.version);
            info.warming_ms = replica.warming_until.saturating_sub(self.now);
            info.life = self.life_of(replica);
            info.revision = replica.life_count;
            let before = self.view.replicas.get(&info.id);
            let before = before.filter(|_| self.now < replica.entry_written_at);
            before.map_or(info, |before| (**before).clone())
        });
        self.view.replicas = replicas_by_id(replicas);
        for replica in &mut self.replicas {
            // Requests sent before the view shows the warm-up arrive within the maximum delay.
            let known_at = self.now + MAX_LAG_MS + 2 * STEP_MS;
            let is_entry_written = self.now >= replica.entry_written_at;
            replica.is_entry_current |= is_entry_written;
            if replica.is_warming(self.now) && replica.limited_from == u64::MAX && is_entry_written
            {
                replica.limited_from = known_at;
            }
        }
        let unwritten = self.replicas.iter().map(|replica| replica.entry_written_at);
        let unwritten = unwritten.filter(|at| *at > self.now).min();
        if let Some(at) = unwritten {
            self.view_due_at = Some(self.view_due_at.map_or(at, |known| known.min(at)));
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
        self.is_leader_informed = self.dispatcher.is_some();
        self.update_regions();
    }

    /// Checks that nothing is sent to a replica in an evacuated zone, or to any replica before the
    /// leader received the evacuated zones.
    pub(super) fn check_evacuated(&self, id: &str) {
        if !self.view.must_know_evacuations {
            return;
        }
        assert!(
            self.is_leader_informed,
            "{id} is sent work by a leader that does not know the evacuated zones"
        );
        let found = self.replicas.iter().find(|replica| replica.id == id);
        let zone = found.map(|replica| zone_of(replica.number));
        let is_evacuated = zone.is_some_and(|zone| self.known_evacuated.contains(&zone));
        assert!(
            !is_evacuated,
            "{id} is sent work although its zone is evacuated"
        );
    }

    pub(super) fn update_regions(&mut self) {
        let regions = if self.is_region_bound {
            Regions::only([INSIDE_REGION])
        } else {
            Regions::Any
        };
        let configuration =
            Arc::make_mut(self.view.configuration.as_mut().expect("a configuration"));
        if configuration.routes[0].regions != regions {
            configuration.routes[0].regions = regions;
            self.view.configuration_revision += 1;
        }
    }

    /// Checks that an edge that receives a job's body is in the job's regions.
    pub(super) fn check_edge(&self, machine: &str, job: &str) {
        let number = self.edges.iter().position(|edge| edge.machine == machine);
        let region = number.map(|number| region_of(number, EDGES));
        assert!(
            self.regions().allows(region),
            "a body of {job} goes to {machine} outside its regions"
        );
    }

    /// Checks that a replica that receives a job's item is in the job's regions.
    pub(super) fn check_replica(&self, replica: &str, job: &str) {
        let known = self.replicas.iter().find(|known| known.id == replica);
        let region = known.map(|known| region_of(known.number, REPLICAS));
        let is_gone = known.is_none();
        assert!(
            is_gone || self.regions().allows(region),
            "an item of {job} goes to {replica} outside its regions"
        );
    }

    /// Returns the regions to which jobs are bound.
    pub(super) fn regions(&self) -> &Regions {
        let configuration = self.view.configuration.as_ref().expect("a configuration");
        &configuration.routes[0].regions
    }
}
