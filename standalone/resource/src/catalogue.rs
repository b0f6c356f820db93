//! The complete configuration at one revision, with typed look-ups.

use crate::object::{Kind, Object, ObjectKey, Revision};
use crate::spec::{
    CallerSpec, ClaimShardsSpec, EnginePoolSpec, MachineSpec, ModelSpec, ResearchGroupSpec,
    ServiceSpec, Spec,
};
use brasspond_types::{GroupName, ModelName, WeightVersion, stable_hash};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// All objects at one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// Highest revision among the applied changes.
    pub revision: Revision,
    objects: BTreeMap<ObjectKey, Object>,
}

macro_rules! typed_lookup {
    ($(#[$documentation:meta])* $method:ident, $variant:ident, $spec:ty) => {
        $(#[$documentation])*
        pub fn $method(&self, name: &str) -> Option<&$spec> {
            let key = ObjectKey { kind: Kind::$variant, name: name.to_owned() };
            match &self.objects.get(&key)?.spec {
                Spec::$variant(spec) => Some(spec),
                _ => None,
            }
        }
    };
}

impl Catalogue {
    /// Inserts or replaces an object. Advances the revision to the object's version if that is
    /// higher.
    pub fn put(&mut self, object: Object) {
        self.revision = self.revision.max(object.metadata.resource_version);
        self.objects.insert(object.key(), object);
    }

    /// Removes an object. The caller updates the revision.
    pub fn remove(&mut self, key: &ObjectKey) {
        self.objects.remove(key);
    }

    /// Returns the object with this key.
    pub fn get(&self, key: &ObjectKey) -> Option<&Object> {
        self.objects.get(key)
    }

    /// Iterates over all objects in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &Object> {
        self.objects.values()
    }

    /// Iterates over all objects of one kind.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &Object> {
        self.objects
            .iter()
            .filter(move |(key, _)| key.kind == kind)
            .map(|(_, object)| object)
    }

    typed_lookup!(
        /// Returns the research group with this name.
        group, ResearchGroup, ResearchGroupSpec
    );
    typed_lookup!(
        /// Returns the model with this name.
        model, Model, ModelSpec
    );
    typed_lookup!(
        /// Returns the engine pool with this name.
        engine_pool, EnginePool, EnginePoolSpec
    );
    typed_lookup!(
        /// Returns the service with this name.
        service, Service, ServiceSpec
    );
    typed_lookup!(
        /// Returns the caller with this name.
        caller, Caller, CallerSpec
    );
    typed_lookup!(
        /// Returns the machine with this name.
        machine, Machine, MachineSpec
    );
    typed_lookup!(
        /// Returns the voters on idempotency keys that the object with this name lists.
        claim_shards, ClaimShards, ClaimShardsSpec
    );

    /// Iterates over all machines with their names.
    pub fn machines(&self) -> impl Iterator<Item = (&str, &MachineSpec)> {
        self.of_kind(Kind::Machine)
            .filter_map(|object| match &object.spec {
                Spec::Machine(spec) => Some((object.metadata.name.as_str(), spec)),
                _ => None,
            })
    }

    /// Returns the fair-sharing weight of each group.
    pub fn shares(&self) -> BTreeMap<GroupName, f64> {
        let groups = self.of_kind(Kind::ResearchGroup);
        let shares = groups.filter_map(|object| match &object.spec {
            Spec::ResearchGroup(spec) => Some((GroupName::new(&object.metadata.name), spec.share)),
            _ => None,
        });
        shares.collect()
    }

    /// Returns the newest published version of each model.
    pub fn newest_versions(&self) -> BTreeMap<ModelName, WeightVersion> {
        let mut newest = BTreeMap::new();
        for object in self.of_kind(Kind::WeightVersion) {
            if let Spec::WeightVersion(spec) = &object.spec {
                let entry = newest.entry(spec.model.clone()).or_insert(spec.version);
                *entry = spec.version.max(*entry);
            }
        }
        newest
    }

    /// Returns a digest of all objects, without the revision. Catalogues at equal revisions must
    /// have equal digests.
    pub fn digest(&self) -> u64 {
        let bytes = serde_json::to_vec(&self.objects.values().collect::<Vec<_>>());
        stable_hash(&[&bytes.unwrap_or_default()])
    }
}
