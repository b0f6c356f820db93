//! Starts waiting items: chooses a replica and an edge, and orders the edge to run the item.
//!
//! Keeps no state. `placement` chooses the replica, `edges` the edge.

use crate::action::Action;
use crate::dispatcher::Dispatcher;
use crate::job_run::State;
use crate::placement::PlacementInputs;
use crate::replicas::RunConstraints;
use crate::runs::Run;
use brasspond_cluster_protocol::{AttemptId, RunSpec, StreamEvent};
use brasspond_jobs::JobTable;
use brasspond_units::Millis;
use std::collections::BTreeSet;

/// Maximum number of items that one event starts, so that other events are handled in
/// between while thousands of items wait. The next event continues with the remaining items.
const MAX_STARTS_PER_EVENT: usize = 512;

/// The replica and the edge that will run a waiting item.
struct Assignment {
    item: u32,
    replica: String,
    /// Machine of the edge.
    machine: String,
    /// Whether the text is generated again from the first event, as no replica can continue it.
    restarts: bool,
}

/// Initial state of a run.
struct RunStart {
    attempt: AttemptId,
    events: Vec<StreamEvent>,
    /// Number of these events that are in the log.
    persisted: usize,
    /// When the run was granted a request, if its replica warms up.
    granted_at: Option<Millis>,
    /// Deadline for sending the granted request, by the edge's clock.
    send_by: Option<Millis>,
}

impl Dispatcher {
    /// Starts waiting items on replicas with spare capacity, oldest job first. Starts none while
    /// runs may not be placed or edges may still report runs to a new leader.
    pub(crate) fn start_runs(&mut self, table: &JobTable, now: Millis) {
        if !self.may_place(now) {
            return;
        }
        let waiting = self.jobs.jobs_with_waiting();
        if waiting.is_empty() {
            return;
        }
        self.requeue_reopened(now);
        self.placement.refresh(PlacementInputs {
            replicas: &self.replicas,
            orders: &self.orders,
            can_send_warming: true,
            now,
        });
        let mut left = MAX_STARTS_PER_EVENT;
        for id in waiting {
            left -= self.start_job(&id, left, table, now);
        }
    }

    /// Starts waiting items of a job, at most `most`; returns their number. An item that must wait
    /// keeps back only the items with the same constraints.
    fn start_job(&mut self, id: &str, most: usize, table: &JobTable, now: Millis) -> usize {
        let mut refused = BTreeSet::new();
        let mut started = 0;
        while started < most
            && let Some((class, item)) = self.jobs.next_waiting(id, &refused)
        {
            if self.start_item(id, item, table, now) {
                started += 1;
            } else {
                refused.insert(class);
            }
        }
        started
    }

    /// Starts a waiting item; returns false if it must wait.
    fn start_item(&mut self, id: &str, item: u32, table: &JobTable, now: Millis) -> bool {
        let assignment = self.assign(id, item, now);
        let run = assignment.and_then(|assignment| self.begin_run(id, assignment, table, now));
        run.is_some()
    }

    /// Chooses the replica and the edge for an item; `None` if the item must wait. If a single
    /// version must generate the complete text and no replica with that version accepts the item,
    /// the text is generated again.
    fn assign(&mut self, id: &str, item: u32, now: Millis) -> Option<Assignment> {
        let bodies = &self.jobs.route(id)?.bodies;
        if !self.has_edge_for(bodies, false, now) {
            return None;
        }
        let can_send_warming = self.has_edge_for(bodies, true, now);
        let events = &self.jobs.item(id, item)?.events;
        let usable = &self.replicas.usable;
        let constraints = self.jobs.constraints(id, item, events, usable)?;
        let inputs = PlacementInputs {
            replicas: &self.replicas,
            orders: &self.orders,
            can_send_warming,
            now,
        };
        let mut chosen = self.placement.choose(&constraints, inputs);
        let restarts = chosen.is_none() && constraints.exact_version.is_some();
        if restarts {
            let any_version = RunConstraints {
                exact_version: None,
                ..constraints
            };
            chosen = self.placement.choose(&any_version, inputs);
        }
        let replica = chosen?;
        let machine = self.choose_edge(&replica, bodies, now)?;
        Some(Assignment {
            item,
            replica,
            machine,
            restarts,
        })
    }

