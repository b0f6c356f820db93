//! Deltas between two views. The size of a delta depends on the size of the change and not on the
//! size of the fleet.

use crate::configuration::Configuration;
use crate::view::{FleetView, ReplicaInfo, Retirement, replace_older};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Changes from an older to a newer view. Applied to a view whose replicas have revision `base`, a
/// delta yields the newer view. It cannot be applied to a view with a revision between the two,
/// because that view may contain a replica that was added and removed again since `base`, which the
/// delta does not contain.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ViewDelta {
    /// Revision of the replicas in the older view.
    pub base: u64,
    /// The configuration with its revision, if it changed.
    pub configuration: Option<(u64, Arc<Configuration>)>,
    /// Replicas that were added or changed.
    pub changed: Vec<Arc<ReplicaInfo>>,
    /// Ids of replicas that were removed.
    pub gone: Vec<Arc<str>>,
    /// Revision of the replicas in the newer view.
    pub replicas_revision: u64,
    /// Versions of the weights with their revision, if they changed.
    pub versions: Option<(u64, Arc<BTreeMap<String, u64>>)>,
    /// Retirements with their revision, if they changed.
    pub retirements: Option<(u64, Arc<BTreeMap<String, Retirement>>)>,
    /// Evacuated zones with their revision, if the revision is higher in the newer view.
    pub evacuated: Option<(u64, Arc<BTreeSet<Arc<str>>>)>,
}

/// Error: the view does not have the base revision of the delta, so a complete view is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BaseMismatch;

impl FleetView {
    /// Computes the changes since `older`.
    pub fn delta_from(&self, older: &Self) -> ViewDelta {
        let mut delta = ViewDelta {
            base: older.replicas_revision,
            replicas_revision: self.replicas_revision,
            ..ViewDelta::default()
        };
        if self.configuration_revision > older.configuration_revision {
            let configuration = self.configuration.clone();
            delta.configuration = configuration.map(|one| (self.configuration_revision, one));
        }
        if self.versions != older.versions {
            delta.versions = Some((self.versions_revision, Arc::clone(&self.versions)));
        }
        if self.retirements != older.retirements {
            delta.retirements = Some((self.retirements_revision, Arc::clone(&self.retirements)));
        }
        // Included even if the zones are equal. The receiver may know of an evacuation that began
        // and ended after `older`, and must be informed of its end.
        if self.evacuated_revision > older.evacuated_revision {
            delta.evacuated = Some((self.evacuated_revision, Arc::clone(&self.evacuated)));
        }
        if !Arc::ptr_eq(&self.replicas, &older.replicas) {
            let changed = self.replicas.iter();
            let changed = changed.filter(|(id, replica)| older.replicas.get(*id) != Some(*replica));
            delta.changed = changed.map(|(_, replica)| Arc::clone(replica)).collect();
            let gone = older.replicas.keys();
            let gone = gone.filter(|id| !self.replicas.contains_key(*id));
            delta.gone = gone.cloned().collect();
        }
        delta
    }

    /// Whether both views contain the same replicas, with equal values in the fields that edges act
    /// on.
    fn has_same_routing_state(&self, other: &Self) -> bool {
        if Arc::ptr_eq(&self.replicas, &other.replicas) {
            return true;
        }
        let mut pairs = self.replicas.iter().zip(other.replicas.iter());
        self.replicas.len() == other.replicas.len()
            && pairs.all(|((one_id, one), (other_id, other))| {
                Arc::ptr_eq(one, other) || one_id == other_id && one.has_same_routing_state(other)
            })
    }

    /// Whether nothing that edges act on has changed since `older`. Versions and retirements are
    /// not compared, because only the leader acts on them.
    pub fn is_same_for_edges(&self, older: &Self) -> bool {
        self.configuration_revision == older.configuration_revision
            && self.has_same_evacuations(older)
            && self.has_same_routing_state(older)
    }

    /// Whether both views contain the same evacuated zones, or both do not know them.
    pub fn has_same_evacuations(&self, other: &Self) -> bool {
        let is_known = self.evacuated_revision > 0;
        is_known == (other.evacuated_revision > 0) && self.evacuated == other.evacuated
    }

