//! What lies outside the cluster, as the cluster uses it: the platform.
//!
//! An adapter implements the traits of this module for one platform. It translates between that
//! platform's formats and these types; rules on when to call and what to believe stay in the
//! cluster. Nothing here names a platform's header, path or field.
//!
//! | module | concern |
//! |---|---|
//! | `view` | what a process watches at the source of the view, and what it was given |
//! | `reachability` | whether that source answers, and when it is called again |
//! | `registry` | the record of the storage group, and the status of retirements |
//! | `operations` | calls that one holder at a time may make: usage reports, orders of replicas |
//! | `wire` | how callers and replicas are spoken to |

mod operations;
mod reachability;
mod registry;
mod view;
mod wire;

pub use operations::{Holder, Operations, OperationsAnswer};
pub use reachability::Reachability;
pub use registry::{GroupRecord, Registry, RegistryError};
pub use view::{Interest, Observed, ReplicaListing};
pub use wire::{Call, HeaderNames, VersionOrder, WireFormat};

use std::rc::Rc;
use tokio::sync::watch;

/// Everything that a process needs of its platform. Clones share the same connections.
#[derive(Clone)]
pub struct Platform {
    /// How callers and replicas are spoken to.
    pub wire: Rc<dyn WireFormat>,
    /// Where the group's record and the status of retirements are written.
    pub registry: Rc<dyn Registry>,
    /// Where usage is reported and replicas are ordered; none: the deployment asks for neither.
    pub operations: Option<Rc<dyn Operations>>,
    /// The newest view of the fleet from its source; changes with every answer of the source.
    pub observed: watch::Receiver<Observed>,
    /// Which parts of the view this process wants from the source; the process sets it.
    pub interest: Rc<watch::Sender<Interest>>,
}
