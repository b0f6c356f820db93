//! The dispatcher: its state, events and actions.

use crate::demand::Demand;
use crate::jobs::JobRuns;
use crate::orders::{OrderAnswer, Orders, ReplicaReport};
use crate::placement::Placement;
use crate::replicas::Replicas;
use crate::runs::Runs;
use crate::scoring::Scorings;
use brasspond_cluster_protocol::{
    AttemptId, Pace, RunEnd, RunReport, RunSpec, ScoringEnd, ScoringSpec, StreamEvent,
};
use brasspond_fleet::{FleetView, Identity};
use brasspond_jobs::{Draft, Job, JobTable, Listing, Piece, Score};
use brasspond_units::Millis;
use brasspond_warmup::PeerClock;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// Periods and limits.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Replicas that load weights at a time, at the least.
    pub loads_at_once: usize,
    /// Share of all replicas with weights that may load at a time before anything
    /// is known of how long loads take, 0 to 1, where that is more.
    pub loading_share: f64,
    /// Replicas that load weights at a time, at the most: each load is four calls of
    /// the leader, which has part of a core.
    pub most_loads: usize,
    /// Share of a model's replicas that take each new version while nothing
    /// waits, 0 to 1; the others skip it while they still serve.
    pub fresh_share: f64,
    /// Time for edges to tell a new leader of their runs, in ms.
    pub adopt_ms: Millis,
    /// Silence of a run after which another replica goes on with it, in ms.
    pub stall_ms: Millis,
    /// A replica is slow when an event takes this many times the median.
    pub slow_factor: f64,
    /// Pause between two times at which parts of texts are kept, in ms.
    pub keep_ms: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            loads_at_once: 2,
            loading_share: 0.2,
            most_loads: 64,
            fresh_share: 0.5,
            adopt_ms: 300,
            stall_ms: 500,
            slow_factor: 1.8,
            keep_ms: 500,
        }
    }
}

/// Until when another holder's lease may forbid orders.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrderLeases {
    /// On any subject.
    pub all_until: Millis,
    /// On single subjects, by name; a replica's is its id, whichever its life.
    pub until: BTreeMap<String, Millis>,
}

impl OrderLeases {
    /// Whether another holder's lease forbids orders on a subject.
    pub fn is_leased(&self, subject: &str, now: Millis) -> bool {
        let own = self.until.get(subject).copied().unwrap_or(0);
        now < own.max(self.all_until)
    }
}

/// What the dispatcher learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// A newer view of the fleet.
    View(FleetView),
    /// A job was taken; it stands in the table.
    JobAccepted(String),
    /// A job was ended.
    JobEnded(String),
    /// A job is forgotten.
    JobForgotten(String),
    /// An item stands at its position.
    Listed {
        /// The job.
        job: String,
        /// Index of the item.
        item: u32,
    },
    /// An edge takes runs; it holds these already.
    EdgeUp {
        /// Name of its machine.
        machine: String,
        /// Its zone.
        zone: String,
        /// Region of its zone; none: unknown.
        region: Option<Arc<str>>,
        /// Runs it holds.
        runs: Vec<RunReport>,
    },
    /// An edge takes no new runs.
    EdgeDraining(String),
    /// An edge is out of reach.
    EdgeDown(String),
    /// A run made events.
    Progress {
        /// Machine of the edge that tells it.
        machine: String,
        /// The run.
        attempt: AttemptId,
        /// New events.
        events: Vec<StreamEvent>,
        /// How fast they came; none if too few did.
        pace: Option<Pace>,
    },
    /// A run ended.
    Ended {
        /// Machine of the edge that tells it.
        machine: String,
        /// The run.
        attempt: AttemptId,
        /// Events not told before.
        events: Vec<StreamEvent>,
        /// How.
        end: RunEnd,
    },
    /// The scoring of a text ended.
    Scored {
        /// Machine of the edge that tells it.
        machine: String,
        /// The run that made the text, or the order to score it.
        attempt: AttemptId,
        /// How.
        end: ScoringEnd,
    },
    /// Answer to [`Action::AskReport`]; none: no answer.
    Report {
        /// Id of the replica; the report names the life that says it.
        replica: String,
        /// What it said.
        report: Option<ReplicaReport>,
    },
    /// Answer to [`Action::Order`].
    Ordered {
        /// The replica in the life that was ordered.
        replica: Identity,
        /// What it said.
        answer: OrderAnswer,
    },
    /// A replica that warms up bears another request.
    BudgetOpened,
    /// Time passes.
    Tick,
}

