//! Catching up with another process's view from a similar one.
//!
//! A new leader knows an older view, from the log, and a current one. Edges have views between the
//! two, whose exact revisions differ from edge to edge. One delta between the leader's views serves
//! all of them: an edge applies it to its own view, and compares a digest with the leader's. Views
//! of 10,000 replicas for 835 edges take 0.2 GB and occupied the leader's link for longer than an
//! election timeout; deltas of a few seconds take some KB each.

use crate::delta::{BaseMismatch, ViewDelta};
use crate::view::{FleetView, Replicas};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Changes that lead from any view since an older one to the current one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CatchUp {
    /// Changes of replicas since the older view, and all other parts of the current one.
    pub delta: ViewDelta,
    /// Digest of the replicas in the current view.
    pub digest: u64,
}

/// Digest of the ids and revisions of replicas, which is independent of their order.
fn digest(replicas: &Replicas) -> u64 {
    let digests = replicas
        .values()
        .map(|replica| xxh3_64_with_seed(replica.id.as_bytes(), replica.revision));
    digests.fold(0, |all, one| all ^ one)
}

impl CatchUp {
    /// Computes the changes from any view since `older` to `current`.
    pub fn new(older: &FleetView, current: &FleetView) -> Self {
        let mut delta = current.delta_from(older);
        delta.configuration = current
            .configuration
            .clone()
            .map(|configuration| (current.configuration_revision, configuration));
        delta.versions = Some((current.versions_revision, Arc::clone(&current.versions)));
        delta.retirements = Some((
            current.retirements_revision,
            Arc::clone(&current.retirements),
        ));
        if current.evacuated_revision > 0 {
            delta.evacuated = Some((current.evacuated_revision, Arc::clone(&current.evacuated)));
        }
        Self {
            delta,
            digest: digest(&current.replicas),
        }
    }

    /// Returns a view with the evacuated zones of the current one and nothing else.
    pub fn evacuations_only(&self) -> FleetView {
        let mut view = FleetView::default();
        view.apply_parts(&self.delta);
        view.evacuations_only()
    }
}

impl FleetView {
    /// Merges the current view of another process, or its parts other than the replicas if this
    /// view cannot catch up with those. Returns whether any part was replaced.
    pub fn merge_catch_up(&mut self, catch_up: &CatchUp) -> bool {
        match self.catch_up(catch_up) {
            Ok(current) => self.merge(&current),
            Err(BaseMismatch) => self.apply_parts(&catch_up.delta),
        }
    }

    /// Returns the view that [`CatchUp::new`] was given as the current one.
    ///
    /// # Errors
    /// This view is older than the older one or newer than the current one, or contains a replica
    /// that was added and removed again in between.
    pub fn catch_up(&self, catch_up: &CatchUp) -> Result<Self, BaseMismatch> {
        let delta = &catch_up.delta;
        if !(delta.base..=delta.replicas_revision).contains(&self.replicas_revision) {
            return Err(BaseMismatch);
        }
        let mut replicas = Replicas::clone(&self.replicas);
        for id in &delta.gone {
            replicas.remove(id);
        }
        for replica in &delta.changed {
            let own = replicas.get(&replica.id);
            if own.is_none_or(|own| own.revision < replica.revision) {
                replicas.insert(Arc::clone(&replica.id), Arc::clone(replica));
            }
        }
        if digest(&replicas) != catch_up.digest {
            return Err(BaseMismatch);
        }
        let mut current = Self::unknown(self.must_know_evacuations);
        current.apply_parts(delta);
        current.replicas = Arc::new(replicas);
        current.replicas_revision = delta.replicas_revision;
        Ok(current)
    }
}
