//! Requests that end the replicas which run them.
//!
//! ```text
//! edge: Recorder ──EndReport──▶ leader: Keeper ──Change──▶ log: Ledger
//!    ▲                                                        │ Case, from two ends on
//!    └────────────────────────────────────────────────────────┘
//! ```
//!
//! Two requests are of one content when they ask for the same path of the same host, for
//! the same tenant, with the same method and body; their identities differ. An edge whose
//! connection broke under a request, and whose replica's address refuses new connections
//! right after, reports an end. A content under which [`QUARANTINED_AFTER`] replicas ended, one
//! after the other and with no answer in between, is held: no edge sends it to a replica.
//! After a while it is tried again, and held for twice as long where that ends a replica.
//!
//! What is held lies in the log, so that neither the loss of an edge nor of the leader
//! lets a content end replicas from the beginning.
//!
//! Nothing here does I/O: `(state, event, now) -> changes`.
#![forbid(unsafe_code)]

mod case;
mod fingerprint;
mod keeper;
mod ledger;
mod recorder;

pub use case::{Case, QUARANTINED_AFTER, WATCHED_AFTER};
pub use fingerprint::{Content, Fingerprint};
pub use keeper::{FIRST_HOLD, Keeper};
pub use ledger::{Change, Ledger};
pub use recorder::{CasesUpdate, EndReport, Recorder};
