//! Models of the platform brasspond runs on, free of I/O and seeded.
//!
//! [`Engine`] models a model engine: continuous batching, a prefix cache,
//! fenced orders, weight swaps. A decoding step takes
//! `base + per_sequence * batch + per_context_token * context`, to which the
//! prefill of admitted prompts is added; steps between two changes of the
//! batch are worked out at once. [`ObjectStore`] models the object API and
//! [`WeightStore`] the rate-limited weight store. The simulation drives these
//! models in simulated time; `brasspond-standin` serves them over HTTP.
//!
//! Owns the state of one engine or store. Relies on its caller for time and on a seed
//! for everything that is drawn.
#![forbid(unsafe_code)]

mod cache;
mod engine;
mod object_store;
mod text;
mod weight_store;

pub use engine::{Engine, EngineEvent, EngineParameters, SubmitRefusal};
pub use object_store::{ObjectStore, StoreError};
pub use text::{LengthDistribution, answer_length, text_of, verify_text};
pub use weight_store::{Transfer, WeightStore};
