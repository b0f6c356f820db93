//! Autoscaling: decides how many spot replicas a service should have in each zone.
//!
//! The operator sets the number of ordinary replicas of a service. A service may also have spot
//! replicas, which cost less, but the platform may reclaim all spot replicas of a zone at once. The
//! autoscaler orders spot replicas until the slots of all replicas suffice for the recent peak
//! load, where a slot is the capacity of a replica for one concurrent request:
//!
//! ```text
//! wanted = peak / slots x HEADROOM
//! spot   = wanted - ordinary, spread evenly over the zones, within the limit of each zone
//! ```
//!
//! Without recent load, `wanted` is twice the number of ordinary replicas.
//!
//! The number of replicas is not reduced until the peak is known, which takes several similar waves
//! of load or a full window since the first load.
//!
//! Nothing here does I/O: `(state, event, now) -> orders`.
#![forbid(unsafe_code)]

mod autoscaler;
mod peak;
mod waves;
mod zones;

pub use autoscaler::{Autoscaler, ScaleAnswer, ScaleOrder};
