//! Protocol with callers and replicas: names of headers, calls of callers, reports of replicas and
//! orders to replicas.

use brasspond_cluster_protocol::EncodedSubmission;
use brasspond_dispatch::{OrderAnswer, ReplicaReport};
use brasspond_fleet::{Credential, Identity};
use brasspond_jobs::Page;
use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName};
use hyper::http::request::Parts;
use std::net::SocketAddr;
use std::sync::Arc;

/// Names of the headers that the cluster reads or sets. Each field documents the value of its
/// header.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a caller at a request, forwarded and returned unchanged.
    pub request_id: HeaderName,
    /// Remaining time that the caller waits, in ms.
    pub deadline_ms: HeaderName,
    /// Id of the only replica that may run the request; others answer 421.
    pub required_replica: HeaderName,
    /// Id of the replica that answered.
    pub instance: HeaderName,
    /// Signature that marks an answer as the replica's own.
    pub signature: HeaderName,
    /// Present if the replica did not run the request and never will.
    pub not_run: HeaderName,
    /// Requests running, requests waiting and slots of the replica, separated by commas.
    pub load: HeaderName,
    /// Version of the weights that generated the answer, an integer.
    pub version: HeaderName,
    /// Id of the last event that the caller received; the stream continues after it.
    pub last_event_id: HeaderName,
    /// Priority of the request at a replica, 0 to 9; 0 is the most urgent.
    pub priority: HeaderName,
    /// API key of a caller; never forwarded or logged.
    pub credential: HeaderName,
    /// Name of the tenant of the request; set by an edge, never by a caller.
    pub tenant: HeaderName,
}

/// A call to an edge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read results of a job.
    Results {
        /// Id of the job.
        job: String,
        /// First position to return, from 0.
        since: u64,
        /// Maximum time to delay the answer while there is no result, in ms.
        wait_ms: u64,
    },
    /// Read the body of an item that has no result yet.
    Body {
        /// Id of the job.
        job: String,
        /// Id of the item.
        item: String,
    },
    /// End a job.
    End {
        /// Id of the job.
        job: String,
    },
    /// A path that is reserved for calls but matches none of the above.
    Unknown,
    /// Any other path: a request for a service.
    Request,
}

/// What the call that submits a job says beside its body.
#[derive(Clone, Debug)]
pub struct SubmissionCall<'a> {
    /// Id of the job.
    pub id: &'a str,
    /// Host of the call.
    pub host: &'a str,
    /// Path of the call.
    pub path: &'a str,
    /// Tenant that submits the job, if any.
    pub tenant: Option<Arc<str>>,
}

/// An order to a replica to load a version of weights.
#[derive(Clone, Debug)]
pub struct VersionOrder {
    /// Name of the model.
    pub model: String,
    /// Version to load.
    pub version: u64,
    /// Name of the process that sends the order.
    pub holder: String,
    /// Fencing token: higher than that of any earlier holder.
    pub fence: u64,
    /// Number of orders that the replica must have accepted so far; otherwise it refuses this one.
    pub expected_orders: u64,
    /// Whether active runs finish under their version before the replica loads the new one.
    /// Otherwise they continue under the new version.
    pub runs_finish: bool,
    /// Id and incarnation of the replica.
    pub replica: Identity,
    /// Address on which the replica listens.
    pub address: SocketAddr,
}

/// Translates between HTTP messages and types of the cluster.
pub trait WireFormat {
    /// Returns the names of the headers.
    fn names(&self) -> &HeaderNames;
    /// Returns the API key that a call carries, as a digest.
    fn credential(&self, headers: &HeaderMap) -> Credential;
    /// Classifies a caller's request by its head.
    fn call(&self, head: &Parts) -> Call;
    /// Parses a job from the body of its submission and encodes it for the leader.
    ///
    /// # Errors
    /// The body is not a valid job; the text describes why, for the log.
    fn submission(
        &self,
        call: SubmissionCall<'_>,
        body: &[u8],
    ) -> Result<EncodedSubmission, String>;
    /// Encodes the body of an answer with results.
    fn page(&self, page: &Page) -> Bytes;
    /// Returns the path of the report of a replica.
    fn report_path(&self) -> &str;
    /// Parses the report of a replica. Returns `None` if the body is not a report.
    fn report(&self, body: &[u8]) -> Option<ReplicaReport>;
    /// Encodes the path and body of an order to load a version.
    fn order(&self, order: &VersionOrder) -> (String, Bytes);
    /// Interprets the status of the answer to an order.
    fn order_answer(&self, status: StatusCode) -> OrderAnswer;
    /// Returns the version of the weights in the first line of an event, if the line contains one.
    fn event_version(&self, line: &[u8]) -> Option<u64>;
}
