//! Objects and their identity.

use crate::Spec;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The one version of the API.
pub const API_VERSION: &str = "brasspond.dev/v1";

/// Revision of the whole object store; every write raises it by at least one.
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

/// Kinds of resources.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// A research group and its share.
    ResearchGroup,
    /// A model one group trains.
    Model,
    /// A published version of a model's weights.
    WeightVersion,
    /// A set of engines.
    EnginePool,
    /// A plain HTTP service.
    Service,
    /// Somebody who may call.
    Caller,
    /// A machine that the platform lists as live or leaving.
    Machine,
    /// Which nodes vote on idempotency keys; written by brasspond itself.
    ClaimShards,
}

impl Kind {
    /// All kinds.
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

    /// Name in manifests.
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

    /// Name in paths of the API.
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

    /// Finds a kind by its name, plural or not, in any case.
    pub fn find(word: &str) -> Option<Self> {
        let word = word.to_ascii_lowercase();
        let matches =
            |kind: &Self| word == kind.plural() || word == kind.name().to_ascii_lowercase();
        Self::ALL.into_iter().find(matches)
    }
}

/// Identity of an object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectKey {
    /// Kind of the object.
    pub kind: Kind,
    /// Name, unique within the kind.
    pub name: String,
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.kind.plural(), self.name)
    }
}

/// Bookkeeping of an object.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Metadata {
    /// Unique within the kind.
    pub name: String,
    /// Store revision of the last write; zero for an object not yet stored.
    pub resource_version: Revision,
    /// Raised by one with every change of the specification.
    pub generation: u64,
    /// Identity of the write that made this version, so that a writer whose
    /// answer was lost can tell whether its write took effect.
    pub write_id: u64,
}

/// A resource.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Bookkeeping.
    pub metadata: Metadata,
    /// What the operator declared.
    pub spec: Spec,
}

impl Object {
    /// Identity of this object.
    pub fn key(&self) -> ObjectKey {
        ObjectKey {
            kind: self.spec.kind(),
            name: self.metadata.name.clone(),
        }
    }
}
