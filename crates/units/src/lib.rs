//! Units of time that all packages of the deployed programs share.
//!
//! Decisions are free of I/O and take the present time as a number, so that tests drive them
//! with any clock.
#![forbid(unsafe_code)]

/// Milliseconds of a steady clock; what its zero is, is its owner's choice.
pub type Millis = u64;

/// Milliseconds of true time since the start of 1970.
pub type WallMillis = u64;