/// What the dispatcher wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Have an edge run an item.
    Run {
        /// Machine of the edge.
        machine: String,
        /// What to run.
        spec: Box<RunSpec>,
    },
    /// Have an edge stop a run.
    Cancel {
        /// Machine of the edge.
        machine: String,
        /// The run.
        attempt: AttemptId,
    },
    /// Tell an edge to forget a run.
    Recorded {
        /// Machine of the edge.
        machine: String,
        /// The run.
        attempt: AttemptId,
    },
    /// Have an edge score a text that is kept.
    Score {
        /// Machine of the edge.
        machine: String,
        /// What to score.
        spec: Box<ScoringSpec>,
    },
    /// Put an item at the next position of its job.
    List(Listing),
    /// Keep parts of a text that is being made.
    Extend(Piece),
    /// Keep a whole text that waits for its score.
    Keep(Draft),
    /// Put a whole text that needs no score at the next position of its job.
    Finish(Draft),
    /// Put a kept text with its score at the next position of its job.
    ListScored(Score),
    /// A replica started again: its connections are of the life before.
    Reborn {
        /// The replica in its new life.
        replica: Identity,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Ask a replica for its state.
    AskReport {
        /// Id of the replica.
        replica: String,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Order a replica to load a version.
    Order {
        /// The replica, in the life that is known.
        replica: Identity,
        /// Where it listens.
        address: SocketAddr,
        /// The model.
        model: String,
        /// The version.
        version: u64,
        /// Orders the replica must have taken so far.
        expected_orders: u64,
        /// Runs end under their version before the replica loads; else they go
        /// on under the new one.
        runs_finish: bool,
    },
}

/// An edge that takes runs.
#[derive(Clone, Debug)]
pub(crate) struct Edge {
    pub zone: String,
    /// Region of its zone; none: unknown.
    pub region: Option<Arc<str>>,
    pub draining: bool,
    pub running: usize,
    /// When it last said anything.
    pub heard_at: Millis,
    /// Connections at rest that it keeps, by replica, as far as known; of its present life.
    pub resting: HashMap<String, usize>,
    /// Its clock, as it told it since it is up.
    pub clock: PeerClock,
}

impl Edge {
    fn new(zone: String, region: Option<Arc<str>>, now: Millis) -> Self {
        Self {
            zone,
            region,
            draining: false,
            running: 0,
            heard_at: now,
            resting: HashMap::new(),
            clock: PeerClock::default(),
        }
    }
}

/// Time without a tick after which this process stood still, in ms.
const STANDSTILL: Millis = 350;
/// Engines named in a line on the state.
const MOST_LOGGED: usize = 24;

/// What a dispatcher has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Load {
    /// Runs under way.
    pub running: usize,
    /// Items that wait.
    pub waiting: usize,
    /// Whole texts that wait for their scores.
    pub scoring: usize,
    /// Orders under way.
    pub orders: usize,
    /// Engines with their newest version, a star while they load, and runs.
    pub replicas: String,
}

impl Load {
    /// Whether there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.running + self.waiting + self.scoring + self.orders == 0
    }
}

/// See the module's page.
pub struct Dispatcher {
    pub(crate) settings: Settings,
    pub(crate) term: u64,
    pub(crate) began: Millis,
    /// When time last passed.
    ticked_at: Millis,
    /// When parts of texts were last kept.
    pub(crate) kept_at: Millis,
    pub(crate) view: FleetView,
    pub(crate) edges: BTreeMap<String, Edge>,
    pub(crate) jobs: JobRuns,
    pub(crate) runs: Runs,
    pub(crate) scorings: Scorings,
    pub(crate) replicas: Replicas,
    pub(crate) orders: Orders,
    pub(crate) placement: Placement,
    demand: Demand,
    /// Replicas are to be divided anew at the next tick: jobs of several models
    /// often come together.
    demand_changed: bool,
    pub(crate) actions: Vec<Action>,
}

