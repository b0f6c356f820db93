//! The event loop of an edge.

use super::balance::Balance;

use super::permits::PermitTurns;
use super::ready::Accepting;
use super::runs::{RunNews, Runs};
use super::scoring::Scorings;
use super::starting::FleetKnowledge;
use super::storage_links::StorageLinks;
use super::{front, ready};
use crate::clock::{Clock, Standstill};
use crate::evacuation::Evacuations;
use crate::link::{LinkContext, LinkEvent, TRAFFIC_PAUSE, accept_links};
use crate::platform::{Interest, Platform};
use crate::settings::EdgeSettings;
use crate::storage::ProcessError;
use crate::upstream::Pool;
use brasspond_cluster_protocol::{Message, Peer, RunSpec, Watch};
use brasspond_distance::Place;
use brasspond_eligibility::{Clearance, Unfit, Work};
use brasspond_fleet::{ConfigurationIndex, FleetView, Identity, OtherBase, Regions, ViewDelta};
use brasspond_metering::{LeaderClock, UsageRecorder};
use brasspond_quarantine::Recorder;
use brasspond_telemetry::{EdgeMetrics, LogRing};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

/// Events waiting to be handled.
const EVENT_QUEUE: usize = 4_096;
/// Pause between two looks at what time brings.
const TICK: Duration = Duration::from_millis(250);
/// Pause to the first look.
const FIRST_TICK: Duration = Duration::from_millis(110);
/// Time from the order to stop during which new connections still come.
const REMOVAL_TIME: Duration = Duration::from_millis(2_600);
/// Time for the leader to take an answer of the view's source and tell it on, beside
/// the pause of the source.
const TELLING_TIME: Duration = Duration::from_millis(300);
/// Time kept free at the end of the grace period.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// What all tasks of an edge share.
pub(super) struct Edge {
    pub settings: EdgeSettings,
    pub clock: Clock,
    pub platform: Platform,
    pub view: RefCell<FleetView>,
    /// Evacuated zones as they were last logged.
    pub evacuations: RefCell<Evacuations>,
    /// Look-ups in the view's configuration; none before one is known.
    pub index: RefCell<Option<Rc<ConfigurationIndex>>>,
    /// How much is known since this edge's start.
    pub fleet_known: tokio::sync::watch::Sender<FleetKnowledge>,
    /// The view as the leader told it; none before it told a whole one.
    pub leader_view: RefCell<Option<FleetView>>,
    /// The view some looks ago: by now the leader should have told all of it.
    seen_view: RefCell<FleetView>,
    /// Looks since then.
    looks: Cell<u32>,
    pub storage: RefCell<StorageLinks>,
    /// What links share: distances, counts.
    pub links: Rc<LinkContext>,
    /// When counts of links were last logged, in ms.
    traffic_told_at: Cell<u64>,
    /// Until when results are read at the leader only, in ms.
    pub reader_paused_until: Cell<u64>,
    pub balance: RefCell<Balance>,
    pub pool: Pool,
    pub runs: RefCell<Runs>,
    pub scorings: RefCell<Scorings>,
    /// Requests so far of routes that are divided among services, by route.
    pub counts: RefCell<HashMap<String, u64>>,
    pub run_news: mpsc::Sender<RunNews>,
    /// Something could not be told to the leader.
    pub has_lost_messages: Cell<bool>,
    pub draining: Cell<bool>,
    pub metrics: EdgeMetrics,
    /// What tenants used here; none where nobody asks for it.
    pub usage: RefCell<Option<UsageRecorder>>,
    pub leader_clock: RefCell<LeaderClock>,
    /// Contents under which replicas ended.
    pub quarantine: RefCell<Recorder>,
    pub permit_turns: RefCell<PermitTurns>,
    pub requests: Cell<usize>,
    /// Becomes true when connections are to end after their present request.
    pub closing: tokio::sync::watch::Sender<bool>,
    /// Counts the times at which all connections were to end after their present request,
    /// to make room for new ones.
    pub relief: tokio::sync::watch::Sender<u64>,
    /// Whether callers' connections can be accepted.
    pub accepting: Accepting,
}

