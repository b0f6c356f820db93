//! Assembly of a node: threads, rings and sockets.

use crate::attempts;
use crate::catalogue_store::{CatalogueStore, CatalogueStoreError};
use crate::decisions::{self, Outlets};
use crate::handle::Handle;
use crate::metrics::Metrics;
use crate::peers::{self, Traffic};
use crate::server::Server;
use crate::service_replicas::ServiceReplicas;
use crate::view::View;
use brasspond_control::{Control, Event, Parameters};
use brasspond_http::{Limits, serve};
use brasspond_membership::{Instance, Member, MemberState};
use brasspond_protocol::Sealer;
use brasspond_resource::Catalogue;
use brasspond_settings::{Settings, read_key};
use brasspond_types::NodeName;
use displaydoc::Display;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::{mpsc, watch};

/// Threads that serve callers; the decisions have a thread of their own. Not measured.
const HTTP_THREADS: usize = 2;
/// Events waiting for the decisions thread; not measured.
const EVENT_RING: usize = 8_192;
/// Messages waiting for the peers thread, as many as events; not measured.
const PEER_RING: usize = 8_192;
/// Actions waiting to be applied; not measured.
const EFFECT_RING: usize = 4_096;
/// Configurations waiting for the disk: only the newest is kept, so a short ring is enough.
const DISK_RING: usize = 4;
/// Time between two checks whether a draining node is done; not measured.
const DRAIN_STEP: Duration = Duration::from_millis(50);
/// Time a draining node stays a member after its last work, so that peers hear of its leaving
/// from itself: two probe periods of the membership.
const LINGER: Duration = Duration::from_millis(1_000);

/// Why a node cannot start.
#[derive(Debug, Display)]
pub enum StartError {
    /// a key cannot be read: {0}
    Key(std::io::Error),
    /// an address cannot be bound: {0}
    Bind(std::io::Error),
    /// a thread cannot be started: {0}
    Thread(std::io::Error),
    /// the data folder cannot be used: {0}
    Disk(CatalogueStoreError),
}

impl std::error::Error for StartError {}

/// A running node.
pub struct Node {
    name: String,
    http: SocketAddr,
    peers: SocketAddr,
    handle: Handle,
    stop: watch::Sender<bool>,
    ended: Arc<AtomicBool>,
    serving: Option<tokio::task::JoinHandle<()>>,
    runtime: Option<Runtime>,
    threads: Vec<JoinHandle<()>>,
}

impl Node {
    /// Starts a node on threads of its own.
    ///
    /// # Errors
    /// A key, an address or the data folder cannot be used.
    pub fn start(settings: &Settings, parameters: Parameters) -> Result<Self, StartError> {
        let sealer = read_sealer(settings)?;
        let sockets = Sockets::bind(settings)?;
        let origin = Instant::now();
        let (events, event_ring) = sync_channel(EVENT_RING);
        let (peer_ring, outgoing) = mpsc::channel(PEER_RING);
        let (effects, effect_ring) = mpsc::channel(EFFECT_RING);
        let (view, seen) = watch::channel(Arc::new(View::default()));
        let (stop, stopped) = watch::channel(false);
        let handle = Handle::new(events.clone(), seen);
        let traffic = Arc::<Traffic>::default();
        let mut threads = Vec::new();

        let (disk, kept) = open_disk(settings, &mut threads)?;
        let myself = myself(settings, sockets.peers_address);
        let control = Control::new(myself, settings.seeds.clone(), kept, parameters);
        let outlets = Outlets {
            peers: peer_ring,
            effects,
            disk,
            handle: handle.clone(),
            view,
        };
        let ended = Arc::new(AtomicBool::new(false));
        let end = Arc::clone(&ended);
        threads.push(spawn(&settings.name, "decisions", move || {
            decisions::run(control, &event_ring, &outlets, origin, &end);
        })?);
        let peer_traffic = Arc::clone(&traffic);
        let (peers_runtime, peer_sockets) = (sockets.peers_runtime, sockets.peers);
        threads.push(spawn(&settings.name, "peers", move || {
            let work = peers::run(peer_sockets, sealer, events, outgoing, peer_traffic);
            peers_runtime.block_on(work);
        })?);
        let runtime = sockets.runtime;
        let effects = attempts::run(effect_ring, handle.clone(), settings.store, origin);
        runtime.spawn(effects);
        let server = server(settings, &handle, traffic);
        let handler = move |request, _peer: SocketAddr| Arc::clone(&server).handle(request);
        let limits = http_limits(settings);
        let serving = runtime.spawn(serve(sockets.listener, limits, handler, stopped));
        let (http, peers_address) = (sockets.http_address, sockets.peers_address);
        log::info!(
            "event=node_started node={} http={http} peers={peers_address}",
            settings.name
        );
        Ok(Self {
            name: settings.name.clone(),
            http,
            peers: peers_address,
            handle,
            stop,
            ended,
            serving: Some(serving),
            runtime: Some(runtime),
            threads,
        })
    }

    /// Address for callers.
    pub fn http_address(&self) -> SocketAddr {
        self.http
    }

    /// Address of the inner protocol.
    pub fn peers_address(&self) -> SocketAddr {
        self.peers
    }

