//! How many replicas a service is to have in each zone, of which kind.
//!
//! A service that scales has ordinary replicas, whose number the operator sets, and may have spot
//! replicas, which cost less and may be taken away, all of a zone at once. Spot replicas are
//! ordered beside the ordinary ones until the places of both hold the most work of late:
//!
//! ```text
//! wanted = peak / slots x HEADROOM, within the limits of the zones
//! spot   = wanted - ordinary, spread evenly over the zones
//! ```
//!
//! Until the peak is known, which takes several waves of work, nothing is given back.
//!
//! Nothing here does I/O: `(state, event, now) -> orders`.
#![forbid(unsafe_code)]

mod autoscaler;
mod peak;
mod waves;
mod zones;

pub use autoscaler::{Autoscaler, ScaleAnswer, ScaleOrder};
