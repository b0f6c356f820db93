//! Training steps: slots, attempts, results, and the trainer's cursor.
//!
//! A [`Cursor`] is the set of slots whose samples a trainer already holds. The
//! trainer keeps it and sends it with each request, so exactly-once delivery
//! does not depend on state at a node: a node only delivers slots that are not
//! in the cursor, and samples lost in transit or with a node are fetched or
//! generated again.
#![forbid(unsafe_code)]

mod cursor;
mod lengths;
mod step;

pub use cursor::{Cursor, CursorError};
pub use lengths::LengthModel;
pub use step::{FetchedSamples, Partial, Prompt, SlotState, Step, StepSpec, StepSummary};
