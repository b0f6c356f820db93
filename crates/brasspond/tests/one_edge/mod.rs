//! A cluster with one edge, whose process is measured. One at a time in a test program, because its
//! processes share the machine.

use brasspond_platform_standin::Store;
use brasspond_platform_standin::processes::{Cluster, Deployment, Machine, Size};
use serde_json::Value;
use std::net::SocketAddr;
use tokio::sync::{Mutex, MutexGuard};

static TURN: Mutex<()> = Mutex::const_new(());

/// A cluster with one edge.
pub struct OneEdge {
    pub cluster: Cluster,
    /// Process of the edge at the start.
    pub pid: u32,
    _turn: MutexGuard<'static, ()>,
}

impl OneEdge {
    pub async fn start(configuration: Value, deployment: Deployment) -> Self {
        let turn = TURN.lock().await;
        let (store, addresses) = Store::start().await;
        let size = Size {
            edges: 1,
            storage: 3,
        };
        let cluster =
            Cluster::start_deployed(configuration, store, addresses, size, deployment).await;
        let pid = cluster.edges[0].pid().expect("runs");
        Self {
            cluster,
            pid,
            _turn: turn,
        }
    }

    pub fn edge(&self) -> &Machine {
        &self.cluster.edges[0]
    }

    pub fn front(&self) -> SocketAddr {
        self.edge().front
    }

    pub fn check_lives(&self) {
        assert_eq!(self.edge().pid(), Some(self.pid), "the process lives");
    }
}

/// Checks the highest resident memory of a machine's process.
pub fn check_peak(machine: &Machine, limit_mb: u64) {
    let peak = machine.peak_bytes();
    assert!(peak < limit_mb * 1_000_000, "{} MB", peak / 1_000_000);
}
