//! The event loop of a storage process.

use super::group::Group;
use super::leading::Leading;
use super::load::LoopLoad;
use super::order_log::{OrderLog, last_holder};
use super::questions::Questions;
use super::search::RecordSearch;
use super::texts::EndedJobs;
use crate::clock::{Clock, Moment};
use crate::link::{LinkContext, LinkEvent, LinkId, TRAFFIC_PAUSE, Writer, accept_links};
use crate::platform::{Interest, OperationsAnswer, Platform};
use crate::settings::StorageSettings;
use crate::upstream::Pool;
use brasspond_autoscaling::ScaleOrder;
use brasspond_cluster_protocol::{Message, Peer};
use brasspond_consensus::{Consensus, Member, MemberId, Persisted, Timing};
use brasspond_dispatch::Event;
use brasspond_distance::Place;
use brasspond_durable::{RecordLog, RecordLogError, TextFiles};
use brasspond_fleet::FleetView;
use brasspond_jobs::JobTable;
use brasspond_metering::WindowNumber;
use brasspond_telemetry::{LogRing, StorageMetrics, StorageState};
use displaydoc::Display;
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

/// Events waiting to be handled: messages of tens of KB each where many texts pass, so
/// that more of them would be a large part of a machine's memory.
const EVENT_QUEUE: usize = 1_024;
/// Events handled between two syncs of the disk.
const BATCH: usize = 256;
/// Pause between two looks at what time brings, in ms.
const TICK: u64 = 100;
/// Pause between two counts of all jobs for metrics, in ms.
const COUNT_PAUSE: u64 = 500;
/// Bytes of log kept in memory for followers that are a little behind.
const LOG_MEMORY: usize = 256 * 1024;
/// Bytes of entries read from disk for one message.
const HISTORY_BYTES: u64 = 512 * 1024;
/// Bytes of the file after which it is begun anew with a snapshot, at the least.
const LONGEST_FILE: u64 = 96 * 1024 * 1024;
/// Bytes of commands applied before others are heard again: a few ms of work.
const APPLIED_BYTES: usize = 128 * 1024;
/// A turn of the loop that takes longer has a line in the log: nobody hears this process
/// meanwhile, and after three times as long others seek a leader.
const LONG_TURN: Duration = Duration::from_millis(200);
/// Time for which committed entries are applied before others are heard again. A
/// member with a long log to apply is silent for no longer, far less than an election.
const APPLYING_TIME: Duration = Duration::from_millis(30);

/// Why a process cannot run.
#[derive(Debug, Display)]
pub enum ProcessError {
    /// an address cannot be listened on: {0}
    Listen(std::io::Error),
    /// the log cannot be kept: {0}
    Disk(RecordLogError),
    /// the log cannot be read: {0}
    Table(String),
    /// texts of ended jobs cannot be kept or read: {0}
    Texts(std::io::Error),
}

impl std::error::Error for ProcessError {}

/// What a task of this process found out.
pub(super) enum Local {
    /// For the dispatcher of this term.
    Dispatch(u64, Event),
    /// The report of a usage window was sent in this term.
    UsageSent(u64, WindowNumber, OperationsAnswer),
    /// Replicas were ordered in this term.
    ReplicasOrdered(u64, ScaleOrder, OperationsAnswer),
    /// What the group's record says, and how long reading it took.
    Record(Option<crate::platform::GroupRecord>, Duration),
    /// The group's record was made.
    RecordMade,
    /// The group's record is as this leader wants it.
    RecordWritten(Vec<Member>),
    /// The status of a retirement was written.
    RetirementReported(String, bool),
    /// A call to the registry failed.
    RegistryFailed,
}

/// By which tasks of this process tell what they found out.
#[derive(Clone)]
pub(super) struct LocalSender(mpsc::Sender<Local>);

impl LocalSender {
    /// Tells it, once there is room. A process whose loop has ended hears nothing more.
    pub async fn send(&self, event: Local) {
        if self.0.send(event).await.is_err() {
            log::info!("event=local_event_lost reason=the_process_ends");
        }
    }
}

/// A link as this process sees it.
pub(super) struct LinkState {
    pub writer: Writer,
    pub peer: Option<Peer>,
    pub heard_at: u64,
    /// Newest term in which it was sent that this process leads; 0: never, or the members changed
    /// since.
    pub announced_term: u64,
    /// It holds the view that was last sent to all.
    pub has_view: bool,
    /// It was sent all contents under which replicas ended.
    pub has_quarantine: bool,
}