    /// Whether any part has a higher revision than in `other` and a different content. Revisions
    /// may rise without a change, except that of the configuration, whose content is not compared.
    /// Replicas are compared by the fields that edges act on, so a change of the versions that they
    /// serve does not count.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        let replicas =
            self.replicas_revision > other.replicas_revision && !self.has_same_routing_state(other);
        let versions =
            self.versions_revision > other.versions_revision && self.versions != other.versions;
        let retirements = self.retirements_revision > other.retirements_revision
            && self.retirements != other.retirements;
        let configuration = self.configuration_revision > other.configuration_revision;
        let evacuated =
            self.evacuated_revision > other.evacuated_revision && !self.has_same_evacuations(other);
        configuration || replicas || versions || retirements || evacuated
    }

    /// Applies a delta. Returns whether anything changed.
    ///
    /// # Errors
    /// The revision of the replicas in this view is neither the base revision of the delta, nor the
    /// revision of the newer view or a higher one. The view is then unchanged.
    pub fn apply(&mut self, delta: &ViewDelta) -> Result<bool, BaseMismatch> {
        let is_up_to_date = self.replicas_revision >= delta.replicas_revision;
        if self.replicas_revision != delta.base && !is_up_to_date {
            return Err(BaseMismatch);
        }
        let mut changed = self.apply_parts(delta);
        if delta.replicas_revision > self.replicas_revision {
            self.replicas_revision = delta.replicas_revision;
            changed = true;
            if !delta.changed.is_empty() || !delta.gone.is_empty() {
                // Copies the map only if it is shared, because it may have thousands of entries.
                let replicas = Arc::make_mut(&mut self.replicas);
                for id in &delta.gone {
                    replicas.remove(id);
                }
                for replica in &delta.changed {
                    replicas.insert(Arc::clone(&replica.id), Arc::clone(replica));
                }
            }
        }
        Ok(changed)
    }

    /// Whether a delta changes this view exactly in the replicas that it contains, apart from
    /// versions and retirements. Other changes may affect any replica.
    pub fn differs_in_replicas_only(&self, delta: &ViewDelta) -> bool {
        self.replicas_revision == delta.base
            && delta.configuration.is_none()
            && delta.evacuated.is_none()
    }

    /// Applies a delta of another process's view, or merges `known`, which is that view with the
    /// delta applied, if the base revision differs. Returns whether anything changed. The merge
    /// spares a new leader with an old view from sending complete views to all edges.
    ///
    /// # Errors
    /// The base revision differs, and `known` is missing or older than the newer view of the delta.
    pub fn apply_or_merge(
        &mut self,
        delta: &ViewDelta,
        known: Option<&Self>,
    ) -> Result<bool, BaseMismatch> {
        let applied = self.apply(delta);
        let known = known.filter(|known| known.replicas_revision >= delta.replicas_revision);
        match (applied, known) {
            (Err(BaseMismatch), Some(known)) => Ok(self.merge(known)),
            (applied, _) => applied,
        }
    }

    /// Replaces the parts of which the delta contains complete copies with higher revisions.
    pub(crate) fn apply_parts(&mut self, delta: &ViewDelta) -> bool {
        let mut changed = false;
        if let Some((revision, configuration)) = &delta.configuration {
            changed |= replace_older(
                (&mut self.configuration, &mut self.configuration_revision),
                (&Some(Arc::clone(configuration)), *revision),
            );
        }
        if let Some((revision, versions)) = &delta.versions {
            changed |= replace_older(
                (&mut self.versions, &mut self.versions_revision),
                (versions, *revision),
            );
        }
        if let Some((revision, retirements)) = &delta.retirements {
            changed |= replace_older(
                (&mut self.retirements, &mut self.retirements_revision),
                (retirements, *revision),
            );
        }
        if let Some((revision, evacuated)) = &delta.evacuated {
            changed |= replace_older(
                (&mut self.evacuated, &mut self.evacuated_revision),
                (evacuated, *revision),
            );
        }
        changed
    }
}