/// Runs an edge until it is told to stop.
///
/// # Errors
/// See [`ProcessError`].
pub async fn run(
    settings: EdgeSettings,
    platform: Platform,
    log_ring: Option<LogRing>,
) -> Result<(), ProcessError> {
    let front_listener = TcpListener::bind(settings.front).await;
    let front_listener = front_listener.map_err(ProcessError::Listen)?;
    let ready_listener = TcpListener::bind(settings.ready).await;
    let ready_listener = ready_listener.map_err(ProcessError::Listen)?;
    let cluster_listener = TcpListener::bind(settings.process.cluster_address).await;
    let cluster_listener = cluster_listener.map_err(ProcessError::Listen)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(ProcessError::Listen)?;
    let mut hang_up = signal(SignalKind::hangup()).map_err(ProcessError::Listen)?;
    let (events, mut link_events) = mpsc::channel(EVENT_QUEUE);
    let (run_news, mut run_events) = mpsc::channel(EVENT_QUEUE);
    let place = Place::new(&settings.process.zone, settings.process.region.clone());
    let context = Rc::new(LinkContext::new(place));
    let hello = Peer::Edge {
        machine: settings.process.machine.clone(),
        zone: settings.process.zone.clone(),
        incarnation: rand::random(),
        region: settings.process.region.clone(),
    };
    let evacuates = settings.process.evacuates;
    let may_bootstrap = settings.process.may_bootstrap;
    let storage = StorageLinks::new(hello, may_bootstrap, events.clone(), Rc::clone(&context));
    log::info!(
        "event=started role=edge machine={} front={}",
        settings.process.machine,
        settings.front
    );
    let metering = settings.process.metering;
    let usage = metering.map(|metering| UsageRecorder::new(metering.windows));
    let edge = Rc::new(Edge {
        balance: RefCell::new(Balance::new(Rc::clone(&context))),
        settings,
        clock: Clock::default(),
        platform,
        view: RefCell::new(FleetView::unknown(evacuates)),
        evacuations: RefCell::default(),
        index: RefCell::new(None),
        fleet_known: tokio::sync::watch::Sender::new(FleetKnowledge::Nothing),
        leader_view: RefCell::new(None),
        seen_view: RefCell::new(FleetView::default()),
        looks: Cell::new(0),
        storage: RefCell::new(storage),
        links: context,
        traffic_told_at: Cell::new(0),
        reader_paused_until: Cell::new(0),
        pool: Pool::default(),
        runs: RefCell::new(Runs::default()),
        scorings: RefCell::new(Scorings::default()),
        counts: RefCell::new(HashMap::new()),
        run_news,
        has_lost_messages: Cell::new(false),
        draining: Cell::new(false),
        metrics: EdgeMetrics::default(),
        usage: RefCell::new(usage),
        leader_clock: RefCell::default(),
        quarantine: RefCell::default(),
        permit_turns: RefCell::default(),
        requests: Cell::new(0),
        closing: tokio::sync::watch::Sender::new(false),
        relief: tokio::sync::watch::Sender::new(0),
        accepting: Accepting::default(),
    });
    tokio::task::spawn_local(accept_links(
        cluster_listener,
        Rc::clone(&edge.links),
        events,
    ));
    tokio::task::spawn_local(ready::serve(Rc::clone(&edge), ready_listener));
    tokio::task::spawn_local(front::serve(Rc::clone(&edge), front_listener));
    tokio::task::spawn_local(super::member_search::find_members(Rc::clone(&edge)));
    serve_metrics(&edge, log_ring);
    let mut observed = edge.platform.observed.clone();
    edge.set_interest(edge.clock.now());
    let mut standstill = Standstill::new(edge.clock.now());
    let mut tick = tokio::time::interval_at(tokio::time::Instant::now() + FIRST_TICK, TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some(event) = link_events.recv() => edge.on_link(event),
            Some(news) = run_events.recv() => edge.on_run_news(news),
            Ok(()) = observed.changed() => {
                let seen = observed.borrow_and_update().clone();
                edge.metrics.store_reachable(seen.reachable);
                edge.apply_view(&seen.view);
                edge.report_source_evacuations();
            }
            _ = tick.tick() => {
                if let Some(gap) = standstill.look(edge.clock.now()) {
                    log::warn!("event=stood_still role=edge gap_ms={gap}");
                }
                edge.tick();
            }
            _ = hang_up.recv() => log::info!("event=reload role=edge"),
            _ = terminate.recv() => {
                edge.begin_drain();
                tokio::task::spawn_local(finish(Rc::clone(&edge)));
            }
            () = edge.drained() => {
                log::info!("event=stopped role=edge machine={}", edge.settings.process.machine);
                return Ok(());
            }
        }
    }
}

