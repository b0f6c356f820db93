//! How far apart two processes are.
//!
//! A [`Distance`] is a class (same zone, same region, other region) that follows from the layout
//! in the settings. [`RoundTrips`] says how long a round trip of each class takes, from those
//! that links measured. Every choice between replicas, edges or members by where they are uses
//! these. Nothing here does I/O.
#![forbid(unsafe_code)]

mod place;
mod round_trips;

pub use place::{Distance, Place};
pub use round_trips::RoundTrips;
