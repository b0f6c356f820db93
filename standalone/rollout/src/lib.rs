//! Training steps: slots, attempts, results, and the trainer's cursor.
//!
//! A [`Cursor`] is the set of slots a trainer already holds. The trainer keeps
//! it and names it with each request, so that exactly-once delivery does not
//! depend on what any node remembers: whatever a node hands over is chosen
//! from the slots not in the cursor, and whatever was lost on the way, or with
//! a node, is asked for, or made, again. See
//! `docs/design/0007-exactly-once.md`.
#![forbid(unsafe_code)]

mod cursor;
mod lengths;
mod step;

pub use cursor::{Cursor, CursorError};
pub use lengths::LengthModel;
pub use step::{FetchedSamples, Partial, Prompt, SlotState, Step, StepSpec, StepSummary};