fn serve_metrics(edge: &Rc<Edge>, log_ring: Option<LogRing>) {
    if let Some(address) = edge.settings.process.metrics_address {
        let edge = Rc::clone(edge);
        let text = move || {
            let dropped = log_ring.as_ref().map_or(0, LogRing::dropped);
            edge.links.tell_metrics(&edge.metrics);
            edge.platform.observed.borrow().tell_metrics(&edge.metrics);
            edge.metrics.text(dropped)
        };
        tokio::task::spawn_local(crate::metrics_server::serve(address, Rc::new(text)));
    }
}

/// After the time in which new connections still come, ends all connections as
/// their requests end.
async fn finish(edge: Rc<Edge>) {
    tokio::time::sleep(REMOVAL_TIME).await;
    edge.closing.send_replace(true);
    let latest = edge
        .settings
        .grace
        .saturating_sub(REMOVAL_TIME + STOP_MARGIN);
    let deadline = tokio::time::Instant::now() + latest;
    while edge.requests.get() > 0 && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    edge.report_usage();
    // Answers are written by the connections' own tasks; let them finish.
    tokio::time::sleep(Duration::from_millis(100)).await;
    edge.requests.set(usize::MAX);
    edge.closing.send_replace(true);
}

impl Edge {
    fn on_link(self: &Rc<Self>, event: LinkEvent) {
        let now = self.clock.now();
        let actions = self.storage.borrow_mut().on_link(event, now);
        for action in actions {
            super::leader_messages::apply(self, action);
        }
    }

    pub(super) fn apply_view(&self, view: &FleetView) {
        let changed = self.view.borrow_mut().merge(view);
        self.after_view(changed);
    }

    /// Takes what changed at the leader, after [`Edge::apply_leader_delta`].
    pub(super) fn apply_delta(&self, delta: &ViewDelta) -> Result<(), OtherBase> {
        let told = self.leader_view.borrow();
        let changed = self.view.borrow_mut().follow(delta, told.as_ref())?;
        drop(told);
        self.after_view(changed);
        Ok(())
    }

    /// Notes what the leader told; says whether the view it tells from is known.
    pub(super) fn apply_leader_delta(&self, delta: &ViewDelta) -> bool {
        let mut told = self.leader_view.borrow_mut();
        match told.as_mut() {
            Some(view) => view.apply(delta).is_ok(),
            None => false,
        }
    }

    /// Tells the leader the view if it has not told what this edge knew some
    /// looks ago: its own calls to the source may fail while this edge's do not.
    /// (In a large fleet something has always changed since the last look.) Only edges
    /// that the leader has watch for it do: where hundreds had no leader for a while, all
    /// know something newer, and as many whole views of thousands of replicas at once are
    /// more than a leader's memory holds.
    fn send_what_leader_lacks(&self) {
        if !self.storage.borrow().contact.watches_for_leader() {
            return;
        }
        self.looks.set(self.looks.get() + 1);
        if self.looks.get() < self.looks_to_be_told() {
            return;
        }
        self.looks.set(0);
        let view = self.view.borrow();
        let seen = self.seen_view.replace(view.clone());
        let told = self.leader_view.borrow();
        let lacks = told.as_ref().is_some_and(|told| seen.has_news_for(told));
        if lacks && let Some(leader) = self.storage.borrow().contact.leader() {
            log::info!(
                "event=leader_told configuration={} replicas_revision={} versions_revision={}",
                view.configuration_revision,
                view.replicas_revision,
                view.versions_revision
            );
            leader.writer.send(&Message::View(view.clone()));
        }
    }

    /// Looks after which the leader should have told what this edge knows.
    fn looks_to_be_told(&self) -> u32 {
        let time = self.settings.process.source_pause + TELLING_TIME;
        time.as_millis().div_ceil(TICK.as_millis()) as u32
    }

    /// Whether a run that the leader ordered may go to its replica by what this edge knows:
    /// a leader that was just elected may know an old view.
    ///
    /// # Errors
    /// Why it may not. A replica that is gone from a view newer than the leader's is leaving.
    pub(super) fn clear_run(&self, spec: &RunSpec) -> Result<Clearance, Unfit> {
        let view = self.view.borrow();
        let balance = self.balance.borrow();
        let Some(standing) = balance.standing(&spec.replica) else {
            if !view.knows_evacuated() {
                return Err(Unfit::ZoneUnknown);
            }
            let told = self.leader_view.borrow();
            let told_revision = told.as_ref().map_or(0, |told| told.replicas_revision);
            if view.replicas_revision > told_revision {
                return Err(Unfit::Draining);
            }
            let clearance = Clearance::of_leader(&spec.replica, spec.address);
            return Ok(clearance.sent_by(spec.send_by));
        };
        let regions = self.regions_of(spec);
        let permit = self.permit_of(spec);
        standing.clear(&Work {
            service: &standing.service,
            regions: &regions,
            weights: None,
            is_quarantined: false,
            now: self.clock.now(),
            permit: permit.as_ref(),
        })
    }