impl Dispatcher {
    /// A dispatcher for a leader of `term` that has applied all of `table`.
    pub fn new(
        term: u64,
        settings: Settings,
        table: &JobTable,
        view: FleetView,
        leases: OrderLeases,
        now: Millis,
    ) -> Self {
        let mut dispatcher = Self {
            settings,
            term,
            began: now,
            ticked_at: now,
            kept_at: now,
            view: FleetView::unknown(view.needs_evacuated),
            edges: BTreeMap::new(),
            jobs: JobRuns::default(),
            runs: Runs::default(),
            scorings: Scorings::default(),
            replicas: Replicas::default(),
            orders: Orders::new(leases),
            placement: Placement::default(),
            demand: Demand::default(),
            demand_changed: false,
            actions: Vec::new(),
        };
        for (_, job) in table.jobs() {
            dispatcher.note_demand(job, now);
        }
        dispatcher.take_view(view, table, now);
        for (id, job) in table.jobs() {
            let view = &dispatcher.view;
            let kept = dispatcher.jobs.open(id, job, table, view, now);
            dispatcher.actions.extend(kept);
        }
        dispatcher
    }

    /// Takes an event; returns what is to be done.
    pub fn handle(&mut self, event: Event, table: &JobTable, now: Millis) -> Vec<Action> {
        // Orders are planned when what they depend on changes; the end of a run or an
        // item is seen at the next tick, or a large fleet would be looked through for
        // each.
        let plans_orders = matches!(
            event,
            Event::View(_)
                | Event::JobAccepted(_)
                | Event::JobEnded(_)
                | Event::Report { .. }
                | Event::Ordered { .. }
                | Event::Tick
        );
        match event {
            Event::View(view) => self.take_view(view, table, now),
            Event::JobAccepted(id) => self.open_job(&id, table, now),
            Event::JobEnded(id) => self.end_job(&id),
            Event::JobForgotten(id) => self.jobs.forget(&id),
            Event::Listed { job, item } => self.on_listed(&job, item, table),
            Event::EdgeUp {
                machine,
                zone,
                region,
                runs,
            } => {
                let edge = Edge::new(zone, region, now);
                self.edge_up(machine, edge, runs, now);
            }
            Event::EdgeDraining(machine) => {
                if let Some(edge) = self.edges.get_mut(&machine) {
                    edge.draining = true;
                }
            }
            Event::EdgeDown(machine) => self.edge_down(&machine, now),
            Event::Progress {
                machine,
                attempt,
                events,
                pace,
            } => self.on_progress(&machine, attempt, events, pace, now),
            Event::Ended {
                machine,
                attempt,
                events,
                end,
            } => self.on_ended(&machine, attempt, events, end, now),
            Event::Scored {
                machine,
                attempt,
                end,
            } => self.on_scored(&machine, attempt, end, now),
            Event::Report { replica, report } => self.on_report(&replica, report, now),
            Event::Ordered { replica, answer } => self.on_ordered(&replica, answer, now),
            // Items that wait are placed below. It is noted also where none can be yet, or the
            // process would be woken for the same budget each ms.
            Event::BudgetOpened => self.note_reopened(now),
            Event::Tick => {
                self.tick(now);
                self.forget_late_scorings(table, now);
                self.retry_withheld(table, now);
            }
        }
        if plans_orders {
            self.plan_orders(now);
        }
        self.start_runs(table, now);
        self.start_scorings(table, now);
        std::mem::take(&mut self.actions)
    }

    /// Runs under way and items that wait.
    pub fn counts(&self) -> (usize, usize) {
        (self.runs.len(), self.jobs.waiting())
    }

    /// Runs under way and items that wait, by service.
    pub fn requests_by_service(&self) -> BTreeMap<String, usize> {
        let mut requests = self.jobs.waiting_by_service();
        for run in self.runs.by_id.values() {
            if let Some(replica) = self.replicas.by_id.get(&run.replica) {
                *requests
                    .entry(replica.standing.service.to_string())
                    .or_default() += 1;
            }
        }
        requests
    }

