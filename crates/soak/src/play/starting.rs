//! Starts the platform, the cluster, the proxies and the callers of a run.

use super::{PeakUsage, Run, StoreProxies};
use crate::callers::{CRASH_BODY, Callers, Connections, EdgeAddress};
use crate::history::History;
use crate::jobs::LargeJobs;
use crate::proxy::Proxy;
use crate::schedule::{Schedule, is_behind_proxy};
use brasspond_platform_standin::processes::{
    Builds, Cluster, Deployment, Size, configuration, two_regions,
};
use brasspond_platform_standin::restarting::RestartingReplica;
use brasspond_platform_standin::{Store, StoreAddresses};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Connection modes of the callers at each edge address: one caller for each mode.
const CALLER_MODES: [Connections; 2] = [Connections::Persistent, Connections::PerRequest];
/// Time between the starts of the cluster and of the callers, in which edges receive the replicas.
const SETTLE_TIME: Duration = Duration::from_secs(1);

impl Run {
    /// Starts the platform, the cluster, the proxies and the callers.
    pub(super) async fn start(schedule: &Schedule, builds: &Builds) -> std::io::Result<Self> {
        let (store, addresses) = Store::start().await;
        let store_proxies = StoreProxies {
            edges: Proxy::start(addresses.edges).await?,
            storage: Proxy::start(addresses.storage).await?,
        };
        let cluster = start_cluster(schedule, builds, store, &store_proxies).await;
        let replicas = Replicas::start(&cluster.store, schedule.replicas).await?;
        // The stand-in's default replicas are removed, because the run does not record what they
        // observe.
        for id in ["plain-0", "engine-0", "engine-1"] {
            cluster.store.remove("servers", id);
        }
        let (edge_proxies, edges) = start_edge_proxies(&cluster).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let callers = start_callers(edges, schedule);
        Ok(Self {
            schedule: schedule.clone(),
            cluster,
            plain: replicas.plain,
            engines: replicas.engines,
            edge_proxies,
            plain_proxies: replicas.plain_proxies,
            engine_proxies: replicas.engine_proxies,
            store_proxies,
            callers,
            config_writes: Vec::new(),
            new_routes: Arc::default(),
            peak: PeakUsage::default(),
            memory: BTreeMap::new(),
            pending_restarts: Vec::new(),
            pending_stops: Vec::new(),
            unexpected_exits: Vec::new(),
            last_leader: 0,
            leader_kills_until: 0,
            last_killed_term: 0,
            rereads: Vec::new(),
        })
    }
}

/// Starts the cluster with the store's proxies as the addresses of the store.
async fn start_cluster(
    schedule: &Schedule,
    builds: &Builds,
    store: Arc<Store>,
    proxies: &StoreProxies,
) -> Cluster {
    let proxied = StoreAddresses {
        edges: proxies.edges.address,
        storage: proxies.storage.address,
    };
    let size = Size {
        edges: schedule.edges,
        storage: schedule.storage,
    };
    let deployment = Deployment {
        region_of: Some(two_regions),
        storage_memory_mb: Some(schedule.storage_memory_mb),
        builds: builds.clone(),
        ..Deployment::default()
    };
    Cluster::start_deployed(configuration(1), store, proxied, size, deployment).await
}

/// Replicas of both services, and proxies in front of some of them, by the index of the replica.
#[derive(Default)]
struct Replicas {
    plain: Vec<Arc<RestartingReplica>>,
    engines: Vec<Arc<RestartingReplica>>,
    plain_proxies: BTreeMap<usize, Proxy>,
    engine_proxies: BTreeMap<usize, Proxy>,
}

impl Replicas {
    async fn start(store: &Arc<Store>, count: usize) -> std::io::Result<Self> {
        let mut all = Self::default();
        for number in 0..count {
            let (replica, proxy) = start_replica(store, "plain", number).await?;
            all.plain.push(replica);
            all.plain_proxies.extend(proxy.map(|proxy| (number, proxy)));
            let (replica, proxy) = start_replica(store, "engines", number).await?;
            all.engines.push(replica);
            all.engine_proxies
                .extend(proxy.map(|proxy| (number, proxy)));
        }
        Ok(all)
    }
}

/// Starts a proxy in front of each edge. Returns the proxies, and the direct and proxied
/// addresses of all edges.
async fn start_edge_proxies(cluster: &Cluster) -> std::io::Result<(Vec<Proxy>, Vec<EdgeAddress>)> {
    let mut proxies = Vec::new();
    let mut edges = Vec::new();
    for (edge, machine) in cluster.edges.iter().enumerate() {
        let proxy = Proxy::start(machine.front).await?;
        edges.push(EdgeAddress {
            edge,
            address: machine.front,
            is_proxied: false,
        });
        edges.push(EdgeAddress {
            edge,
            address: proxy.address,
            is_proxied: true,
        });
        proxies.push(proxy);
    }
    Ok((proxies, edges))
}

/// Starts callers for each edge address, a trainer, and a caller whose requests make their replica
/// exit.
fn start_callers(edges: Vec<EdgeAddress>, schedule: &Schedule) -> Arc<Callers> {
    let callers = Arc::new(Callers {
        history: Arc::new(History::default()),
        edges,
        is_stopped: AtomicBool::new(false),
        is_settling: AtomicBool::new(false),
        next_number: AtomicU64::new(1),
        newest_version: AtomicU64::new(1),
        seed: schedule.seed,
        jobs: Mutex::default(),
    });
    for to in callers.edges.clone() {
        for connections in CALLER_MODES {
            tokio::spawn(Arc::clone(&callers).run_caller(to, connections));
        }
    }
    tokio::spawn(Arc::clone(&callers).run_trainer());
    tokio::spawn(Arc::clone(&callers).run_crash_caller());
    if let Some(load) = LargeJobs::of(schedule) {
        tokio::spawn(Arc::clone(&callers).run_large_trainer(load));
    }
    callers
}

/// Starts a replica of a service, with a proxy in front of it if [`is_behind_proxy`] holds.
async fn start_replica(
    store: &Arc<Store>,
    service: &'static str,
    number: usize,
) -> std::io::Result<(Arc<RestartingReplica>, Option<Proxy>)> {
    let name = format!("soak-{service}-{number}");
    let listener = RestartingReplica::listen().await;
    let address = listener.local_addr()?;
    let proxy = match is_behind_proxy(number) {
        true => Some(Proxy::start(address).await?),
        false => None,
    };
    let registered_address = proxy.as_ref().map_or(address, |proxy| proxy.address);
    let replica = RestartingReplica::start_at(
        store,
        service,
        &name,
        CRASH_BODY,
        listener,
        registered_address,
    );
    Ok((replica, proxy))
}