    /// Where an item may run, by the newest configuration known here.
    pub(super) fn regions_of(&self, spec: &RunSpec) -> Regions {
        let index = self.index.borrow();
        let route = index.as_ref().and_then(|index| {
            let route = index.route(&spec.host, &spec.path)?;
            Some(
                index
                    .configuration()
                    .regions_of(route, spec.tenant.as_deref()),
            )
        });
        route.unwrap_or_default()
    }

    /// Watches the view's source as long as that is wanted.
    fn set_interest(&self, now: u64) {
        let watch = self.storage.borrow_mut().contact.wanted_watch(now);
        let wanted = match watch {
            Watch::Nothing => Interest::NONE,
            Watch::Fleet => Interest {
                configuration: true,
                replicas: true,
                evacuations: true,
                ..Interest::NONE
            },
            Watch::Everything => Interest::ALL,
        };
        self.platform.interest.send_if_modified(|interest| {
            let changes = *interest != wanted;
            *interest = wanted;
            changes
        });
    }

    /// Looks through a configuration that is new.
    fn renew_index(&self) {
        let Some(configuration) = self.view.borrow().configuration.clone() else {
            return;
        };
        let index = self.index.borrow().clone();
        if index.is_none_or(|index| !Arc::ptr_eq(index.configuration(), &configuration)) {
            log::info!(
                "event=configuration_in_force version={} revision={} routes={} tenants={}",
                configuration.version,
                self.view.borrow().configuration_revision,
                configuration.routes.len(),
                configuration.tenants.len()
            );
            let index = ConfigurationIndex::new(configuration);
            self.index.replace(Some(Rc::new(index)));
        }
    }

    fn after_view(&self, changed: bool) {
        if changed {
            self.renew_index();
            self.announce_fleet_known();
            self.apply_replicas();
        }
    }

    fn apply_replicas(&self) {
        let view = self.view.borrow();
        let change = self
            .balance
            .borrow_mut()
            .apply_view(&view, self.clock.now());
        self.record_reborn(&change.reborn);
        self.observe_evacuations(&view);
        let ready_before = change.ready_before;
        let ready = self.balance.borrow().ready();
        if ready_before != ready {
            log::info!(
                "event=replicas_known revision={} all={} ready={ready} before={ready_before}",
                view.replicas_revision,
                view.replicas.len()
            );
        }
    }

    /// A lower life counts after [`brasspond_fleet::SET_BACK_MS`] also where no entry changes
    /// meanwhile.
    fn reconcile_lives(&self) {
        let is_uncertain = self.balance.borrow().is_uncertain();
        if is_uncertain {
            self.apply_replicas();
        }
    }

    /// Connections at rest to a life that is over are closed: one whose break was not seen
    /// costs a request its time-out.
    fn record_reborn(&self, reborn: &[(Identity, SocketAddr)]) {
        for (replica, address) in reborn {
            log::info!(
                "event=replica_reborn replica={} life={} seen_by=edge",
                replica.id,
                replica.life
            );
            self.pool.forget(*address);
        }
        self.metrics.replicas_reborn(reborn.len());
    }

    fn tick(self: &Rc<Self>) {
        let now = self.clock.now();
        self.storage.borrow_mut().tick(self.clock.wall(), now);
        self.reconcile_lives();
        self.set_interest(now);
        self.send_what_leader_lacks();
        self.repeat_lost_messages();
        self.report_progress();
        self.report_usage();
        self.quarantine.borrow_mut().tick(now);
        self.pool.close_old();
        self.permit_turns.borrow_mut().forget_idle();
        if now >= self.traffic_told_at.get() + TRAFFIC_PAUSE {
            self.traffic_told_at.set(now);
            self.links.log_traffic();
        }
    }

    fn begin_drain(self: &Rc<Self>) {
        if self.draining.replace(true) {
            return;
        }
        log::info!("event=stopping role=edge requests={}", self.requests.get());
        self.hand_over_runs();
        self.hand_over_scorings();
    }

    async fn drained(&self) {
        let mut closing = self.closing.subscribe();
        loop {
            if self.requests.get() == usize::MAX {
                return;
            }
            if closing.changed().await.is_err() {
                return;
            }
        }
    }
}
