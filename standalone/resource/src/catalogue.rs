//! The whole configuration at one revision, with the look-ups decisions need.

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
    /// Revision of the newest change contained.
    pub revision: Revision,
    objects: BTreeMap<ObjectKey, Object>,
}

macro_rules! typed_lookup {
    ($(#[$documentation:meta])* $one:ident, $variant:ident, $spec:ty) => {
        $(#[$documentation])*
        pub fn $one(&self, name: &str) -> Option<&$spec> {
            let key = ObjectKey { kind: Kind::$variant, name: name.to_owned() };
            match &self.objects.get(&key)?.spec {
                Spec::$variant(spec) => Some(spec),
                _ => None,
            }
        }
    };
}

impl Catalogue {
    /// Enters or replaces an object.
    pub fn put(&mut self, object: Object) {
        self.revision = self.revision.max(object.metadata.resource_version);
        self.objects.insert(object.key(), object);
    }

    /// Removes an object.
    pub fn remove(&mut self, key: &ObjectKey) {
        self.objects.remove(key);
    }

    /// An object by identity.
    pub fn get(&self, key: &ObjectKey) -> Option<&Object> {
        self.objects.get(key)
    }

    /// All objects.
    pub fn iter(&self) -> impl Iterator<Item = &Object> {
        self.objects.values()
    }

    /// All objects of one kind.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = &Object> {
        self.objects
            .iter()
            .filter(move |(key, _)| key.kind == kind)
            .map(|(_, object)| object)
    }

    typed_lookup!(
        /// A research group by name.
        group, ResearchGroup, ResearchGroupSpec
    );
    typed_lookup!(
        /// A model by name.
        model, Model, ModelSpec
    );
    typed_lookup!(
        /// An engine pool by name.
        engine_pool, EnginePool, EnginePoolSpec
    );
    typed_lookup!(
        /// A service by name.
        service, Service, ServiceSpec
    );
    typed_lookup!(
        /// A caller by name.
        caller, Caller, CallerSpec
    );
    typed_lookup!(
        /// A machine by name.
        machine, Machine, MachineSpec
    );
    typed_lookup!(
        /// Voters on idempotency keys.
        claim_shards, ClaimShards, ClaimShardsSpec
    );

    /// All machines with their names.
    pub fn machines(&self) -> impl Iterator<Item = (&str, &MachineSpec)> {
        self.of_kind(Kind::Machine)
            .filter_map(|object| match &object.spec {
                Spec::Machine(spec) => Some((object.metadata.name.as_str(), spec)),
                _ => None,
            })
    }

    /// All groups with their weight in fair sharing.
    pub fn shares(&self) -> BTreeMap<GroupName, f64> {
        let groups = self.of_kind(Kind::ResearchGroup);
        let shares = groups.filter_map(|object| match &object.spec {
            Spec::ResearchGroup(spec) => Some((GroupName::new(&object.metadata.name), spec.share)),
            _ => None,
        });
        shares.collect()
    }

    /// The newest published version of each model.
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

    /// Digest of the content: equal revisions must have equal digests.
    pub fn digest(&self) -> u64 {
        let text = serde_json::to_vec(&self.objects.values().collect::<Vec<_>>());
        stable_hash(&[&text.unwrap_or_default()])
    }
}
