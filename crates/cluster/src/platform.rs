//! What lies outside the cluster, as the product sees it.
//!
//! An adapter implements these traits for a platform. It translates and decides
//! nothing.

use brasspond_autoscaling::ScaleOrder;
use brasspond_consensus::Member;
use brasspond_dispatch::{OrderAnswer, ReplicaReport};
use brasspond_entries::{Problem, Unreadable};
use brasspond_fleet::{Credential, FleetView, Identity};
use brasspond_jobs::{Page, Submission};
use brasspond_metering::{Counts, WindowNumber};
use brasspond_telemetry::SourceMetrics;
use bytes::Bytes;
use displaydoc::Display;
use futures::future::LocalBoxFuture;
use hyper::header::{HeaderMap, HeaderName};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

pub use crate::source::Reach;

/// Parts of the fleet's view that a process needs from its source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Interest {
    /// Routes, services and limits.
    pub configuration: bool,
    /// Replicas of all services.
    pub replicas: bool,
    /// Versions named by trainers.
    pub versions: bool,
    /// Storage machines to be emptied.
    pub retirements: bool,
    /// Zones whose replicas are to be sent nothing.
    pub evacuations: bool,
}

impl Interest {
    /// Everything.
    pub const ALL: Self = Self {
        configuration: true,
        replicas: true,
        versions: true,
        retirements: true,
        evacuations: true,
    };
    /// Nothing.
    pub const NONE: Self = Self {
        configuration: false,
        replicas: false,
        versions: false,
        retirements: false,
        evacuations: false,
    };
}

/// A newer view, and whether its source answered lately.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// The newest view.
    pub view: FleetView,
    /// Whether the last call to the source succeeded.
    pub reachable: bool,
    /// Entries at the source that cannot be read.
    pub unreadable: Unreadable,
}

impl Observed {
    /// Brings metrics up to date.
    pub(crate) fn tell_metrics(&self, metrics: &impl AsRef<SourceMetrics>) {
        let metrics = metrics.as_ref();
        for (kind, now, turned) in self.unreadable.counts() {
            metrics.unreadable(kind, now, turned);
        }
    }

    /// Tells of replicas whose service the configuration does not name: nothing goes to them
    /// (`FleetView::names_service`). `kind` is that of their entries.
    pub fn note_services(&mut self, kind: &'static str) {
        let problem = Problem::new("service not in the configuration");
        for (name, replica) in self.view.replicas.iter() {
            if self.view.names_service(&replica.service) {
                self.unreadable.clear(kind, name);
            } else {
                self.unreadable.note(kind, name, &problem);
            }
        }
    }
}

/// The record of the group that keeps the log, where everyone can find it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupRecord {
    /// Members of the log.
    pub members: Vec<Member>,
    /// Revision, for a conditional write.
    pub revision: u64,
}

/// Why a call to the record failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RegistryError {
    /// nothing was done
    Refused,
    /// it may have been done
    Unknown,
    /// another was there first
    Conflict,
    /// it is there, of revision {0}, and cannot be read
    Unreadable(u64),
}

/// Where the group's record and the status of retirements are written.
pub trait Registry {
    /// Reads the record; none: there is none.
    fn read(&self) -> LocalBoxFuture<'_, Result<Option<GroupRecord>, RegistryError>>;
    /// Makes the record if there is none.
    fn create(&self, members: Vec<Member>) -> LocalBoxFuture<'_, Result<(), RegistryError>>;
    /// Replaces the record of that revision.
    fn replace(&self, record: GroupRecord) -> LocalBoxFuture<'_, Result<(), RegistryError>>;
    /// Writes how far the emptying of a machine is.
    fn report_retirement(
        &self,
        machine: String,
        completed: bool,
    ) -> LocalBoxFuture<'_, Result<(), RegistryError>>;
}

/// Who makes a call that one holder at a time may make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Name of its machine.
    pub machine: String,
    /// Rises with every holder.
    pub fence: u64,
}

/// What came of such a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperationsAnswer {
    /// It is done.
    Done,
    /// A newer holder made one, or what was ordered is not to be had.
    Conflict,
    /// Nothing was done.
    Refused,
    /// It may have been done, or be done at any time.
    Unknown,
}

