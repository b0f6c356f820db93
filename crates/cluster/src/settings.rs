//! Settings of a process, which the platform adapter has read and validated.

use brasspond_metering::MeterSettings;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// Settings of every process of a cluster.
#[derive(Clone, Debug)]
pub struct ProcessSettings {
    /// Name of the machine.
    pub machine: String,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the zone, or `None` if the regions of the deployment are unknown.
    pub region: Option<Arc<str>>,
    /// Whether operators may evacuate zones. If so, no request is sent to a replica before the
    /// evacuated zones are known.
    pub supports_evacuation: bool,
    /// Address on which this process listens for other processes of the cluster.
    pub cluster_address: SocketAddr,
    /// Addresses of processes to contact first to find the others.
    pub seeds: Vec<SocketAddr>,
    /// Whether the cluster may start for the first time, without a group record.
    pub may_bootstrap: bool,
    /// Number of storage machines that may fail simultaneously without loss of data.
    pub tolerated_losses: usize,
    /// Number of zones that may fail simultaneously without loss of data.
    pub tolerated_zones: usize,
    /// Number of regions of the deployment, or 0 if unknown.
    pub regions: usize,
    /// Number of regions that may fail simultaneously without loss of data.
    pub tolerated_regions: usize,
    /// Interval between reads of replica changes at the source of the view. While the source
    /// answers, the known replicas are at most this old.
    pub source_pause: Duration,
    /// Memory limit of the process in bytes, or `None` if the platform does not state it.
    pub memory_limit: Option<u64>,
    /// Settings of usage reports, or `None` if the deployment does not meter usage.
    pub metering: Option<MeterSettings>,
    /// Address on which metrics are served, if any.
    pub metrics_address: Option<SocketAddr>,
}

/// Settings of an edge.
#[derive(Clone, Debug)]
pub struct EdgeSettings {
    /// Settings of every process.
    pub process: ProcessSettings,
    /// Address on which the edge listens for callers.
    pub caller_address: SocketAddr,
    /// Address on which the edge serves readiness checks of the platform.
    pub readiness_address: SocketAddr,
    /// Time from SIGTERM until the platform kills the process.
    pub termination_grace: Duration,
}

/// Settings of a storage process.
#[derive(Clone, Debug)]
pub struct StorageSettings {
    /// Settings of every process.
    pub process: ProcessSettings,
    /// Whether the leader orders replicas from the platform.
    pub autoscales: bool,
    /// Folder of the log and of results, on a persistent disk.
    pub folder: PathBuf,
    /// Duration of the lease on the subject of an order, in ms. Only the holder of the lease may
    /// send orders on the subject.
    pub lease_ms: u64,
    /// Time after the acknowledged end of a job within which its items may still begin to run, in
    /// ms.
    pub cancel_ms: u64,
    /// Time after its submission for which a job can be read, in ms.
    pub job_retention_ms: u64,
    /// Time from SIGTERM until the platform kills the process.
    pub termination_grace: Duration,
}
