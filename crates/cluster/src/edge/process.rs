//! The edge process: shared state, event loop and periodic tick.

use super::balance::LoadBalancer;
use super::draining::Callers;
use super::fleet_view::FleetState;
use super::hedging::HedgeBudgets;
use super::permits::PermitLocks;
use super::request_body::Bodies;
use super::runs::{JobTasks, RunUpdate};
use super::slow_reader::SlowReaders;
use super::storage_links::StorageLinks;
use super::usage::UsageReporter;
use super::{front, leader_messages, member_search, ready};
use crate::clock::{Clock, SuspensionDetector};
use crate::link::{LinkContext, LinkEvent, TRAFFIC_LOG_INTERVAL_MS, accept_links};
use crate::platform::Platform;
use crate::settings::{EdgeSettings, ProcessSettings};
use crate::storage::ProcessError;
use crate::upstream::Pool;
use brasspond_cluster_protocol::{
    EDGE_REPORT_INTERVAL, FEATURE_NO_MEMORY, FEATURE_REPLICA_LOADS, FEATURE_VIEW_CATCH_UP, Peer,
};
use brasspond_distance::Place;
use brasspond_metering::UsageRecorder;
use brasspond_quarantine::QuarantineRecorder;
use brasspond_telemetry::{EdgeMetrics, LogRing};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::{Instant, Interval, MissedTickBehavior};

/// Capacity of each of the event loop's two channels, which carry events of links and updates of
/// runs. Senders wait while a channel is full.
const EVENT_CHANNEL_CAPACITY: usize = 4_096;
/// Interval of the tick, which also reports the progress of runs to the leader.
pub(super) const EDGE_TICK: Duration = Duration::from_millis(EDGE_REPORT_INTERVAL);
/// Delay of the first tick, just after the 100 ms in which a starting edge waits for the leader's
/// view before it watches the view's source.
const FIRST_TICK: Duration = Duration::from_millis(110);

/// State shared by all tasks of an edge.
pub(super) struct Edge {
    pub settings: EdgeSettings,
    pub clock: Clock,
    pub platform: Platform,
    pub metrics: EdgeMetrics,
    pub fleet: FleetState,
    pub callers: Callers,
    /// Callers' connections whose answers wait to be read.
    pub slow_readers: Rc<SlowReaders>,
    /// Bodies of requests and answers.
    pub bodies: Bodies,
    /// Links to storage processes and the contact with the leader.
    pub storage: RefCell<StorageLinks>,
    /// Distances and counters shared by all links.
    pub link_context: Rc<LinkContext>,
    /// When the traffic of links was last logged, in ms.
    traffic_logged_at: Cell<u64>,
    pub balancer: RefCell<LoadBalancer>,
    /// When observations of replicas were last reported, in ms.
    pub observations_reported_at: Cell<u64>,
    pub pool: Pool,
    pub jobs: JobTasks,
    /// Request counters of routes that split traffic between services, by route.
    pub route_counts: RefCell<HashMap<String, u64>>,
    pub usage: UsageReporter,
    /// Detected ends of replicas, by content, and the quarantined contents.
    pub quarantine: RefCell<QuarantineRecorder>,
    pub permit_locks: RefCell<PermitLocks>,
    pub hedge_budgets: RefCell<HedgeBudgets>,
}

/// Listeners of an edge.
struct Listeners {
    front: TcpListener,
    ready: TcpListener,
    cluster: TcpListener,
}

/// Event sources of the event loop.
struct Events {
    links: mpsc::Receiver<LinkEvent>,
    runs: mpsc::Receiver<RunUpdate>,
    terminate: Signal,
    hang_up: Signal,
}

