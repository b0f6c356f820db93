//! Differences between two views, so that a change costs what it changes and
//! not what the fleet holds.

use crate::configuration::Configuration;
use crate::view::{FleetView, ReplicaInfo, Retirement};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What changed between two views. Applied to a view whose replicas are as of
/// `base`, it gives the newer view. (Not to one in between: a replica that came
/// and went since `base` stands in neither view.)
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ViewDelta {
    /// Revision of the replicas in the older view.
    pub base: u64,
    /// The configuration and its revision, if it changed.
    pub configuration: Option<(u64, Arc<Configuration>)>,
    /// Replicas that came or changed.
    pub changed: Vec<ReplicaInfo>,
    /// Identities of replicas that went.
    pub gone: Vec<String>,
    /// Revision of the replicas in the newer view.
    pub replicas_revision: u64,
    /// Versions and their revision, if they changed.
    pub versions: Option<(u64, Arc<BTreeMap<String, u64>>)>,
    /// Retirements and their revision, if they changed.
    pub retirements: Option<(u64, Arc<BTreeMap<String, Retirement>>)>,
    /// Evacuated zones and their revision, if that is higher.
    pub evacuated: Option<(u64, Arc<BTreeSet<Arc<str>>>)>,
}

/// The view is not the difference's base: it needs a whole view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OtherBase;

impl FleetView {
    /// What changed since `older`.
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
        // Also where the zones are the same: who saw a change in between, which was taken back
        // before this difference was made, would keep to it.
        if self.evacuated_revision > older.evacuated_revision {
            delta.evacuated = Some((self.evacuated_revision, Arc::clone(&self.evacuated)));
        }
        if !Arc::ptr_eq(&self.replicas, &older.replicas) {
            let changed = self.replicas.iter();
            let changed = changed.filter(|(id, replica)| older.replicas.get(*id) != Some(replica));
            delta.changed = changed.map(|(_, replica)| replica.clone()).collect();
            let gone = older.replicas.keys();
            let gone = gone.filter(|id| !self.replicas.contains_key(*id));
            delta.gone = gone.cloned().collect();
        }
        delta
    }

    /// Whether the replicas here and in `other` take work alike.
    fn takes_work_like(&self, other: &Self) -> bool {
        if Arc::ptr_eq(&self.replicas, &other.replicas) {
            return true;
        }
        let mut pairs = self.replicas.iter().zip(other.replicas.iter());
        self.replicas.len() == other.replicas.len()
            && pairs.all(|(one, other)| one.0 == other.0 && one.1.takes_work_like(other.1))
    }

    /// Whether nothing of `older` has changed that edges act on: versions are the
    /// leader's concern alone.
    pub fn is_alike_for_edges(&self, older: &Self) -> bool {
        self.configuration_revision == older.configuration_revision
            && self.evacuates_like(older)
            && self.takes_work_like(older)
    }

    /// Whether the same is known here and in `other` of evacuated zones.
    pub fn evacuates_like(&self, other: &Self) -> bool {
        let is_known = self.evacuated_revision > 0;
        is_known == (other.evacuated_revision > 0) && self.evacuated == other.evacuated
    }

    /// Whether anything here is newer than in `other` and says something else.
    /// Revisions alone rise without a change, and which weights replicas hold their
    /// loader knows.
    pub fn has_news_for(&self, other: &Self) -> bool {
        let replicas =
            self.replicas_revision > other.replicas_revision && !self.takes_work_like(other);
        let versions =
            self.versions_revision > other.versions_revision && self.versions != other.versions;
        let retirements = self.retirements_revision > other.retirements_revision
            && self.retirements != other.retirements;
        let configuration = self.configuration_revision > other.configuration_revision;
        let evacuated =
            self.evacuated_revision > other.evacuated_revision && !self.evacuates_like(other);
        configuration || replicas || versions || retirements || evacuated
    }

    /// Takes a difference; returns whether anything changed.
    ///
    /// # Errors
    /// [`OtherBase`]: the replicas known here are others than the difference
    /// begins with, and older than those it ends with.
    pub fn apply(&mut self, delta: &ViewDelta) -> Result<bool, OtherBase> {
        let is_newer = self.replicas_revision >= delta.replicas_revision;
        if self.replicas_revision != delta.base && !is_newer {
            return Err(OtherBase);
        }
        let mut changed = self.apply_parts(delta);
        if delta.replicas_revision > self.replicas_revision {
            self.replicas_revision = delta.replicas_revision;
            changed = true;
            if !delta.changed.is_empty() || !delta.gone.is_empty() {
                // In place where nobody else holds this map: it may hold thousands.
                let replicas = Arc::make_mut(&mut self.replicas);
                for id in &delta.gone {
                    replicas.remove(id);
                }
                for replica in &delta.changed {
                    replicas.insert(replica.id.clone(), replica.clone());
                }
            }
        }
        Ok(changed)
    }

    /// Takes a difference of what another process tells; `told` is all that it told, this
    /// difference included. Returns whether anything changed.
    ///
    /// Who knows more than a new leader, whose first view is an old copy, is at neither end of
    /// the leader's next difference: it takes the newer view out of what it was told. Asking
    /// for a whole one instead made 250 edges be sent 100 MB at once (3,000 replicas, measured
    /// at the leader's links), 1.3 s of its link, and the next election fell due meanwhile.
    ///
    /// # Errors
    /// [`OtherBase`]: nor was a view told that the difference ends with.
    pub fn follow(&mut self, delta: &ViewDelta, told: Option<&Self>) -> Result<bool, OtherBase> {
        let applied = self.apply(delta);
        let told = told.filter(|told| told.replicas_revision >= delta.replicas_revision);
        match (applied, told) {
            (Err(OtherBase), Some(told)) => Ok(self.merge(told)),
            (applied, _) => applied,
        }
    }

    /// Takes the parts of a difference that come whole, those that are newer.
    fn apply_parts(&mut self, delta: &ViewDelta) -> bool {
        let mut changed = false;
        if let Some((revision, configuration)) = &delta.configuration
            && *revision > self.configuration_revision
        {
            self.configuration = Some(Arc::clone(configuration));
            self.configuration_revision = *revision;
            changed = true;
        }
        if let Some((revision, versions)) = &delta.versions
            && *revision > self.versions_revision
        {
            self.versions = Arc::clone(versions);
            self.versions_revision = *revision;
            changed = true;
        }
        if let Some((revision, retirements)) = &delta.retirements
            && *revision > self.retirements_revision
        {
            self.retirements = Arc::clone(retirements);
            self.retirements_revision = *revision;
            changed = true;
        }
        if let Some((revision, evacuated)) = &delta.evacuated
            && *revision > self.evacuated_revision
        {
            self.evacuated = Arc::clone(evacuated);
            self.evacuated_revision = *revision;
            changed = true;
        }
        changed
    }
}