impl LinkState {
    /// Whether an edge is at its other end.
    pub fn is_edge(&self) -> bool {
        matches!(self.peer, Some(Peer::Edge { .. }))
    }
}

/// All of a storage process.
pub(super) struct Storage {
    pub settings: StorageSettings,
    pub own: Member,
    pub clock: Clock,
    pub platform: Platform,
    pub consensus: Consensus,
    pub table: JobTable,
    pub view: FleetView,
    /// Whether the view's source answers this process.
    pub source_answers: bool,
    pub links: HashMap<LinkId, LinkState>,
    pub group: Group,
    pub questions: Questions,
    pub leading: Option<Leading>,
    /// Some edge was not sent who leads, or holds no view.
    pub edges_lack_view: bool,
    /// Some edge was not sent all contents under which replicas ended.
    pub edges_lack_quarantine: bool,
    pub order_log: OrderLog,
    /// Connections to replicas at rest.
    pub pool: Pool,
    pub text_files: TextFiles,
    pub ended_jobs: EndedJobs,
    /// The log keeps a view that this process has not taken yet.
    pub has_new_remembered: bool,
    pub local: LocalSender,
    pub events: mpsc::Sender<LinkEvent>,
    /// What links share: distances, counts.
    pub context: Rc<LinkContext>,
    /// When counts of links were last logged, in ms.
    traffic_told_at: u64,
    pub metrics: Rc<StorageMetrics>,
    /// For whoever asks for metrics; renewed from time to time.
    pub state: Rc<Cell<StorageState>>,
    /// How busy this process is.
    pub load: LoopLoad,
    /// When the jobs were last counted for `state`.
    counted_at: u64,
    disk: RecordLog,
    /// Bytes of the file after which it is begun anew.
    longest_file: u64,
    /// When texts were last written to the disk.
    put_away_at: u64,
    /// Time that the disk took in this turn of the loop.
    synced: Duration,
    stopping: Option<u64>,
}

/// Runs a storage process until it is told to stop.
///
/// # Errors
/// See [`ProcessError`].
pub async fn run(
    settings: StorageSettings,
    platform: Platform,
    log_ring: Option<LogRing>,
) -> Result<(), ProcessError> {
    let opened = RecordLog::open(&settings.folder, rand::random()).map_err(ProcessError::Disk)?;
    let listener = TcpListener::bind(settings.process.cluster_address).await;
    let listener = listener.map_err(ProcessError::Listen)?;
    let (events, mut link_events) = mpsc::channel(EVENT_QUEUE);
    let (local, mut local_events) = mpsc::channel(EVENT_QUEUE);
    let mut terminate = signal(SignalKind::terminate()).map_err(ProcessError::Listen)?;
    let mut hang_up = signal(SignalKind::hangup()).map_err(ProcessError::Listen)?;
    let mut observed = platform.observed.clone();
    let mut storage = Storage::new(settings, platform, opened.log, opened.id, opened.kept)?;
    let accepting = accept_links(listener, Rc::clone(&storage.context), events.clone());
    tokio::task::spawn_local(accepting);
    storage.events = events;
    storage.local = LocalSender(local);
    log::info!(
        "event=started role=storage machine={} member={:016x} term={} last_index={}",
        storage.own.machine,
        storage.own.id,
        storage.consensus.term(),
        storage.consensus.last_index()
    );
    storage.begin();
    storage.serve_metrics(log_ring);
    storage.settle()?;
    loop {
        let now = storage.clock.now();
        let wake = storage.next_wake().saturating_sub(now).max(1);
        tokio::select! {
            Some(event) = link_events.recv() => storage.on_link(event),
            Some(event) = local_events.recv() => storage.on_local(event),
            Ok(()) = observed.changed() => {
                let seen = observed.borrow_and_update().clone();
                storage.source_answers = seen.reachable;
                storage.on_observed(&seen.view);
            }
            _ = terminate.recv() => storage.begin_stop(),
            _ = hang_up.recv() => log::info!("event=reload role=storage"),
            () = tokio::time::sleep(Duration::from_millis(wake)) => {}
        }
        let begun = Moment::now();
        for _ in 0..BATCH {
            match link_events.try_recv() {
                Ok(event) => storage.on_link(event),
                Err(_) => break,
            }
        }
        while let Ok(event) = local_events.try_recv() {
            storage.on_local(event);
        }
        storage.settle()?;
        storage.note_work(begun.elapsed());
        if storage.may_stop() {
            log::info!("event=stopped role=storage machine={}", storage.own.machine);
            return Ok(());
        }
    }
}

