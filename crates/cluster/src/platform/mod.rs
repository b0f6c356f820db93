//! Interfaces to the platform that the cluster runs on.
//!
//! An adapter implements the traits of this module for one platform. It translates between the
//! formats of that platform and these types. Rules on when to call and which answers to accept stay
//! in the cluster. Nothing here depends on headers, paths or fields of a particular platform.
//!
//! | module | concern |
//! |---|---|
//! | `view` | parts of the view that a process watches at the source, and the view received |
//! | `long_list` | when a starting process reads the rest of a long list |
//! | `reachability` | whether the source answers, and when to retry a call to it |
//! | `registry` | the record of the storage group, and the status of retirements |
//! | `operations` | calls restricted to one holder at a time: usage reports, orders of replicas |
//! | `wire` | protocol with callers and replicas |

mod long_list;
mod operations;
mod reachability;
mod registry;
mod view;
mod wire;

pub use long_list::await_rest_of_list;
pub use operations::{Holder, Operations, OperationsAnswer};
pub use reachability::Reachability;
pub use registry::{GroupRecord, Registry, RegistryError};
pub use view::{Interest, Observed, ReplicaListing};
pub use wire::{Call, HeaderNames, SubmissionCall, VersionOrder, WireFormat};

use std::rc::Rc;
use tokio::sync::watch;

/// Interfaces to the platform that a process uses. Clones share the same connections.
#[derive(Clone)]
pub struct Platform {
    /// Protocol with callers and replicas.
    pub wire: Rc<dyn WireFormat>,
    /// Registry with the record of the storage group and the status of retirements.
    pub registry: Rc<dyn Registry>,
    /// Usage reports and orders of replicas; `None` if the deployment uses neither.
    pub operations: Option<Rc<dyn Operations>>,
    /// Newest view of the fleet from its source, updated with every answer of the source.
    pub observed: watch::Receiver<Observed>,
    /// Parts of the view that this process wants from the source, set by the process.
    pub interest: Rc<watch::Sender<Interest>>,
}
