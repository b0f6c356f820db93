//! Deterministic emulators, without I/O, of the platform that brasspond runs on.
//!
//! [`Engine`] emulates an inference engine with continuous batching, a prefix cache, fenced
//! orders and weight swaps. A decoding step takes
//! `base + per_sequence * batch + per_context_token * context`, and the prefill of admitted
//! prompts adds to it. Consecutive steps with an unchanged batch are computed together.
//! [`ObjectStore`] emulates the object API and [`WeightStore`] the rate-limited weight store.
//! The simulation drives these emulators in simulated time; `brasspond-standin` serves them
//! over HTTP.
//!
//! Each emulator owns the state of one engine or store. Callers pass in the current time;
//! all random choices depend on a seed.
#![forbid(unsafe_code)]

mod cache;
mod engine;
mod object_store;
mod text;
mod weight_store;

pub use engine::{Engine, EngineEvent, EngineParameters, SubmitRefusal};
pub use object_store::{ObjectStore, StoreError};
pub use text::{LengthDistribution, completion_length, text_of, verify_text};
pub use weight_store::{Transfer, WeightStore};