impl Storage {
    fn new(
        settings: StorageSettings,
        platform: Platform,
        disk: RecordLog,
        id: MemberId,
        kept: Persisted,
    ) -> Result<Self, ProcessError> {
        let clock = Clock::default();
        let table = match &kept.snapshot {
            Some(snapshot) => JobTable::decode(&snapshot.state)
                .map_err(|error| ProcessError::Table(error.to_string()))?,
            None => JobTable::default(),
        };
        let own = Member {
            id,
            machine: settings.process.machine.clone(),
            address: settings.process.cluster_address,
            zone: settings.process.zone.clone(),
            region: settings.process.region.clone(),
        };
        let place = Place::new(&own.zone, own.region.clone());
        let context = Rc::new(LinkContext::new(place));
        let now = clock.now();
        let text_files = TextFiles::open(&settings.folder).map_err(ProcessError::Texts)?;
        let order_log = match &kept.snapshot {
            Some(_) => OrderLog::unknown(now),
            None => OrderLog::whole(),
        };
        let holder = last_holder(&kept.entries);
        let seed = rand::random();
        let mut consensus = Consensus::new(id, kept, Timing::default(), seed, now);
        if holder.is_some_and(|holder| holder != own.machine) {
            // Its orders go on at once, those of another wait for its lease.
            consensus.wait_for_another(now);
        }
        let (events, _) = mpsc::channel(1);
        let (local, _) = mpsc::channel(1);
        let ended_jobs = EndedJobs::of(&table);
        let evacuates = settings.process.evacuates;
        let search = RecordSearch::new(settings.process.may_bootstrap, rand::random(), now);
        Ok(Self {
            settings,
            own,
            clock,
            platform,
            consensus,
            table,
            view: FleetView::unknown(evacuates),
            source_answers: true,
            links: HashMap::new(),
            group: Group::new(search),
            questions: Questions::default(),
            leading: None,
            edges_lack_view: false,
            edges_lack_quarantine: false,
            order_log,
            pool: Pool::default(),
            text_files,
            ended_jobs,
            has_new_remembered: false,
            local: LocalSender(local),
            events,
            context,
            traffic_told_at: 0,
            metrics: Rc::new(StorageMetrics::default()),
            state: Rc::default(),
            load: LoopLoad::default(),
            counted_at: 0,
            disk,
            longest_file: LONGEST_FILE,
            put_away_at: 0,
            synced: Duration::ZERO,
            stopping: None,
        })
    }

    fn begin(&mut self) {
        self.platform.interest.send_replace(Interest::NONE);
        self.take_remembered();
        self.dial_members();
    }

    fn next_wake(&self) -> u64 {
        let now = self.clock.now();
        let tick = if self.leading.is_some() {
            TICK
        } else {
            3 * TICK
        };
        if self.consensus.has_backlog() {
            return now;
        }
        let due = self.questions.next_due().unwrap_or(u64::MAX);
        let opening = self.next_opening().unwrap_or(u64::MAX);
        let due = due.min(opening);
        self.consensus.next_tick().min(now + tick).min(due)
    }

    fn on_link(&mut self, event: LinkEvent) {
        let now = self.clock.now();
        match event {
            LinkEvent::Up {
                link, writer, peer, ..
            } => {
                if peer.is_some() {
                    writer.send(&Message::Hello(Peer::Storage(self.own.clone())));
                }
                let state = LinkState {
                    writer,
                    peer: None,
                    heard_at: now,
                    announced_term: 0,
                    has_view: false,
                    has_quarantine: false,
                };
                self.links.insert(link, state);
                if let Some(peer) = peer {
                    self.on_hello(link, peer);
                }
            }
            LinkEvent::Message { link, message } => self.on_message(link, message, now),
            LinkEvent::Down { link, .. } => self.on_link_down(link, now),
            LinkEvent::Refused { address } => self.on_refused(address, now),
        }
    }

