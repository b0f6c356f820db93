//! The fleet as one process knows it: the configuration that operators declare, and the replicas
//! that report.
//!
//! Processes exchange a [`FleetView`] completely or in parts. Each part has a revision; of two
//! copies of a part, the one with the higher revision replaces the other. Nothing here does I/O.
#![forbid(unsafe_code)]

mod catch_up;
mod configuration;
mod delta;
mod index;
mod life;
mod region;
mod served;
mod sharing;
mod tenant;
mod view;

pub use catch_up::CatchUp;
pub use configuration::{
    Configuration, Limits, Route, RouteKind, Scaling, Service, Target, WarmUp, choose_target,
    usable_target,
};
pub use delta::{BaseMismatch, ViewDelta};
pub use index::ConfigurationIndex;
pub use life::{Identity, LOWER_LIFE_ACCEPTED_AFTER_MS, Life, LifeChange, Lives};
pub use region::Regions;
pub use served::{ServedModel, ServedModels};
pub use sharing::shared_name;
pub use tenant::{Credential, Denial, KeyDigest, Tenant};
pub use view::{FleetView, ReplicaInfo, Replicas, Retirement, replicas_by_id};
