//! Settings of a process, already checked.

use brasspond_metering::MeterSettings;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// What every process of a cluster is told.
#[derive(Clone, Debug)]
pub struct ProcessSettings {
    /// Name of the machine.
    pub machine: String,
    /// Zone of the machine.
    pub zone: String,
    /// Region of that zone; none: the layout is unknown.
    pub region: Option<Arc<str>>,
    /// Whether operators may have zones evacuated: then nothing is sent to replicas before
    /// it is known which zones are.
    pub evacuates: bool,
    /// Where other processes of the cluster connect to.
    pub cluster_address: SocketAddr,
    /// Processes that may know the others.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub may_bootstrap: bool,
    /// Machines with a disk whose loss at one time must be borne.
    pub tolerated_losses: usize,
    /// Zones whose loss at one time must be borne.
    pub tolerated_zones: usize,
    /// Regions that machines may stand in; 0: the layout is unknown.
    pub regions: usize,
    /// Regions whose loss at one time must be borne.
    pub tolerated_regions: usize,
    /// Pause of the view's source between two answers on replicas: what it tells is
    /// so old at the most while it answers.
    pub source_pause: Duration,
    /// How tenants' usage is reported; none: nobody asks for it.
    pub metering: Option<MeterSettings>,
    /// Where metrics are served; none: nowhere.
    pub metrics_address: Option<SocketAddr>,
}

/// Settings of an edge.
#[derive(Clone, Debug)]
pub struct EdgeSettings {
    /// Those of every process.
    pub process: ProcessSettings,
    /// Where callers connect to.
    pub front: SocketAddr,
    /// Where readiness is asked for.
    pub ready: SocketAddr,
    /// Time from the order to stop until the process is killed.
    pub grace: Duration,
}

/// Settings of a storage process.
#[derive(Clone, Debug)]
pub struct StorageSettings {
    /// Those of every process.
    pub process: ProcessSettings,
    /// Whether numbers of replicas are ordered.
    pub scales: bool,
    /// Folder on the disk.
    pub folder: PathBuf,
    /// Time for which a holder of replicas' orders keeps its place, in ms.
    pub lease_ms: u64,
    /// Time after an acknowledged end of a job from which nothing of it may begin, in ms.
    pub cancel_ms: u64,
    /// Time after its submission until which a job may be asked for, in ms.
    pub job_life_ms: u64,
    /// Time from the order to stop until the process is killed.
    pub grace: Duration,
}
