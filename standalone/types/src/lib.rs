//! Shared types of brasspond: names, time, weight versions and samples.
//!
//! Nothing here performs I/O or reads a clock. Decision code receives the time only as a
//! [`Timestamp`] argument.
#![forbid(unsafe_code)]

mod mutation;
mod name;
mod sample;
mod time;

pub use mutation::{Mutation, Mutations};
pub use name::{
    EngineName, GroupName, Locality, ModelName, NodeName, RegionName, ZoneName, stable_hash,
};
pub use sample::{
    FinishReason, PromptDigest, Sample, SampleId, StepId, VersionSpan, WeightVersion,
    oldest_version, push_span, total_tokens,
};
pub use time::Timestamp;