impl Listeners {
    async fn bind(settings: &EdgeSettings) -> Result<Self, ProcessError> {
        Ok(Self {
            front: listen_for_callers(settings.caller_address).await?,
            ready: listen(settings.readiness_address).await?,
            cluster: listen(settings.process.cluster_address).await?,
        })
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, ProcessError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(ProcessError::Listen)
}

/// Listens for callers, whose sockets hold a bounded number of bytes that are not read yet.
async fn listen_for_callers(address: SocketAddr) -> Result<TcpListener, ProcessError> {
    let listener = listen(address).await?;
    crate::socket::limit_unread_bytes(&listener);
    Ok(listener)
}

/// Runs an edge until it has drained after a termination signal.
///
/// # Errors
/// See [`ProcessError`].
pub async fn run(
    settings: EdgeSettings,
    platform: Platform,
    log_ring: Option<LogRing>,
) -> Result<(), ProcessError> {
    let listeners = Listeners::bind(&settings).await?;
    let terminate = signal(SignalKind::terminate()).map_err(ProcessError::Listen)?;
    let hang_up = signal(SignalKind::hangup()).map_err(ProcessError::Listen)?;
    let (link_events, links) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
    let (run_updates, runs) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
    log::info!(
        "event=started role=edge machine={} front={}",
        settings.process.machine,
        settings.caller_address
    );
    let edge = Rc::new(Edge::new(
        settings,
        platform,
        link_events.clone(),
        run_updates,
    ));
    spawn_servers(&edge, listeners, link_events, log_ring);
    let events = Events {
        links,
        runs,
        terminate,
        hang_up,
    };
    handle_events(&edge, events).await;
    log::info!(
        "event=stopped role=edge machine={}",
        edge.settings.process.machine
    );
    Ok(())
}

fn spawn_servers(
    edge: &Rc<Edge>,
    listeners: Listeners,
    link_events: mpsc::Sender<LinkEvent>,
    log_ring: Option<LogRing>,
) {
    tokio::task::spawn_local(accept_links(
        listeners.cluster,
        Rc::clone(&edge.link_context),
        link_events,
    ));
    tokio::task::spawn_local(ready::serve(Rc::clone(edge), listeners.ready));
    tokio::task::spawn_local(front::serve(Rc::clone(edge), listeners.front));
    tokio::task::spawn_local(member_search::find_members(Rc::clone(edge)));
    serve_metrics(edge, log_ring);
}

/// Runs the event loop until the edge has drained.
async fn handle_events(edge: &Rc<Edge>, mut events: Events) {
    let mut observed = edge.platform.observed.clone();
    edge.set_interest(edge.clock.now());
    let mut suspension = SuspensionDetector::new(edge.clock.now());
    let mut tick = tick_interval();
    loop {
        tokio::select! {
            Some(event) = events.links.recv() => edge.on_link(event),
            Some(update) = events.runs.recv() => edge.on_run_update(update),
            Ok(()) = observed.changed() => {
                let observation = observed.borrow_and_update().clone();
                edge.metrics.store_reachable(observation.reachable);
                edge.apply_view(&observation.view);
                edge.report_source_evacuations();
            }
            _ = tick.tick() => {
                if let Some(gap) = suspension.tick(edge.clock.now()) {
                    log::warn!("event=stood_still role=edge gap_ms={gap}");
                }
                edge.tick();
            }
            _ = events.hang_up.recv() => log::info!("event=reload role=edge"),
            _ = events.terminate.recv() => {
                edge.begin_drain();
                tokio::task::spawn_local(Rc::clone(edge).finish_drain());
            }
            () = edge.drained() => return,
        }
    }
}

fn tick_interval() -> Interval {
    let mut tick = tokio::time::interval_at(Instant::now() + FIRST_TICK, EDGE_TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    tick
}

fn serve_metrics(edge: &Rc<Edge>, log_ring: Option<LogRing>) {
    if let Some(address) = edge.settings.process.metrics_address {
        let edge = Rc::clone(edge);
        let text = move || {
            // Without a ring buffer no log lines are dropped.
            let dropped = log_ring.as_ref().map_or(0, LogRing::dropped);
            edge.link_context.update_metrics(&edge.metrics);
            edge.platform
                .observed
                .borrow()
                .update_metrics(&edge.metrics);
            edge.metrics.text(dropped)
        };
        tokio::task::spawn_local(crate::metrics_server::serve(address, Rc::new(text)));
    }
}

/// The introduction that an edge sends on its links.
fn hello(process: &ProcessSettings) -> Peer {
    Peer::Edge {
        machine: process.machine.clone(),
        zone: process.zone.clone(),
        incarnation: rand::random(),
        region: process.region.clone(),
        features: FEATURE_REPLICA_LOADS | FEATURE_VIEW_CATCH_UP | FEATURE_NO_MEMORY,
    }
}

impl Edge {
    fn new(
        settings: EdgeSettings,
        platform: Platform,
        link_events: mpsc::Sender<LinkEvent>,
        run_updates: mpsc::Sender<RunUpdate>,
    ) -> Self {
        let process = &settings.process;
        let place = Place::new(&process.zone, process.region.clone());
        let link_context = Rc::new(LinkContext::new(place));
        let storage = StorageLinks::new(
            hello(process),
            process.may_bootstrap,
            link_events,
            Rc::clone(&link_context),
        );
        let recorder = process
            .metering
            .map(|metering| UsageRecorder::new(metering.windows));
        Self {
            fleet: FleetState::new(process.supports_evacuation),
            callers: Callers::default(),
            slow_readers: Rc::new(SlowReaders::new(process.memory_limit)),
            bodies: Bodies::new(process.memory_limit),
            storage: RefCell::new(storage),
            balancer: RefCell::new(LoadBalancer::new(Rc::clone(&link_context))),
            observations_reported_at: Cell::new(0),
            link_context,
            traffic_logged_at: Cell::new(0),
            pool: Pool::default(),
            jobs: JobTasks::new(run_updates),
            route_counts: RefCell::default(),
            usage: UsageReporter::new(recorder),
            quarantine: RefCell::default(),
            permit_locks: RefCell::default(),
            hedge_budgets: RefCell::default(),
            clock: Clock::default(),
            metrics: EdgeMetrics::default(),
            platform,
            settings,
        }
    }

    fn on_link(self: &Rc<Self>, event: LinkEvent) {
        let now = self.clock.now();
        let actions = self.storage.borrow_mut().on_link(event, now);
        for action in actions {
            leader_messages::apply(self, action);
        }
    }

    fn tick(self: &Rc<Self>) {
        let now = self.clock.now();
        self.storage.borrow_mut().tick(self.clock.wall(), now);
        self.reconcile_lives();
        self.set_interest(now);
        self.update_stale_leader();
        self.resend_state_after_loss();
        self.report_progress();
        self.report_usage();
        self.quarantine.borrow_mut().tick(now);
        self.pool.close_expired();
        self.slow_readers.sweep(now);
        self.metrics.held_bytes(self.slow_readers.held_bytes());
        self.metrics.claimed_body_bytes(self.bodies.claimed_bytes());
        self.permit_locks.borrow_mut().forget_idle();
        self.exchange_replica_loads(now);
        if now >= self.traffic_logged_at.get() + TRAFFIC_LOG_INTERVAL_MS {
            self.traffic_logged_at.set(now);
            self.link_context.log_traffic();
        }
    }
}
