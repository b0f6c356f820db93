//! The leader's work in each turn of the event loop: starts and ends leadership, passes events to
//! the dispatcher, executes its actions and runs periodic tasks.
//!
//! Owns [`LeaderState`], which lasts for one term of leadership; the next leader rebuilds it from
//! the log and the view of the fleet. Leadership starts only after all committed entries are
//! applied.

use super::announcing::Announcements;
use super::collecting::PendingResults;
use super::copying::ViewCopySchedule;
use super::edges::Edges;
use super::leader_rules::other_holder_lease;
use super::listing::InitialListing;
use super::ordering::AnnouncedOrder;
use super::process::Storage;
use crate::evacuation::Evacuations;
use crate::platform::{Interest, VersionOrder};
use brasspond_autoscaling::Autoscaler;
use brasspond_cluster_protocol::Message;
use brasspond_consensus::{EntryId, READ_LEASE};
use brasspond_dispatch::{Action, Dispatcher, Event, OrderLeases, Settings};
use brasspond_metering::{FleetClock, Metering};
use brasspond_quarantine::{Fingerprint, QuarantineController};
use brasspond_replica_load::LoadBoard;
use brasspond_units::Millis;
use std::collections::{BTreeSet, HashMap};

/// Interval between the leader's ticks, each of which runs its periodic tasks.
pub(super) const LEADER_TICK: Millis = 100;
/// Interval between log lines on the dispatcher's state.
const STATE_LOG_INTERVAL: Millis = 1_000;

/// State of a leader. Times are of this process's monotonic clock.
pub(super) struct LeaderState {
    /// Term in which this process leads.
    pub term: u64,
    /// Assigns items to edges and replicas, and decides which versions replicas load.
    pub dispatcher: Dispatcher,
    /// Leases that other storage processes obtained by announcing orders. A lease covers the
    /// subject of an order, for example a replica, or all subjects. Until it expires, this leader
    /// sends no orders on these subjects.
    pub leases: OrderLeases,
    /// Orders announced in the log, by entry, with the time of the announcement.
    pub announced_orders: HashMap<EntryId, (AnnouncedOrder, Millis)>,
    /// Registered edges, and edges that are disconnected or unreachable.
    pub edges: Edges,
    /// When the leader was last announced to edges, and the view last sent to them.
    pub announcements: Announcements,
    /// Evacuated zones as last logged.
    pub evacuations: Evacuations,
    /// Results of items that are not yet proposed to the log.
    pub results: PendingResults,
    /// State of the initial listing of replicas from the source of the view.
    pub initial_listing: InitialListing,
    /// Schedule of copies of the view into the log.
    pub view_copies: ViewCopySchedule,
    /// When this leader first saw each job.
    pub job_first_seen: HashMap<String, Millis>,
    /// Fleet-wide time, estimated from the wall clocks of all machines.
    pub clock: FleetClock,
    /// Counts the usage of tenants, or `None` if usage is not metered.
    pub metering: Option<Metering>,
    /// Decides which request contents are quarantined.
    pub quarantine_controller: QuarantineController,
    /// Request contents whose quarantine cases changed since edges were last sent the cases.
    pub unsent_contents: BTreeSet<Fingerprint>,
    /// What edges observed at replicas.
    pub load_board: LoadBoard,
    /// Decides how many replicas each service has.
    pub autoscaler: Autoscaler,
    /// When the autoscaler last planned, or the start of leadership before its first plan.
    pub planned_at: Millis,
    /// When the state of warming replicas was last logged, or 0 if never.
    pub warming_logged_at: Millis,
    /// When the last tick ran, or the start of leadership before the first tick.
    ticked_at: Millis,
    /// When the dispatcher's state was last logged, or 0 if never.
    state_logged_at: Millis,
}

impl Storage {
    /// Starts or ends leadership according to consensus, and runs the leader's tasks.
    pub(super) fn update_leadership(&mut self, now: Millis) {
        if !self.consensus.is_leader() {
            self.end_leadership();
            self.search_group(now);
            return;
        }
        if !self.leads_current_term() {
            self.end_leadership();
            self.begin_leadership(now);
        }
        self.announce_leader(now);
        self.observe_listing(now);
        self.send_view(now);
        self.send_quarantine();
        if self.is_tick_due(now) {
            self.tick_leader(now);
        }
        self.place_on_warming_replicas(now);
    }

