//! How many replicas a service is to have in each zone, of which kind.
//!
//! A service that scales has ordinary replicas, which stay, and may have spot replicas,
//! which cost a part of an ordinary one's price and may be taken away, all of a zone at
//! once. The ordinary ones are left as they are; spot ones are ordered beside them until
//! the places of both hold the most work that was there at one time lately:
//!
//! ```text
//! wanted = peak / slots x HEADROOM, within the limits of the zones
//! spot   = wanted - ordinary, spread evenly: a reclaim of one zone leaves the others
//! ```
//!
//! Before the peak is known, which takes several waves of work, nothing is given back.
//!
//! Nothing here does I/O: `(state, event, now) -> orders`.
#![forbid(unsafe_code)]

mod autoscaler;
mod peak;
mod waves;

pub use autoscaler::{Autoscaler, ScaleAnswer, ScaleOrder};
pub use peak::Peak;
