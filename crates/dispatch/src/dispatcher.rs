//! State of the dispatcher and routing of events to the modules that handle them.
//!
//! [`Dispatcher`] owns all state on which the leader's decisions depend, one struct per concern.
//! The other modules add `impl Dispatcher` blocks that make the decisions.

use crate::action::Action;
use crate::demand::Demand;
use crate::edges::Edge;
use crate::event::Event;
use crate::jobs::JobRuns;
use crate::leases::OrderLeases;
use crate::orders::Orders;
use crate::placement::ReplicaQueues;
use crate::replicas::Replicas;
use crate::runs::Runs;
use crate::scoring::Scorings;
use crate::timeouts;
use brasspond_fleet::FleetView;
use brasspond_jobs::{Job, JobTable};
use brasspond_units::Millis;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Configurable parameters of the dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time for edges to report their runs to a new leader, in ms. The leader starts no runs in
    /// this time, as it would start unreported ones twice. Edges report every 250 ms.
    pub adopt_ms: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self { adopt_ms: 300 }
    }
}

/// Schedules items on replicas; see the crate's documentation.
pub struct Dispatcher {
    settings: Settings,
    pub(crate) term: u64,
    /// When this process became leader.
    started_at: Millis,
    /// When the last tick was handled.
    ticked_at: Millis,
    /// When partial texts were last appended to the log.
    pub(crate) persisted_at: Millis,
    pub(crate) view: FleetView,
    /// Edges by machine.
    pub(crate) edges: BTreeMap<String, Edge>,
    pub(crate) jobs: JobRuns,
    pub(crate) runs: Runs,
    pub(crate) scorings: Scorings,
    pub(crate) replicas: Replicas,
    pub(crate) orders: Orders,
    pub(crate) placement: ReplicaQueues,
    /// Whether the view is current enough to place runs on its replicas.
    may_place: bool,
    demand: Demand,
    /// Whether the next tick reassigns primary models. A new job does not do so at once, as jobs of
    /// several models often arrive together.
    demand_changed: bool,
    /// Actions caused so far by the event being handled.
    pub(crate) actions: Vec<Action>,
}

