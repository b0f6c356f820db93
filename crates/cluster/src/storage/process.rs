//! The event loop of a storage process.
//!
//! Owns [`Storage`], the state of the process, on a single thread. Each turn of the loop (one
//! iteration) handles events and then finishes the work that follows from them ([`super::turn`]).

use super::disk::Disk;
use super::group::Group;
use super::leader::LeaderState;
use super::links::Links;
use super::local::{LocalEvent, LocalSender};
use super::monitor::Monitor;
use super::order_log::{LastAnnouncements, last_holder};
use super::proposals::Proposals;
use super::questions::Questions;
use super::record::Record;
use super::search::RecordSearch;
use super::snapshots::read_table;
use super::texts::Texts;
use crate::clock::{Clock, Moment};
use crate::link::{LinkContext, LinkEvent, accept_links};
use crate::platform::{Interest, Observed, Platform, ReplicaListing};
use crate::settings::StorageSettings;
use crate::upstream::Pool;
use brasspond_consensus::{Consensus, Member, Persisted, Timing};
use brasspond_distance::Place;
use brasspond_durable::{OpenedLog, RecordLog, RecordLogError, TextFiles};
use brasspond_fleet::FleetView;
use brasspond_jobs::JobTable;
use brasspond_telemetry::{LogRing, StorageMetrics};
use brasspond_units::Millis;
use displaydoc::Display;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

/// Capacity of the event queues. With many texts in flight an event is a message of tens of KB, so
/// a longer queue would take a large part of a machine's memory.
const MAX_QUEUED_EVENTS: usize = 1_024;
/// Maximum number of queued link events handled in a turn: many, so that one disk sync serves them
/// all, but few enough that none waits long for the sync.
const MAX_TURN_EVENTS: usize = 256;
/// Maximum time for which a stopping leader waits until another process leads: more than the
/// shortest election timeout, and less than the time after which the process is killed.
const STOP_TIMEOUT: Millis = 1_000;

/// Errors that end a process.
#[derive(Debug, Display)]
pub enum ProcessError {
    /// cannot listen on an address or for signals: {0}
    Listen(std::io::Error),
    /// cannot read or write the log: {0}
    Disk(RecordLogError),
    /// cannot decode or encode logged state: {0}
    Table(String),
    /// cannot write or read the texts of ended jobs: {0}
    Texts(std::io::Error),
}

impl std::error::Error for ProcessError {}

/// State of a storage process.
pub(super) struct Storage {
    pub settings: StorageSettings,
    /// This process as a member of the group.
    pub own: Member,
    pub clock: Clock,
    pub platform: Platform,

    /// Consensus on the log.
    pub consensus: Consensus,
    /// State that results from the applied entries: jobs, quarantine cases, usage and the copy of
    /// the view.
    pub table: JobTable,
    /// The last announced order on each subject.
    pub last_announcements: LastAnnouncements,
    /// The file of the log.
    pub disk: Disk,
    /// Texts of ended jobs outside the table.
    pub texts: Texts,

    /// The newest view known to this process.
    pub view: FleetView,
    /// Whether the view's source answers this process.
    pub source_answers: bool,
    /// Progress of listing the replicas at the view's source.
    pub replica_listing: ReplicaListing,
    /// Whether the log has a copy of the view that is not yet merged into `view`.
    pub has_newer_copy: bool,

    /// Links to edges and other storage processes.
    pub links: Links,
    /// Connections to replicas.
    pub pool: Pool,
    /// Other storage processes.
    pub group: Group,
    /// Pending questions that change a job.
    pub proposals: Proposals,
    /// Pending questions about results.
    pub questions: Questions,
    /// State of the leader, or `None` if this process is not the leader.
    pub leader_state: Option<LeaderState>,
    /// Sends events from tasks of this process to its event loop.
    pub local: LocalSender,

    pub metrics: Rc<StorageMetrics>,
    pub monitor: Monitor,
    /// When [`Storage::finish_turn`] last cleaned up texts and connections, or 0 if never.
    pub cleaned_at: Millis,
    /// When this process received the signal to stop.
    stopping_since: Option<Millis>,
}

/// Runs a storage process until it receives the signal to stop.
///
/// # Errors
/// See [`ProcessError`].
pub async fn run(
    settings: StorageSettings,
    platform: Platform,
    log_ring: Option<LogRing>,
) -> Result<(), ProcessError> {
    // Binds first, so that a second start of this process leaves the files alone.
    let listener = TcpListener::bind(settings.process.cluster_address).await;
    let listener = listener.map_err(ProcessError::Listen)?;
    let mut texts = TextFiles::open(&settings.folder).map_err(ProcessError::Texts)?;
    let opened = RecordLog::open_with(&settings.folder, rand::random(), |reader| {
        read_table(reader, &mut texts)
    });
    let opened = opened.map_err(ProcessError::Disk)?;
    let (events, mut link_events) = mpsc::channel(MAX_QUEUED_EVENTS);
    let (local, mut local_events) = mpsc::channel(MAX_QUEUED_EVENTS);
    let mut terminate = signal(SignalKind::terminate()).map_err(ProcessError::Listen)?;
    let mut hang_up = signal(SignalKind::hangup()).map_err(ProcessError::Listen)?;
    let mut observed = platform.observed.clone();
    let local = LocalSender::new(local);
    let mut storage = Storage::new(settings, platform, opened, texts, events, local)?;
    storage.begin(listener, log_ring);
    storage.finish_turn()?;
    loop {
        let wake = storage.next_wake().saturating_sub(storage.clock.now());
        tokio::select! {
            Some(event) = link_events.recv() => storage.on_link(event),
            Some(event) = local_events.recv() => storage.on_local(event),
            Ok(()) = observed.changed() => {
                let seen = observed.borrow_and_update().clone();
                storage.on_observed(&seen);
            }
            _ = terminate.recv() => storage.begin_stop(),
            _ = hang_up.recv() => log::info!("event=reload role=storage"),
            () = tokio::time::sleep(Duration::from_millis(wake.max(1))) => {}
        }
        let started = Moment::now();
        storage.handle_queued(&mut link_events, &mut local_events);
        storage.finish_turn()?;
        storage.observe_turn(started.elapsed());
        if storage.may_stop() {
            log::info!("event=stopped role=storage machine={}", storage.own.machine);
            return Ok(());
        }
    }
}

