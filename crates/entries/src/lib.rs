//! Entries that others write: answers split without reading what is in them, and an account of
//! the entries that cannot be read.
//!
//! Who keeps entries beside other writers reads each alone, so that one that cannot be read
//! costs no other, and tells of it once. Nothing here does I/O but the log.
#![forbid(unsafe_code)]

mod amount;
mod fields;
mod parts;
mod problem;
mod unreadable;

pub use amount::Amount;
pub use fields::{Fields, read};
pub use parts::{Members, elements, members};
pub use problem::Problem;
pub use unreadable::Unreadable;
