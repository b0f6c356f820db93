//! Resources that configure brasspond, with their kinds, specifications and validation.
//!
//! Objects follow the Kubernetes API conventions. They have an `apiVersion`, a `kind`,
//! `metadata` with `resourceVersion` and `generation`, and a `spec`; a `status` is accepted
//! and ignored. Only this package validates manifests; all other packages use the typed
//! specifications.
#![forbid(unsafe_code)]

mod catalogue;
mod manifest;
mod object;
mod spec;

pub use catalogue::Catalogue;
pub use manifest::{object_from_json, object_to_json, parse_manifests};
pub use object::{API_VERSION, Kind, Metadata, Object, ObjectKey, Revision};
pub use spec::{
    Backend, CallerSpec, ClaimShard, ClaimShardsSpec, EnginePoolSpec, GroupLimits, MachineRole,
    MachineSpec, ModelSpec, ResearchGroupSpec, Role, ServiceSpec, Spec, SwapPolicy, VoterIdentity,
    WeightVersionSpec,
};