    /// Whether the state of this leader is of the current term. A process may lose its leadership and
    /// be elected again within one turn.
    fn leads_current_term(&self) -> bool {
        let leader_state = self.leader_state.as_ref();
        leader_state.is_some_and(|leader_state| leader_state.term == self.consensus.term())
    }

    /// Enables placing, and the sending of replicas to edges, once the initial listing is complete
    /// or has timed out.
    fn observe_listing(&mut self, now: Millis) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if !leader_state
            .initial_listing
            .observe(self.replica_listing, now)
        {
            return;
        }
        leader_state.dispatcher.set_placement_enabled(true);
        leader_state.announcements.state.is_changed = true;
        log::info!(
            "event=replicas_listed term={} listed={} waited_ms={} revision={}",
            leader_state.term,
            self.replica_listing.is_complete,
            leader_state.initial_listing.elapsed(now),
            self.view.replicas_revision
        );
    }

    /// Runs the periodic tasks of the leader, in a fixed order.
    fn tick_leader(&mut self, now: Millis) {
        self.announce_to_storage(self.consensus.term(), now);
        self.share_replica_loads(now);
        self.reconcile_members(now);
        self.reconcile_record(now);
        self.remove_failed_edges(now);
        self.dispatch(Event::Tick);
        self.tick_usage(now);
        self.tick_quarantine(now);
        self.plan_replicas(now);
        self.copy_view(now);
        self.remove_expired_jobs(now);
        self.log_state(now);
        self.report_warming(now);
    }

    /// Whether this process leads and a quorum answered recently, so that no other process can be
    /// the leader now.
    pub(super) fn is_confirmed_leader(&self, now: Millis) -> bool {
        self.consensus.has_quorum_contact(READ_LEASE, now)
    }

    fn is_tick_due(&mut self, now: Millis) -> bool {
        match &mut self.leader_state {
            Some(leader_state) if now >= leader_state.ticked_at + LEADER_TICK => {
                leader_state.ticked_at = now;
                true
            }
            _ => false,
        }
    }

    fn end_leadership(&mut self) {
        if self.leader_state.take().is_some() {
            log::info!("event=leadership_lost term={}", self.consensus.term());
            self.metrics.warming_replicas(0);
            self.metrics.shared_replica_loads(0);
            self.platform.interest.send_replace(Interest::NONE);
        }
    }

    /// Starts leadership once an entry of this term is committed and all committed entries are
    /// applied.
    fn begin_leadership(&mut self, now: Millis) {
        let is_caught_up = self.consensus.is_established()
            && self.consensus.applied_index() == self.consensus.commit_index();
        if !is_caught_up {
            return;
        }
        log::info!(
            "event=leadership_won term={} members={} jobs={}",
            self.consensus.term(),
            self.consensus.members().len(),
            self.table.jobs().count()
        );
        self.refresh_evacuations();
        self.metrics.leadership();
        self.links.edges_lack_view = true;
        self.platform.interest.send_replace(Interest::ALL);
        self.leader_state = Some(self.new_leader_state(now));
        self.handle_evacuation_changes(now);
        self.announce_leader(now);
    }

    fn new_leader_state(&self, now: Millis) -> LeaderState {
        let term = self.consensus.term();
        let lease_ms = other_holder_lease(self.settings.lease_ms);
        let leases = self.last_announcements.leases(&self.own.machine, lease_ms);
        let settings = Settings::default();
        let view = self.view.clone();
        let metering = self.settings.process.metering;
        let initial_listing = InitialListing::new(self.replica_listing, now);
        let mut dispatcher =
            Dispatcher::new(term, settings, &self.table, view, leases.clone(), now);
        dispatcher.set_placement_enabled(!initial_listing.is_pending());
        LeaderState {
            term,
            dispatcher,
            leases,
            announced_orders: HashMap::new(),
            edges: Edges::default(),
            announcements: Announcements::new(self.view.clone()),
            evacuations: Evacuations::default(),
            results: PendingResults::default(),
            initial_listing,
            view_copies: ViewCopySchedule::new(&self.view, now),
            job_first_seen: HashMap::new(),
            clock: FleetClock::default(),
            metering: metering.map(|metering| Metering::new(metering, now)),
            quarantine_controller: QuarantineController::default(),
            unsent_contents: BTreeSet::new(),
            load_board: LoadBoard::default(),
            autoscaler: Autoscaler::default(),
            planned_at: now,
            warming_logged_at: 0,
            ticked_at: now,
            state_logged_at: 0,
        }
    }

    /// Passes an event to the dispatcher and executes the actions it returns. No effect if this
    /// process is not the leader.
    pub(super) fn dispatch(&mut self, event: Event) {
        let now = self.clock.now();
        let is_confirmed = self.is_confirmed_leader(now);
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state
            .dispatcher
            .set_confirmed_leader(is_confirmed, now);
        let actions = leader_state.dispatcher.handle(event, &self.table, now);
        for action in actions {
            self.apply_action(action);
        }
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Run { machine, spec } => {
                self.send_to_edge(&machine, |registration| Message::Run { registration, spec });
            }
            Action::Cancel { machine, attempt } => {
                let term = self.consensus.term();
                self.send_to_edge(&machine, |_| Message::Cancel { term, attempt });
            }
            Action::Recorded { machine, attempt } => {
                self.send_to_edge(&machine, |_| Message::Recorded { attempt });
            }
            Action::Score { machine, spec } => {
                self.send_to_edge(&machine, |registration| Message::Score {
                    registration,
                    spec,
                });
            }
            Action::List(listing) => self.add_result(|results| results.listings.push(listing)),
            Action::Extend(piece) => self.add_result(|results| results.pieces.push(piece)),
            Action::Finish(draft) => self.add_result(|results| results.finished.push(draft)),
            Action::Keep(draft) => self.add_result(|results| results.drafts.push(draft)),
            Action::ListScored(score) => self.add_result(|results| results.scores.push(score)),
            Action::ReplicaRestarted { replica, address } => {
                self.on_replica_restarted(&replica, address)
            }
            Action::RequestReport { replica, address } => self.request_report(replica, address),
            Action::Order {
                replica,
                address,
                model,
                version,
                expected_orders,
                runs_finish,
            } => {
                let order = VersionOrder {
                    model,
                    version,
                    holder: self.own.machine.clone(),
                    fence: self.consensus.term(),
                    expected_orders,
                    runs_finish,
                    replica,
                    address,
                };
                self.announce_order(AnnouncedOrder::Version(order));
            }
        }
    }

    /// Adds a result to those that are proposed to the log before the next disk sync.
    fn add_result(&mut self, add: impl FnOnce(&mut PendingResults)) {
        if let Some(leader_state) = &mut self.leader_state {
            add(&mut leader_state.results);
        }
    }

    /// Numbers of running and of waiting items; zero if this process is not the leader.
    pub(super) fn item_counts(&self) -> (usize, usize) {
        let leader_state = self.leader_state.as_ref();
        leader_state.map_or((0, 0), |leader_state| leader_state.dispatcher.counts())
    }

    /// Logs the dispatcher's state every [`STATE_LOG_INTERVAL`] unless the dispatcher is idle.
    fn log_state(&mut self, now: Millis) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let workload = leader_state.dispatcher.workload();
        if now < leader_state.state_logged_at + STATE_LOG_INTERVAL || workload.is_idle() {
            return;
        }
        leader_state.state_logged_at = now;
        log::info!(
            "event=dispatch_state term={} edges={} running={} waiting={} scoring={} orders={} replicas={} configuration={} replicas_revision={} versions_revision={}",
            leader_state.term,
            leader_state.edges.count(),
            workload.running,
            workload.waiting,
            workload.scoring,
            workload.orders,
            workload.replicas,
            self.view.configuration_revision,
            self.view.replicas_revision,
            self.view.versions_revision
        );
    }
}