    fn on_message(&mut self, link: LinkId, message: Message, now: u64) {
        if let Some(state) = self.links.get_mut(&link) {
            state.heard_at = now;
        }
        match message {
            Message::Hello(peer) => self.on_hello(link, peer),
            Message::Consensus { from, to, message } => {
                self.group.heard(from, now);
                if to == self.own.id {
                    self.consensus.receive(from, message, now);
                }
            }
            Message::NeedView => {
                if let Some(state) = self.links.get_mut(&link) {
                    state.has_view = false;
                    self.edges_lack_view = true;
                }
            }
            Message::Ask { number, question } => self.on_question(link, number, question),
            Message::Leading { members, .. } => {
                self.group.led(now);
                self.learn_members(&members);
            }
            Message::Beat { .. } if self.is_storage_link(link) => self.group.led(now),
            other => self.on_edge_message(link, other),
        }
    }

    fn is_storage_link(&self, link: LinkId) -> bool {
        let state = self.links.get(&link);
        state.is_some_and(|state| matches!(state.peer, Some(Peer::Storage(_))))
    }

    fn on_refused(&mut self, address: std::net::SocketAddr, now: u64) {
        let leader = self.consensus.leader();
        let members = self.consensus.members();
        let refused = members.iter().find(|member| member.address == address);
        if let Some(refused) = refused
            && leader == Some(refused.id)
        {
            let id = refused.id;
            log::info!("event=leader_ended member={id:016x} address={address}");
            self.consensus.leader_ended(id, now);
        }
    }

    fn on_observed(&mut self, view: &FleetView) {
        if self.view.merge(view) {
            self.view_changed();
        }
    }

    /// Notes how long a turn of the loop took; a busy process stops packing.
    fn note_work(&mut self, took: Duration) {
        let now = self.clock.now();
        let synced = std::mem::take(&mut self.synced);
        if took >= LONG_TURN {
            log::warn!(
                "event=turn_slow took_ms={} disk_ms={} leads={}",
                took.as_millis(),
                synced.as_millis(),
                self.leading.is_some()
            );
        }
        if self.load.worked(took.as_micros() as u64, now) {
            let is_busy = self.load.is_busy();
            log::info!(
                "event=load_changed busy={is_busy} leads={}",
                self.leading.is_some()
            );
            brasspond_compression::pause_packing(is_busy);
        }
    }

    /// Lets time pass, then writes, sends and applies until nothing is left.
    fn settle(&mut self) -> Result<(), ProcessError> {
        let now = self.clock.now();
        let begun = Moment::now();
        self.consensus.tick(now);
        self.lead(now);
        loop {
            self.propose_collected();
            self.consensus.replicate(now);
            let ready = self.consensus.take_ready();
            let must_sync = ready.must_sync();
            if must_sync {
                let hard_state = self.consensus.hard_state();
                let begun = Moment::now();
                self.disk
                    .keep(&ready, hard_state)
                    .map_err(ProcessError::Disk)?;
                self.synced += begun.elapsed();
                self.metrics.sync(begun.elapsed().as_secs_f64());
            }
            if let Some(snapshot) = &ready.snapshot {
                let table = JobTable::decode(&snapshot.state)
                    .map_err(|error| ProcessError::Table(error.to_string()))?;
                self.replace_table(table)?;
                self.order_log = OrderLog::unknown(now);
                log::info!("event=snapshot_installed index={}", snapshot.index);
            }
            self.consensus.persisted(self.consensus.last_index());
            let has_messages = !ready.messages.is_empty();
            for (to, message) in ready.messages {
                self.send_to_member(to, message);
            }
            for (member, next) in ready.history_wanted {
                self.send_history(member, next, now)?;
            }
            let committed = self.consensus.take_committed(APPLIED_BYTES);
            let has_committed = !committed.is_empty();
            for entry in committed {
                self.apply(entry)?;
            }
            self.answer_waiting(now);
            let is_long = self.consensus.has_backlog() && begun.elapsed() >= APPLYING_TIME;
            let is_done = !must_sync && !has_messages && !has_committed && !self.has_proposals();
            if is_long || is_done {
                break;
            }
        }
        self.send_quarantine();
        if self.has_new_remembered && !self.consensus.has_backlog() {
            self.take_remembered();
        }
        if now >= self.put_away_at + TICK && !self.consensus.has_backlog() {
            self.put_away_at = now;
            self.put_texts_away();
            self.pool.close_old();
        }
        if now >= self.traffic_told_at + TRAFFIC_PAUSE {
            self.traffic_told_at = now;
            self.context.log_traffic();
        }
        self.consensus.compact(LOG_MEMORY);
        if self.settings.process.metrics_address.is_some() {
            self.note_state(now);
        }
        if self.disk.bytes() > self.longest_file {
            self.begin_file_anew()?;
        }
        Ok(())
    }

