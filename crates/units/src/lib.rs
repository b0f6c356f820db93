//! Units of time that all packages of the deployed programs share.
//!
//! Decision logic does no I/O and takes the current time as an argument, so that tests control the
//! clock.
#![forbid(unsafe_code)]

/// Milliseconds of a monotonic clock. Each clock has its own origin.
pub type Millis = u64;

/// Milliseconds of wall-clock time since the Unix epoch.
pub type WallMillis = u64;