    /// Whether the node takes work.
    pub fn is_ready(&self) -> bool {
        self.handle.view().ready
    }

    /// Ends all requests under way, hands over what it owns, and stops.
    pub fn drain(mut self) {
        log::info!("event=node_draining node={}", self.name);
        if let Some(runtime) = &self.runtime {
            runtime.block_on(self.handle.send(Event::Drain));
            // Nobody listens any more: the server has ended already.
            let _ = self.stop.send(true);
            if let Some(serving) = self.serving.take() {
                // A panic of the server is printed where it happens; the stop goes on.
                let _ = runtime.block_on(serving);
            }
            while !self.handle.view().drained {
                runtime.block_on(async { tokio::time::sleep(DRAIN_STEP).await });
            }
            runtime.block_on(async { tokio::time::sleep(LINGER).await });
        }
        log::info!("event=node_stopped node={}", self.name);
        self.end();
        self.end_threads();
    }

    /// Stops at once, as a crash would: nothing is finished or handed over.
    pub fn kill(mut self) {
        self.end();
        self.end_threads();
    }

    fn end_threads(&mut self) {
        for thread in self.threads.drain(..) {
            // A panic of the thread is printed where it happens; the stop goes on.
            let _ = thread.join();
        }
    }

    fn end(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.end();
    }
}

/// The sockets of a node with the threads that serve them.
struct Sockets {
    runtime: Runtime,
    listener: TcpListener,
    http_address: SocketAddr,
    peers_runtime: Runtime,
    peers: peers::Sockets,
    peers_address: SocketAddr,
}

impl Sockets {
    fn bind(settings: &Settings) -> Result<Self, StartError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(HTTP_THREADS)
            .thread_name(format!("{}-http", settings.name))
            .enable_all()
            .build()
            .map_err(StartError::Thread)?;
        let peers_runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(StartError::Thread)?;
        let listener = runtime
            .block_on(TcpListener::bind(settings.http))
            .map_err(StartError::Bind)?;
        let peers = peers_runtime
            .block_on(peers::bind(settings.peers))
            .map_err(StartError::Bind)?;
        let http_address = listener.local_addr().map_err(StartError::Bind)?;
        let peers_address = peers.frames.local_addr().map_err(StartError::Bind)?;
        Ok(Self {
            runtime,
            listener,
            http_address,
            peers_runtime,
            peers,
            peers_address,
        })
    }
}

fn read_sealer(settings: &Settings) -> Result<Sealer, StartError> {
    let keys = settings.key_files.iter().map(|file| read_key(file));
    let keys: Result<Vec<_>, _> = keys.collect();
    Ok(Sealer::new(keys.map_err(StartError::Key)?))
}

/// Where configurations are sent to be kept, and the one that was kept; neither without a folder.
type Disk = (Option<SyncSender<Arc<Catalogue>>>, Option<Catalogue>);

/// Opens the data folder, if there is one, and starts the thread that writes it.
fn open_disk(settings: &Settings, threads: &mut Vec<JoinHandle<()>>) -> Result<Disk, StartError> {
    let Some(folder) = &settings.data_folder else {
        return Ok((None, None));
    };
    let state = CatalogueStore::open(folder).map_err(StartError::Disk)?;
    let kept = state.catalogue();
    let (sender, ring) = sync_channel(DISK_RING);
    threads.push(spawn(&settings.name, "disk", move || {
        keep_on_disk(&state, &ring)
    })?);
    Ok((Some(sender), kept))
}

/// This node as a member, in a process of its own.
fn myself(settings: &Settings, address: SocketAddr) -> Member {
    Member {
        name: NodeName::new(&settings.name),
        address,
        locality: settings.locality.clone(),
        instance: Instance(rand::random()),
        incarnation: start_incarnation(),
        state: MemberState::Alive,
    }
}

fn server(settings: &Settings, handle: &Handle, traffic: Arc<Traffic>) -> Arc<Server> {
    Arc::new(Server {
        handle: handle.clone(),
        limits: settings.limits.clone(),
        services: ServiceReplicas::default(),
        metrics: Arc::new(Metrics::new(traffic)),
    })
}

fn http_limits(settings: &Settings) -> Limits {
    Limits {
        connections: settings.limits.connections,
        header_bytes: settings.limits.header_bytes,
        header_time: Duration::from_millis(settings.limits.header_milliseconds),
        ..Limits::default()
    }
}

/// A restarted process must be newer to its peers than the one before it.
fn start_incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(1, |time| time.as_millis() as u64)
}

fn spawn(
    node: &str,
    duty: &str,
    work: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, StartError> {
    let name = format!("{node}-{duty}");
    let builder = std::thread::Builder::new().name(name);
    builder.spawn(work).map_err(StartError::Thread)
}

/// Keeps the newest configuration that waits; older ones are passed over.
fn keep_on_disk(state: &CatalogueStore, ring: &Receiver<Arc<Catalogue>>) {
    while let Ok(mut catalogue) = ring.recv() {
        while let Ok(newer) = ring.try_recv() {
            catalogue = newer;
        }
        if let Err(error) = state.keep_catalogue(&catalogue) {
            log::warn!(
                "event=keep_failed revision={} error=\"{error}\"",
                catalogue.revision
            );
        }
    }
}