impl OperationsAnswer {
    /// Name for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Conflict => "conflict",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

/// Calls to the platform that one holder at a time makes.
pub trait Operations {
    /// Reports what tenants used in a window.
    fn report_usage(
        &self,
        holder: Holder,
        window: WindowNumber,
        counts: Counts,
    ) -> LocalBoxFuture<'_, OperationsAnswer>;
    /// Orders how many replicas of a kind a service has in a zone.
    fn order_replicas(
        &self,
        holder: Holder,
        order: ScaleOrder,
    ) -> LocalBoxFuture<'_, OperationsAnswer>;
}

/// HeaderNames of the headers that the product reads or sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identity of a request.
    pub request_id: HeaderName,
    /// Milliseconds the caller waits.
    pub deadline_ms: HeaderName,
    /// The replica that must answer.
    pub required_replica: HeaderName,
    /// Which replica answered.
    pub instance: HeaderName,
    /// Signature of a replica's answer.
    pub signature: HeaderName,
    /// The replica did not run the request.
    pub not_run: HeaderName,
    /// Running, waiting, slots of the replica.
    pub load: HeaderName,
    /// Version of the weights.
    pub version: HeaderName,
    /// Event after which a stream goes on.
    pub last_event_id: HeaderName,
    /// Rank at a replica, 0 to 9; 0 is the most urgent.
    pub priority: HeaderName,
    /// A caller's API key; never handed on, never logged.
    pub credential: HeaderName,
    /// Name of the tenant that a request is made for; set by an edge alone.
    pub tenant: HeaderName,
}

/// A call as a caller makes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Results of a job.
    Results {
        /// The job.
        job: String,
        /// First position.
        since: u64,
        /// Longest time to hold the answer, in ms.
        wait_ms: u64,
    },
    /// Body of an item.
    Body {
        /// The job.
        job: String,
        /// The item.
        item: String,
    },
    /// End of a job.
    End {
        /// The job.
        job: String,
    },
    /// A call of no meaning, though in a place kept for calls.
    Unknown,
    /// Anything else: a request for a service.
    Request,
}

/// How callers and replicas speak.
pub trait WireFormat {
    /// HeaderNames of headers.
    fn names(&self) -> &HeaderNames;
    /// The API keys that came with a call.
    fn credential(&self, headers: &HeaderMap) -> Credential;
    /// What a caller asks for.
    fn call(&self, head: &hyper::http::request::Parts) -> Call;
    /// Reads a job out of the body of a call.
    ///
    /// # Errors
    /// What is wrong with it.
    fn submission(
        &self,
        id: &str,
        host: &str,
        path: &str,
        body: &[u8],
    ) -> Result<Submission, String>;
    /// Writes results as the caller reads them.
    fn page(&self, page: &Page) -> Bytes;
    /// Path of a replica's report.
    fn report_path(&self) -> &str;
    /// Reads a replica's report.
    fn report(&self, body: &[u8]) -> Option<ReplicaReport>;
    /// Path and body of an order to load a version.
    fn order(&self, order: &VersionOrder) -> (String, Bytes);
    /// What a replica said to an order.
    fn order_answer(&self, status: hyper::StatusCode) -> OrderAnswer;
    /// Version in the first line of an event, if it names one.
    fn event_version(&self, line: &[u8]) -> Option<u64>;
}

/// An order to load a version.
#[derive(Clone, Debug)]
pub struct VersionOrder {
    /// The model.
    pub model: String,
    /// The version.
    pub version: u64,
    /// Who orders.
    pub holder: String,
    /// Rises with every holder.
    pub fence: u64,
    /// Orders the replica must have taken so far.
    pub expected_orders: u64,
    /// Runs end under their version first; else they go on under the new one.
    pub runs_finish: bool,
    /// The replica, in the life that is known.
    pub replica: Identity,
    /// Where it listens.
    pub address: SocketAddr,
}

/// All of the outside.
#[derive(Clone)]
pub struct Platform {
    /// How callers and replicas speak.
    pub wire: Rc<dyn WireFormat>,
    /// Where records are written.
    pub registry: Rc<dyn Registry>,
    /// Where usage is reported and replicas are ordered; none where nobody asks.
    pub operations: Option<Rc<dyn Operations>>,
    /// The view of the fleet, as its source tells it.
    pub observed: watch::Receiver<Observed>,
    /// Which parts are wanted from the source.
    pub interest: Rc<watch::Sender<Interest>>,
}
