//! Quarantine of requests that crash the replicas running them.
//!
//! ```text
//! edge: QuarantineRecorder ──EndReport──▶ leader: QuarantineController
//!    ▲                                       │ CaseChange
//!    │                                       ▼
//!    └───── Case with at least 2 ends ─── log: QuarantineLedger
//! ```
//!
//! Two requests have the same *content* if method, host, path, tenant and body are equal, whatever
//! their ids. An *end* is the loss of a replica while it runs a request: the connection breaks and
//! the replica's address then refuses new connections. A *case* is the record of the ends of one
//! content.
//!
//! Edges detect ends and report them to the leader. A content is quarantined once
//! [`QUARANTINE_THRESHOLD`] replicas have ended while they ran it, one after the other and without
//! a response in between. Edges send no request with a quarantined content to a replica. After
//! [`FIRST_QUARANTINE_MS`] the content is retried; if the retry ends another replica, the next
//! quarantine lasts twice as long.
//!
//! The log replicates the cases, so that the loss of an edge or of the leader does not reset them.
//! The modules `controller` and `case` decide which ends count and how long a quarantine lasts.
//!
//! Nothing here does I/O: `(state, event, now) -> changes`.
#![forbid(unsafe_code)]

mod case;
mod controller;
mod fingerprint;
mod ledger;
mod recorder;

pub use case::{Case, QUARANTINE_THRESHOLD};
pub use controller::{FIRST_QUARANTINE_MS, QuarantineController};
pub use fingerprint::{Fingerprint, RequestContent};
pub use ledger::{CaseChange, QuarantineLedger};
pub use recorder::{CasesUpdate, EndReport, QuarantineRecorder};