impl Storage {
    /// Restores a process from its disk.
    fn new(
        settings: StorageSettings,
        platform: Platform,
        opened: OpenedLog<JobTable>,
        texts: TextFiles,
        events: mpsc::Sender<LinkEvent>,
        local: LocalSender,
    ) -> Result<Self, ProcessError> {
        let clock = Clock::default();
        let now = clock.now();
        let OpenedLog {
            log,
            id,
            mut persisted,
        } = opened;
        let process = &settings.process;
        let own = Member {
            id,
            machine: process.machine.clone(),
            address: process.cluster_address,
            zone: process.zone.clone(),
            region: process.region.clone(),
        };
        let context = Rc::new(LinkContext::new(Place::new(&own.zone, own.region.clone())));
        let table = take_table(&mut persisted);
        let last_announcements = match &persisted.snapshot {
            Some(_) => LastAnnouncements::after_snapshot(now),
            None => LastAnnouncements::complete(),
        };
        let search = RecordSearch::new(process.may_bootstrap, rand::random(), now);
        Ok(Self {
            texts: Texts::new(texts, &table),
            view: FleetView::unknown(process.supports_evacuation),
            consensus: restore_consensus(&own, &log, persisted, now)?,
            settings,
            own,
            clock,
            platform,
            table,
            last_announcements,
            disk: Disk::new(log, rand::random()),
            source_answers: true,
            replica_listing: ReplicaListing::default(),
            has_newer_copy: false,
            links: Links::new(context, events),
            pool: Pool::default(),
            group: Group::new(Record::new(search)),
            proposals: Proposals::default(),
            questions: Questions::default(),
            leader_state: None,
            local,
            metrics: Rc::new(StorageMetrics::default()),
            monitor: Monitor::default(),
            cleaned_at: 0,
            stopping_since: None,
        })
    }

    /// Accepts links, connects to the members in the log and serves metrics.
    fn begin(&mut self, listener: TcpListener, log_ring: Option<LogRing>) {
        let context = Rc::clone(&self.links.context);
        let accepting = accept_links(listener, context, self.links.events.clone());
        tokio::task::spawn_local(accepting);
        log::info!(
            "event=started role=storage machine={} member={:016x} term={} last_index={} file_bytes={}",
            self.own.machine,
            self.own.id,
            self.consensus.term(),
            self.consensus.last_index(),
            self.disk.bytes()
        );
        self.platform.interest.send_replace(Interest::NONE);
        self.merge_view_copy();
        self.dial_members();
        self.serve_metrics(log_ring);
    }

    /// Handles queued events, of which at most [`MAX_TURN_EVENTS`] are link events.
    fn handle_queued(
        &mut self,
        link_events: &mut mpsc::Receiver<LinkEvent>,
        local_events: &mut mpsc::Receiver<LocalEvent>,
    ) {
        for _ in 0..MAX_TURN_EVENTS {
            match link_events.try_recv() {
                Ok(event) => self.on_link(event),
                // The queue is empty; it never closes, since this process holds a sender.
                Err(_) => break,
            }
        }
        while let Ok(event) = local_events.try_recv() {
            self.on_local(event);
        }
    }

    fn on_observed(&mut self, seen: &Observed) {
        self.source_answers = seen.reachable;
        self.replica_listing = seen.listing;
        if self.view.merge(&seen.view) {
            self.view_changed();
        }
    }

    /// Begins to stop this process. A leader transfers its leadership and waits until another
    /// process leads.
    fn begin_stop(&mut self) {
        let leads = self.consensus.is_leader();
        log::info!("event=stopping role=storage leads={leads}");
        if leads {
            self.consensus.transfer_leadership();
        }
        self.stopping_since = Some(self.clock.now());
    }

    fn may_stop(&self) -> bool {
        let Some(since) = self.stopping_since else {
            return false;
        };
        !self.consensus.is_leader() || self.clock.now() >= since + STOP_TIMEOUT
    }
}

/// Takes the table out of the snapshot. Returns an empty table if the log has no snapshot.
fn take_table(persisted: &mut Persisted<JobTable>) -> JobTable {
    let snapshot = persisted.snapshot.as_mut();
    snapshot.map_or_else(JobTable::default, |one| std::mem::take(&mut one.state))
}

/// Restores the consensus member from its disk. If another holder announced the last order, this
/// member delays its candidacy so that another wins the first election. After a restart of all
/// processes, the last holder can send orders at once, and any other must wait for its lease.
fn restore_consensus(
    own: &Member,
    log: &RecordLog,
    persisted: Persisted<JobTable>,
    now: Millis,
) -> Result<Consensus, ProcessError> {
    let holder = last_holder(log, persisted.entries.last_index()).map_err(ProcessError::Disk)?;
    let mut consensus = Consensus::new(own.id, persisted, Timing::default(), rand::random(), now);
    if holder.is_some_and(|holder| holder != own.machine) {
        consensus.delay_early_election(now);
    }
    Ok(consensus)
}

#[cfg(test)]
#[path = "../../tests/unit/storage/mod.rs"]
mod tests;