    /// Orders the edge to run an item; `None` if the table does not have the item.
    fn begin_run(
        &mut self,
        id: &str,
        assignment: Assignment,
        table: &JobTable,
        now: Millis,
    ) -> Option<()> {
        let stored = table.job(id)?.items.get(assignment.item as usize)?;
        let start = self.take_item(id, &assignment, now)?;
        let spec = self.run_spec(id, &assignment, &start, table)?;
        let is_granted = start.granted_at.is_some();
        self.log_started(
            &spec,
            &assignment.machine,
            stored.expected_tokens,
            is_granted,
            now,
        );
        let run = Run {
            machine: assignment.machine.clone(),
            job: id.to_string(),
            item: assignment.item,
            item_id: spec.item_id.clone(),
            replica: assignment.replica,
            life: spec.life,
            events: start.events,
            persisted: start.persisted,
            last_seen: now,
            own_events: 0,
            cancelled: false,
            handed_over_at: None,
            granted_at: start.granted_at,
        };
        self.runs.by_id.insert(start.attempt, run);
        self.actions.push(Action::Run {
            machine: assignment.machine,
            spec: Box::new(spec),
        });
        Some(())
    }

    /// Removes an item from the waiting ones and counts its run at the replica and the edge.
    fn take_item(&mut self, id: &str, assignment: &Assignment, now: Millis) -> Option<RunStart> {
        let job = self.jobs.get_mut(id)?;
        let replica = self.replicas.by_id.get_mut(&assignment.replica)?;
        let attempt = self.runs.next_id(self.term);
        replica.running += 1;
        job.dequeue(assignment.item);
        let item = &mut job.items[assignment.item as usize];
        item.state = State::Running(attempt);
        let mut events = std::mem::take(&mut item.events);
        let mut persisted = std::mem::take(&mut item.persisted);
        if assignment.restarts {
            events.clear();
            persisted = 0;
        }
        let granted_at = self.spend_for_item(&assignment.replica, now);
        let mut send_by = None;
        if let Some(edge) = self.edges.get_mut(&assignment.machine) {
            edge.begin_run(&assignment.replica);
            send_by = granted_at.and_then(|_| edge.send_by(now));
        }
        Some(RunStart {
            attempt,
            events,
            persisted,
            granted_at,
            send_by,
        })
    }

    fn run_spec(
        &self,
        id: &str,
        assignment: &Assignment,
        start: &RunStart,
        table: &JobTable,
    ) -> Option<RunSpec> {
        let job = self.jobs.get(id)?;
        let stored_job = table.job(id)?;
        let stored = stored_job.items.get(assignment.item as usize)?;
        let replica = self.replicas.by_id.get(&assignment.replica)?;
        Some(RunSpec {
            attempt: start.attempt,
            job: id.to_string(),
            item: assignment.item,
            item_id: stored.id.clone(),
            host: job.host.clone(),
            path: stored.path.clone(),
            headers: stored.headers.clone(),
            body: stored.body.clone(),
            replica: assignment.replica.clone(),
            address: replica.endpoint.address,
            min_version: job.min_version,
            single_version: job.is_single_version(),
            events: start.events.clone(),
            scoring: stored.scoring.clone(),
            tenant: stored_job.tenant.clone(),
            send_by: start.send_by,
            life: self.replicas.lives.of(&assignment.replica),
        })
    }

    fn log_started(
        &self,
        spec: &RunSpec,
        machine: &str,
        expected_tokens: u64,
        is_granted: bool,
        now: Millis,
    ) {
        let job = self.jobs.get(&spec.job);
        let replica = self.replicas.by_id.get(&spec.replica);
        let (Some(job), Some(replica)) = (job, replica) else {
            return;
        };
        log::info!(
            "event=run_started job={} item={} attempt={} replica={} edge={machine} events={} waited_ms={} expected_tokens={expected_tokens} version={} min_version={} runs_there={} event_ms={:.1} granted={is_granted} replicas_revision={}",
            spec.job,
            spec.item_id,
            spec.attempt,
            spec.replica,
            spec.events.len(),
            now - job.since,
            replica.version_of(&job.model),
            spec.min_version,
            replica.running,
            // An unknown pace is logged as 0.0.
            replica.event_ms.unwrap_or(0.0),
            self.view.replicas_revision
        );
    }
}
