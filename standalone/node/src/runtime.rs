//! Start and stop of a node: its sockets, threads and queues.

use crate::attempts;
use crate::catalogue_store::{CatalogueStore, CatalogueStoreError};
use crate::decisions::{self, Outputs};
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

/// Threads that serve HTTP callers.
const HTTP_THREADS: usize = 2;
/// Capacity of the queue of the decisions thread, in events.
const EVENT_QUEUE: usize = 8_192;
/// Capacity of the queue of the peers thread, in messages.
const PEER_QUEUE: usize = 8_192;
/// Capacity of the queue of calls to engines and to the store, in actions.
const ACTION_QUEUE: usize = 4_096;
/// Capacity of the queue of the disk thread, in configurations; only the newest one is written.
const DISK_QUEUE: usize = 4;
/// Time between two checks whether the drain is complete.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(50);
/// Time for which a drained node stays a member, two probe periods of the membership, so that its
/// peers learn from the node itself that it leaves.
const LEAVE_DELAY: Duration = Duration::from_millis(1_000);

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

/// A running node; dropping it stops its threads without a drain.
pub struct Node {
    name: String,
    http: SocketAddr,
    peers: SocketAddr,
    handle: Handle,
    stop: watch::Sender<bool>,
    stopping: Arc<AtomicBool>,
    serving: Option<tokio::task::JoinHandle<()>>,
    runtime: Option<Runtime>,
    threads: Vec<JoinHandle<()>>,
}

impl Node {
    /// Binds the sockets and starts the threads of a node.
    ///
    /// # Errors
    /// A key cannot be read, an address cannot be bound, a thread cannot be started, or the data
    /// folder cannot be used.
    pub fn start(settings: &Settings, parameters: Parameters) -> Result<Self, StartError> {
        let sealer = read_sealer(settings)?;
        let sockets = Sockets::bind(settings)?;
        let origin = Instant::now();
        let (events, event_queue) = sync_channel(EVENT_QUEUE);
        let (peer_sender, outgoing) = mpsc::channel(PEER_QUEUE);
        let (actions, action_queue) = mpsc::channel(ACTION_QUEUE);
        let (view, view_receiver) = watch::channel(Arc::new(View::default()));
        let (stop, stopped) = watch::channel(false);
        let handle = Handle::new(events.clone(), view_receiver);
        let traffic = Arc::<Traffic>::default();
        let mut threads = Vec::new();

        let (disk, stored) = open_disk(settings, &mut threads)?;
        let local_member = local_member(settings, sockets.peers_address);
        let control = Control::new(local_member, settings.seeds.clone(), stored, parameters);
        let outputs = Outputs {
            peers: peer_sender,
            actions,
            disk,
            handle: handle.clone(),
            view,
        };
        let stopping = Arc::new(AtomicBool::new(false));
        let stop_flag = Arc::clone(&stopping);
        threads.push(spawn(&settings.name, "decisions", move || {
            decisions::run(control, &event_queue, &outputs, origin, &stop_flag);
        })?);
        let peer_traffic = Arc::clone(&traffic);
        let (peers_runtime, peer_sockets) = (sockets.peers_runtime, sockets.peers);
        threads.push(spawn(&settings.name, "peers", move || {
            let work = peers::run(peer_sockets, sealer, events, outgoing, peer_traffic);
            peers_runtime.block_on(work);
        })?);
        let runtime = sockets.runtime;
        let calls = attempts::run(action_queue, handle.clone(), settings.store, origin);
        runtime.spawn(calls);
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
            stopping,
            serving: Some(serving),
            runtime: Some(runtime),
            threads,
        })
    }

    /// Address of the HTTP server.
    pub fn http_address(&self) -> SocketAddr {
        self.http
    }

    /// Address of the protocol between nodes.
    pub fn peers_address(&self) -> SocketAddr {
        self.peers
    }

    /// Whether the node accepts requests.
    pub fn is_ready(&self) -> bool {
        self.handle.view().ready
    }

    /// Finishes the requests in flight, hands the node's work over to its peers and stops the node.
    /// Blocks until the node has stopped.
    pub fn drain(mut self) {
        log::info!("event=node_draining node={}", self.name);
        if let Some(runtime) = &self.runtime {
            runtime.block_on(self.handle.send(Event::Drain));
            // Sending fails only if the server has already stopped.
            let _ = self.stop.send(true);
            if let Some(serving) = self.serving.take() {
                // The panic hook reports a panic of the server; the drain continues.
                let _ = runtime.block_on(serving);
            }
            while !self.handle.view().drained {
                runtime.block_on(async { tokio::time::sleep(DRAIN_POLL_PERIOD).await });
            }
            runtime.block_on(async { tokio::time::sleep(LEAVE_DELAY).await });
        }
        log::info!("event=node_stopped node={}", self.name);
        self.shut_down();
        self.join_threads();
    }

    /// Stops the node at once, as a crash would, without a drain.
    pub fn kill(mut self) {
        self.shut_down();
        self.join_threads();
    }

    fn join_threads(&mut self) {
        for thread in self.threads.drain(..) {
            // The panic hook reports a panic of the thread; the remaining threads are still joined.
            let _ = thread.join();
        }
    }

    fn shut_down(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.shut_down();
    }
}

/// The bound sockets of a node and the runtimes that serve them.
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

/// The queue of the disk thread and the stored configuration; both are `None` without a data
/// folder.
type Disk = (Option<SyncSender<Arc<Catalogue>>>, Option<Catalogue>);

/// Opens the data folder, if one is configured, and starts the thread that writes to it.
fn open_disk(settings: &Settings, threads: &mut Vec<JoinHandle<()>>) -> Result<Disk, StartError> {
    let Some(folder) = &settings.data_folder else {
        return Ok((None, None));
    };
    let store = CatalogueStore::open(folder).map_err(StartError::Disk)?;
    let stored = store.catalogue();
    let (sender, queue) = sync_channel(DISK_QUEUE);
    threads.push(spawn(&settings.name, "disk", move || {
        write_to_disk(&store, &queue)
    })?);
    Ok((Some(sender), stored))
}

/// The membership entry of this node, with a new instance and incarnation.
fn local_member(settings: &Settings, address: SocketAddr) -> Member {
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

/// The first incarnation of this process: milliseconds since the Unix epoch, so that a restarted
/// process has a higher incarnation than the one before.
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

/// Writes the newest queued configuration to disk and skips older ones.
fn write_to_disk(store: &CatalogueStore, queue: &Receiver<Arc<Catalogue>>) {
    while let Ok(mut catalogue) = queue.recv() {
        while let Ok(newer) = queue.try_recv() {
            catalogue = newer;
        }
        if let Err(error) = store.save_catalogue(&catalogue) {
            log::warn!(
                "event=keep_failed revision={} error=\"{error}\"",
                catalogue.revision
            );
        }
    }
}
