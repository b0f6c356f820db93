//! Network distance between processes.
//!
//! A [`Distance`] is one of three classes (same zone, same region, other region), which follow from
//! the zones and regions in the settings. [`RoundTrips`] estimates the round-trip time of each class
//! from measurements of links. Every choice between replicas, edges or members by location uses
//! these estimates or classes. Nothing here does I/O.
#![forbid(unsafe_code)]

mod place;
mod round_trips;

pub use place::{Distance, Place};
pub use round_trips::RoundTrips;
