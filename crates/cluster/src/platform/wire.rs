//! How callers and replicas are spoken to: names of headers, calls of callers, replicas' reports
//! and orders to replicas.

use brasspond_dispatch::{OrderAnswer, ReplicaReport};
use brasspond_fleet::{Credential, Identity};
use brasspond_jobs::{Page, Submission};
use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName};
use hyper::http::request::Parts;
use std::net::SocketAddr;

/// Names of the headers that the cluster reads or sets. The comment of each says what the
/// header's value holds.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a caller, passed on and answered unchanged.
    pub request_id: HeaderName,
    /// How long the caller still waits, in ms.
    pub deadline_ms: HeaderName,
    /// Id of the only replica that may run the request; others answer 421.
    pub required_replica: HeaderName,
    /// Id of the replica that answered.
    pub instance: HeaderName,
    /// Signature that marks a replica's own answer.
    pub signature: HeaderName,
    /// Present if the replica did not run the request and never will.
    pub not_run: HeaderName,
    /// Requests running, requests waiting and slots of the replica, separated by commas.
    pub load: HeaderName,
    /// Version of the weights that made the answer, a whole number.
    pub version: HeaderName,
    /// Id of the last event the caller has; the stream continues after it.
    pub last_event_id: HeaderName,
    /// Rank of the request at a replica, 0 to 9; 0 is the most urgent.
    pub priority: HeaderName,
    /// API key of a caller; never passed on, never logged.
    pub credential: HeaderName,
    /// Name of the tenant that the request is made for; set by an edge, never by a caller.
    pub tenant: HeaderName,
}

/// What a caller asks an edge for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Results of a job.
    Results {
        /// Id of the job.
        job: String,
        /// First position wanted, from 0.
        since: u64,
        /// Longest time that the answer may be held while there is no result, in ms.
        wait_ms: u64,
    },
    /// Body of an item that has no result yet.
    Body {
        /// Id of the job.
        job: String,
        /// Id of the item.
        item: String,
    },
    /// End of a job.
    End {
        /// Id of the job.
        job: String,
    },
    /// A path that is reserved for the cluster's own calls, but none of them.
    Unknown,
    /// Anything else: a request for a service.
    Request,
}

/// An order to a replica to load a version of weights.
#[derive(Clone, Debug)]
pub struct VersionOrder {
    /// Name of the model.
    pub model: String,
    /// The version to load.
    pub version: u64,
    /// Name of the process that orders.
    pub holder: String,
    /// Fencing token: higher than that of any earlier holder.
    pub fence: u64,
    /// How many orders the replica must have accepted so far; otherwise it refuses this one.
    pub expected_orders: u64,
    /// True: runs end under their version before the load. False: they go on under the new one.
    pub runs_finish: bool,
    /// The replica, in the life that is known.
    pub replica: Identity,
    /// Where the replica listens.
    pub address: SocketAddr,
}

/// Translates between HTTP messages and the cluster's types.
pub trait WireFormat {
    /// Names of headers.
    fn names(&self) -> &HeaderNames;
    /// The API key that came with a call, as a digest.
    fn credential(&self, headers: &HeaderMap) -> Credential;
    /// What the head of a caller's request asks for.
    fn call(&self, head: &Parts) -> Call;
    /// Reads a job from the body of its submission.
    ///
    /// # Errors
    /// What is wrong with the body, for the log.
    fn submission(
        &self,
        id: &str,
        host: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Submission, String>;
    /// Body of an answer with results.
    fn page(&self, page: &Page) -> Bytes;
    /// Path of a replica's report.
    fn report_path(&self) -> &str;
    /// Reads a replica's report; none: the body is not a report.
    fn report(&self, body: &[u8]) -> Option<ReplicaReport>;
    /// Path and body of an order to load a version.
    fn order(&self, order: &VersionOrder) -> (String, Bytes);
    /// What the status of the answer to an order means.
    fn order_answer(&self, status: StatusCode) -> OrderAnswer;
    /// Version of the weights in the first line of an event; none: the line names no version.
    fn event_version(&self, line: &[u8]) -> Option<u64>;
}