    /// What there is to do at present.
    pub fn load(&self) -> Load {
        let mut replicas = String::new();
        let engines = self.replicas.by_id.iter();
        let engines = engines.filter(|(_, replica)| !replica.standing.versions.is_empty());
        for (id, replica) in engines.take(MOST_LOGGED) {
            let newest = replica
                .standing
                .versions
                .values()
                .max()
                .copied()
                .unwrap_or(0);
            let running = replica.running;
            let mark = if self.orders.is_busy(id) { "*" } else { "" };
            replicas.push_str(&format!("{id}:v{newest}{mark}:{running},"));
        }
        Load {
            running: self.runs.len(),
            waiting: self.jobs.waiting(),
            scoring: self.scorings.len(),
            orders: self.orders.under_way(),
            replicas,
        }
    }

    fn take_view(&mut self, view: FleetView, table: &JobTable, now: Millis) {
        let configuration_changed = view.configuration_revision != self.view.configuration_revision;
        let replicas = Arc::clone(&self.view.replicas);
        let evacuated = self.view.evacuated_part();
        self.view.merge(&view);
        let has_other_replicas = !Arc::ptr_eq(&replicas, &self.view.replicas);
        let evacuates_alike = self.view.evacuates_like(&evacuated);
        if has_other_replicas {
            self.hear_entries(now);
        }
        if has_other_replicas || configuration_changed || !evacuates_alike {
            self.replicas.take_view(&self.view, now);
        }
        if configuration_changed {
            self.jobs.resolve_routes(&self.view, table);
            self.move_inside(None, now);
        }
        self.orders.assign(&self.view, &self.demand);
        self.placement.forget();
    }

    fn open_job(&mut self, id: &str, table: &JobTable, now: Millis) {
        if let Some(job) = table.job(id) {
            let kept = self.jobs.open(id, job, table, &self.view, now);
            self.actions.extend(kept);
            self.note_demand(job, now);
            self.demand_changed = true;
        }
    }

    fn note_demand(&mut self, job: &Job, now: Millis) {
        let tokens = job.items.iter().map(|item| item.expected_tokens).sum();
        self.demand.note(&job.model, tokens, now);
    }

    fn edge_up(&mut self, machine: String, edge: Edge, runs: Vec<RunReport>, now: Millis) {
        self.abandon_untold(&machine, &runs, now);
        self.forget_untold_scorings(&machine, &runs, now);
        self.edges.insert(machine.clone(), edge);
        for report in runs {
            self.adopt(&machine, report, now);
        }
        let held = self.runs.by_id.values();
        let running = held.filter(|run| run.machine == machine).count();
        if let Some(edge) = self.edges.get_mut(&machine) {
            edge.running = running;
        }
        // Its runs may be of a leader that knew an older configuration.
        self.move_inside(Some(&machine), now);
    }

    /// An edge gave a sign of life.
    pub fn edge_heard(&mut self, machine: &str, now: Millis) {
        if let Some(edge) = self.edges.get_mut(machine) {
            edge.heard_at = now;
        }
    }

    /// Time in which this process stood still tells nothing of edges and runs.
    fn pass_over_standstill(&mut self, now: Millis) {
        let gap = now.saturating_sub(self.ticked_at);
        self.ticked_at = now;
        if gap < STANDSTILL {
            return;
        }
        log::warn!("event=stood_still gap_ms={gap}");
        for run in self.runs.by_id.values_mut() {
            run.heard_at = (run.heard_at + gap).min(now);
        }
        for edge in self.edges.values_mut() {
            edge.heard_at = (edge.heard_at + gap).min(now);
        }
    }

    fn tick(&mut self, now: Millis) {
        self.pass_over_standstill(now);
        if std::mem::take(&mut self.demand_changed) {
            self.orders.assign(&self.view, &self.demand);
            self.placement.forget();
        }
        self.settle_lives(now);
        self.replicas.renew_typical();
        self.move_from_leaving(now);
        self.move_from_slow_replicas(now);
        self.move_to_faster_replicas(now);
        self.move_stalled(now);
        self.keep_parts(now);
        self.give_up_overdue(now);
    }
}
