//! Resource objects with their kinds, keys and metadata.

use crate::Spec;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The only supported API version, which manifests state as `apiVersion`.
pub const API_VERSION: &str = "brasspond.dev/v1";

/// Revision of the object store. Every write increases it by at least one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Kind of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A research group and its share of engine capacity.
    ResearchGroup,
    /// A model that one group trains.
    Model,
    /// A published version of a model's weights.
    WeightVersion,
    /// A set of engines that serve the same models.
    EnginePool,
    /// A plain HTTP service.
    Service,
    /// A client that may call the API.
    Caller,
    /// A machine that the platform lists as live or about to stop.
    Machine,
    /// The nodes that vote on idempotency keys; written by brasspond itself.
    ClaimShards,
}

impl Kind {
    /// All kinds, in order of declaration.
    pub const ALL: [Self; 8] = [
        Self::ResearchGroup,
        Self::Model,
        Self::WeightVersion,
        Self::EnginePool,
        Self::Service,
        Self::Caller,
        Self::Machine,
        Self::ClaimShards,
    ];

    /// Name of the kind in manifests.
    pub fn name(self) -> &'static str {
        match self {
            Self::ResearchGroup => "ResearchGroup",
            Self::Model => "Model",
            Self::WeightVersion => "WeightVersion",
            Self::EnginePool => "EnginePool",
            Self::Service => "Service",
            Self::Caller => "Caller",
            Self::Machine => "Machine",
            Self::ClaimShards => "ClaimShards",
        }
    }

    /// Name of the kind in API paths.
    pub fn plural(self) -> &'static str {
        match self {
            Self::ResearchGroup => "researchgroups",
            Self::Model => "models",
            Self::WeightVersion => "weightversions",
            Self::EnginePool => "enginepools",
            Self::Service => "services",
            Self::Caller => "callers",
            Self::Machine => "machines",
            Self::ClaimShards => "claimshards",
        }
    }

    /// Finds a kind by its singular or plural name, ignoring case.
    pub fn find(name: &str) -> Option<Self> {
        let name = name.to_ascii_lowercase();
        let matches =
            |kind: &Self| name == kind.plural() || name == kind.name().to_ascii_lowercase();
        Self::ALL.into_iter().find(matches)
    }
}

/// Key of an object: its kind and its name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectKey {
    /// Kind of the object.
    pub kind: Kind,
    /// Name of the object, unique within the kind.
    pub name: String,
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.kind.plural(), self.name)
    }
}

/// Metadata that the object store maintains for an object.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Metadata {
    /// Name of the object, unique within the kind.
    pub name: String,
    /// Store revision of the last write; zero if the object is not stored yet.
    pub resource_version: Revision,
    /// Counter that each change of the specification increments.
    pub generation: u64,
    /// Identifier of the write that created this version. A writer that received no response
    /// uses it to determine whether its write took effect.
    pub write_id: u64,
}

/// A resource with its metadata and specification.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Name, version, generation and write identifier.
    pub metadata: Metadata,
    /// Content of the resource, which the operator, the platform or brasspond itself declares.
    pub spec: Spec,
}

impl Object {
    /// Returns the kind and the name of this object.
    pub fn key(&self) -> ObjectKey {
        ObjectKey {
            kind: self.spec.kind(),
            name: self.metadata.name.clone(),
        }
    }
}