impl Dispatcher {
    /// Creates the dispatcher of the leader of `term`, whose log has been applied to `table`.
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
            started_at: now,
            ticked_at: now,
            persisted_at: now,
            view: FleetView::unknown(view.must_know_evacuations),
            edges: BTreeMap::new(),
            jobs: JobRuns::default(),
            runs: Runs::default(),
            scorings: Scorings::default(),
            replicas: Replicas::default(),
            orders: Orders::new(leases),
            placement: ReplicaQueues::default(),
            may_place: true,
            demand: Demand::default(),
            demand_changed: false,
            actions: Vec::new(),
        };
        for (_, job) in table.jobs() {
            dispatcher.record_demand(job, now);
        }
        dispatcher.apply_view(view, table, now);
        for (id, job) in table.jobs() {
            let view = &dispatcher.view;
            let actions = dispatcher.jobs.open(id, job, table, view, now);
            dispatcher.actions.extend(actions);
        }
        dispatcher
    }

    /// Handles an event at `now`, in ms of a monotonic clock; returns the actions to take, in
    /// order.
    pub fn handle(&mut self, event: Event, table: &JobTable, now: Millis) -> Vec<Action> {
        let plans_loads = triggers_load_planning(&event);
        self.apply(event, table, now);
        if plans_loads {
            self.plan_loads(now);
        }
        self.start_runs(table, now);
        self.order_scorings(table, now);
        std::mem::take(&mut self.actions)
    }

    fn apply(&mut self, event: Event, table: &JobTable, now: Millis) {
        match event {
            Event::View(view) => self.apply_view(view, table, now),
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
                self.on_edge_up(machine, edge, runs, table, now);
            }
            Event::EdgeDraining(machine) => {
                if let Some(edge) = self.edges.get_mut(&machine) {
                    edge.draining = true;
                }
            }
            Event::EdgeDown(machine) => self.on_edge_down(&machine, now),
            Event::Progress {
                machine,
                attempt,
                events,
                pace,
            } => self.on_progress(&machine, attempt, events, pace, now),
            Event::RunEnded {
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
            Event::OrderAnswered { replica, answer } => self.on_ordered(&replica, answer, now),
            // Waiting items are placed after each event. The event is marked as handled even if no
            // item can be placed, or `is_opening_due` would stay true.
            Event::BudgetOpened => self.requeue_reopened(now),
            Event::Tick => {
                self.tick(now);
                self.retry_late_scorings(table, now);
            }
        }
    }

    /// Sets whether runs may be placed on the view's replicas. They may not while the view is a
    /// stale copy, which may not show that a replica is draining. Active runs continue.
    pub fn set_placement_enabled(&mut self, may_place: bool) {
        self.may_place = may_place;
    }

    /// Whether runs may start on a replica, or continue on another one.
    pub(crate) fn may_place(&self, now: Millis) -> bool {
        self.may_place && !self.is_adopting(now)
    }

    /// Whether edges may still have unreported runs, so that this leader starts no runs or
    /// scorings.
    pub(crate) fn is_adopting(&self, now: Millis) -> bool {
        now < self.started_at + self.settings.adopt_ms
    }

    fn apply_view(&mut self, view: FleetView, table: &JobTable, now: Millis) {
        let configuration_changed = view.configuration_revision != self.view.configuration_revision;
        let replicas = Arc::clone(&self.view.replicas);
        let evacuated = self.view.evacuations_only();
        self.view.merge(&view);
        let replicas_changed = !Arc::ptr_eq(&replicas, &self.view.replicas);
        let same_evacuation = self.view.has_same_evacuations(&evacuated);
        if replicas_changed {
            self.observe_entries(now);
        }
        if replicas_changed || configuration_changed || !same_evacuation {
            self.replicas.apply_view(&self.view, now);
        }
        if configuration_changed {
            self.jobs.resolve_routes(&self.view, table);
            self.move_into_regions(None, now);
        }
        self.orders.assign(&self.view, &self.demand);
        self.placement.clear();
    }

    fn open_job(&mut self, id: &str, table: &JobTable, now: Millis) {
        if let Some(job) = table.job(id) {
            let actions = self.jobs.open(id, job, table, &self.view, now);
            self.actions.extend(actions);
            self.record_demand(job, now);
            self.demand_changed = true;
        }
    }

    fn record_demand(&mut self, job: &Job, now: Millis) {
        let tokens = job.items.iter().map(|item| item.expected_tokens).sum();
        self.demand.record(&job.model, tokens, now);
    }

    /// Adds the time for which this process was suspended to the last-seen times of runs and edges,
    /// so that it does not count towards their timeouts.
    fn skip_suspension(&mut self, now: Millis) {
        let gap = timeouts::suspended_for(self.ticked_at, now);
        self.ticked_at = now;
        let Some(gap) = gap else {
            return;
        };
        log::warn!("event=stood_still gap_ms={gap}");
        for run in self.runs.by_id.values_mut() {
            run.last_seen = (run.last_seen + gap).min(now);
        }
        for edge in self.edges.values_mut() {
            edge.last_seen = (edge.last_seen + gap).min(now);
        }
    }

    fn tick(&mut self, now: Millis) {
        self.skip_suspension(now);
        if std::mem::take(&mut self.demand_changed) {
            self.orders.assign(&self.view, &self.demand);
            self.placement.clear();
        }
        self.recheck_lives(now);
        self.replicas.update_medians();
        self.replicas.update_usable(&self.view, now);
        if self.may_place {
            // While runs may not be placed, a run that is handed over would not resume.
            self.move_from_departing(now);
            self.move_from_slow_replicas(now);
            self.move_to_faster_replicas(now);
        }
        self.move_stalled(now);
        self.persist_parts(now);
        self.give_up_overdue(now);
    }
}

/// Whether loads are planned after an event. Ends of runs and listings of items can make loads due
/// as well, but these are planned at the next tick, as planning passes over the whole fleet.
fn triggers_load_planning(event: &Event) -> bool {
    matches!(
        event,
        Event::View(_)
            | Event::JobAccepted(_)
            | Event::JobEnded(_)
            | Event::Report { .. }
            | Event::OrderAnswered { .. }
            | Event::Tick
    )
}