    /// Sends a member what it lacks: entries out of the file, or a snapshot
    /// where the file begins later.
    fn send_history(&mut self, member: MemberId, next: u64, now: u64) -> Result<(), ProcessError> {
        if !self.has_free_link(member) {
            return Ok(());
        }
        let stored = self.disk.entries_from(next, HISTORY_BYTES);
        if let Some((previous_term, entries)) = stored.map_err(ProcessError::Disk)? {
            self.consensus
                .send_stored(member, previous_term, entries, now);
            return Ok(());
        }
        let snapshot = self.consensus.snapshot(self.encode_table()?);
        log::info!(
            "event=snapshot_sent member={member:016x} index={} bytes={}",
            snapshot.index,
            snapshot.state.len()
        );
        self.consensus.send_snapshot(member, snapshot, now);
        Ok(())
    }

    /// Whether a member can be reached and reads what it is sent.
    fn has_free_link(&self, member: MemberId) -> bool {
        let link = self.group.link_of(member);
        let state = link.and_then(|link| self.links.get(&link));
        state.is_some_and(|state| state.writer.waiting_bytes() == 0)
    }

    fn begin_file_anew(&mut self) -> Result<(), ProcessError> {
        let snapshot = self.consensus.snapshot(self.encode_table()?);
        let entries = self.consensus.unapplied();
        self.disk
            .rewrite(self.consensus.hard_state(), snapshot, &entries)
            .map_err(ProcessError::Disk)?;
        // A snapshot of about that size would be begun anew at once, for ever.
        self.longest_file = LONGEST_FILE.max(2 * self.disk.bytes());
        Ok(())
    }

    pub(super) fn send_to_member(&mut self, to: MemberId, message: brasspond_consensus::Message) {
        let message = Message::Consensus {
            from: self.own.id,
            to,
            message,
        };
        let link = self.group.link_of(to);
        if let Some(state) = link.and_then(|link| self.links.get(&link)) {
            state.writer.send(&message);
        }
    }

    fn serve_metrics(&self, log_ring: Option<LogRing>) {
        let Some(address) = self.settings.process.metrics_address else {
            return;
        };
        let metrics = Rc::clone(&self.metrics);
        let state = Rc::clone(&self.state);
        let context = Rc::clone(&self.context);
        let observed = self.platform.observed.clone();
        let text = move || {
            let mut state = state.get();
            state.log_lines_dropped = log_ring.as_ref().map_or(0, LogRing::dropped);
            context.tell_metrics(&*metrics);
            observed.borrow().tell_metrics(&*metrics);
            metrics.text(&state)
        };
        tokio::task::spawn_local(crate::metrics_server::serve(address, Rc::new(text)));
    }

    /// Renews what metrics tell of this process.
    fn note_state(&mut self, now: u64) {
        let mut state = self.state.get();
        if now >= self.counted_at + COUNT_PAUSE {
            self.counted_at = now;
            state.jobs = self.table.jobs().count();
            (state.running, state.waiting) = self.dispatch_load();
        }
        self.state.set(StorageState {
            term: self.consensus.term(),
            committed: self.consensus.commit_index(),
            file_bytes: self.disk.bytes(),
            voters: self.consensus.members().len(),
            leads: self.leading.is_some(),
            held_contents: self.table.quarantine().held(),
            ..state
        });
    }

    fn begin_stop(&mut self) {
        let now = self.clock.now();
        log::info!(
            "event=stopping role=storage leads={}",
            self.consensus.is_leader()
        );
        if self.consensus.is_leader() {
            self.consensus.transfer_leadership();
        }
        self.stopping = Some(now);
    }

    fn may_stop(&self) -> bool {
        const HAND_OVER_MS: u64 = 1_000;
        let Some(since) = self.stopping else {
            return false;
        };
        !self.consensus.is_leader() || self.clock.now() >= since + HAND_OVER_MS
    }
}
