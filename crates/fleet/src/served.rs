//! Models that a replica serves, with the versions of their weights.

use crate::sharing::{self, shared_models, shared_name};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::ops::Deref;
use std::sync::Arc;

/// A model that a replica serves.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ServedModel {
    /// Name of the model.
    #[serde(deserialize_with = "sharing::name")]
    pub name: Arc<str>,
    /// Version of its weights.
    pub version: u64,
}

/// The models of a replica. Replicas that serve the same versions share one list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServedModels(Arc<[ServedModel]>);

impl ServedModels {
    /// Returns the version of a model, or `None` if it is not served.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        let served = self.iter().find(|served| *served.name == *model)?;
        Some(served.version)
    }

    /// Returns the highest version of all models, or `None` without models.
    pub fn highest_version(&self) -> Option<u64> {
        self.iter().map(|served| served.version).max()
    }

    /// Sets the version of a model.
    pub fn set(&mut self, model: &str, version: u64) {
        let mut models = self.to_vec();
        match models.iter_mut().find(|served| *served.name == *model) {
            Some(served) => served.version = version,
            None => models.push(ServedModel {
                name: shared_name(model),
                version,
            }),
        }
        *self = models.into();
    }

    /// Removes a model.
    pub fn remove(&mut self, model: &str) {
        let others = self.iter().filter(|served| *served.name != *model);
        *self = others.cloned().collect();
    }

    /// Raises each model to its version in `newer` if that is higher, and adds the models that are
    /// missing.
    pub fn raise(&mut self, newer: &Self) {
        if Arc::ptr_eq(&self.0, &newer.0) || newer.is_at_most(self) {
            return;
        }
        if self.is_at_most(newer) {
            self.0 = Arc::clone(&newer.0);
            return;
        }
        for served in newer.iter() {
            let known = self.version_of(&served.name);
            if known.is_none_or(|known| known < served.version) {
                self.set(&served.name, served.version);
            }
        }
    }

    /// Whether `other` serves each of these models in the same or a higher version.
    fn is_at_most(&self, other: &Self) -> bool {
        self.iter().all(|served| {
            let version = other.version_of(&served.name);
            version.is_some_and(|version| version >= served.version)
        })
    }
}

impl Default for ServedModels {
    fn default() -> Self {
        Vec::new().into()
    }
}

impl Deref for ServedModels {
    type Target = [ServedModel];

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}

impl FromIterator<ServedModel> for ServedModels {
    fn from_iter<T: IntoIterator<Item = ServedModel>>(models: T) -> Self {
        Vec::from_iter(models).into()
    }
}

impl From<Vec<ServedModel>> for ServedModels {
    fn from(models: Vec<ServedModel>) -> Self {
        Self(shared_models(&models))
    }
}

impl Serialize for ServedModels {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.0.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for ServedModels {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Vec::<ServedModel>::deserialize(deserializer).map(Self::from)
    }
}
