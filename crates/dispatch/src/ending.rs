//! Handles the ends of runs, items and jobs.
//!
//! Keeps no state; changes the states of items in `JobRuns`. Module `retry` decides what follows a
//! run's end.

use crate::action::Action;
use crate::dispatcher::Dispatcher;
use crate::earlier_texts::draft_of;
use crate::job_run::State;
use crate::retry::{self, NextStep};
use crate::runs::Run;
use brasspond_cluster_protocol::{AttemptId, RunEnd, StreamEvent};
use brasspond_jobs::{JobTable, Listing, Outcome};
use brasspond_units::Millis;

impl Dispatcher {
    /// Handles the end of a run and its last events. A run with missing events counts as broken.
    pub(crate) fn on_ended(
        &mut self,
        machine: &str,
        attempt: AttemptId,
        events: Vec<StreamEvent>,
        end: RunEnd,
        now: Millis,
    ) {
        let is_complete = self.extend_run(attempt, events, now);
        let end = if is_complete { end } else { RunEnd::Broken };
        let Some(run) = self.remove_run(attempt) else {
            self.forget_at(machine, attempt);
            return;
        };
        self.update_after_run(machine, attempt, &run, end, now);
        log::info!(
            "event=run_ended job={} item={} attempt={attempt} replica={} end={} events={}",
            run.job,
            run.item_id,
            run.replica,
            end.name(),
            run.events.len()
        );
        self.decide_next(machine, attempt, run, end, now);
    }

    /// Updates the states of the replica and the edge after a run. Most of the replica's state is
    /// not updated if it has restarted since the run began.
    fn update_after_run(
        &mut self,
        machine: &str,
        attempt: AttemptId,
        run: &Run,
        end: RunEnd,
        now: Millis,
    ) {
        let is_known_life = self.is_of_known_life(run);
        if is_known_life {
            self.update_replica(run, end, now);
        }
        if end == RunEnd::Unsent && run.granted_at.is_none() {
            // The edge did not send the run, as it already knows that the replica warms up. The
            // replica is paused until this process learns of the warm-up.
            self.replicas.record_fault(&run.replica, now);
        }
        self.return_grant(attempt, &run.replica, run.granted_at, end);
        if end == RunEnd::Whole
            && is_known_life
            && let Some(edge) = self.edges.get_mut(machine)
        {
            edge.add_idle_connection(&run.replica);
        }
    }

    fn update_replica(&mut self, run: &Run, end: RunEnd, now: Millis) {
        let replica = &run.replica;
        let job = self.jobs.get(&run.job);
        if let Some(job) = job.filter(|_| end == RunEnd::TooOld) {
            self.replicas
                .forget_version(replica, &job.model, job.min_version);
            self.orders.forget_sequence(replica);
        }
        if retry::is_replica_fault(end) {
            self.replicas.record_fault(replica, now);
        }
    }

    /// Applies [`retry::after_run`] to the item of an ended run. The edge is ordered to forget the
    /// run once its result is in the log, or at once if nothing is appended to the log.
    fn decide_next(
        &mut self,
        machine: &str,
        attempt: AttemptId,
        run: Run,
        end: RunEnd,
        now: Millis,
    ) {
        let Some(job) = self.jobs.get_mut(&run.job) else {
            self.jobs.texts.keep_partial(run.item_id, run.events);
            self.forget_at(machine, attempt);
            return;
        };
        let is_mixed = job.is_mixed(&run.events);
        let end = if is_mixed { RunEnd::Mixed } else { end };
        let max_attempts = job.route.as_ref().map_or(1, |route| route.max_attempts);
        let item = &mut job.items[run.item as usize];
        if item.state != State::Running(attempt) {
            self.forget_at(machine, attempt);
            return;
        }
        item.failures += u32::from(end == RunEnd::Failed);
        let ending = State::Ending(Some((attempt, machine.to_string())));
        let next = retry::after_run(end, item.failures, max_attempts, item.is_scored);
        match next {
            NextStep::Score => self.track_edge_scoring(attempt, machine, run, now),
            NextStep::Finish => {
                item.state = ending;
                let draft = draft_of(&run.job, run.item, &run.events, run.persisted);
                self.actions.push(Action::Finish(draft));
            }
            NextStep::GiveUp => {
                item.state = ending;
                self.terminate(&run.job, run.item);
            }
            NextStep::Continue | NextStep::Restart => {
                if next == NextStep::Continue {
                    item.events = run.events;
                    item.persisted = run.persisted;
                }
                self.jobs.requeue(&run.job, run.item);
                self.forget_at(machine, attempt);
            }
        }
    }

    /// Appends to the log that an item is terminated without a result.
    pub(crate) fn terminate(&mut self, job: &str, item: u32) {
        self.actions.push(Action::List(Listing {
            job: job.to_string(),
            item,
            outcome: Outcome::Terminated,
        }));
    }

    /// Removes a run without waiting for its end. Its item is queued again and continues after the
    /// known events.
    pub(crate) fn abandon_run(&mut self, attempt: AttemptId) {
        let Some(run) = self.remove_run(attempt) else {
            return;
        };
        let Some(item) = self.jobs.item_mut(&run.job, run.item) else {
            return;
        };
        if item.state == State::Running(attempt) {
            item.events = run.events;
            item.persisted = run.persisted;
            self.jobs.requeue(&run.job, run.item);
        }
    }

    /// Handles a listing of an item that was applied to the table. If the item is not listed in the
    /// table afterwards, the listing was rejected and the item starts again.
    pub(crate) fn on_listed(&mut self, job: &str, item: u32, table: &JobTable) {
        let stored = table.job(job);
        if stored.is_some_and(|stored| !stored.listed[item as usize] && !stored.ended) {
            self.restart_item(job, item);
            return;
        }
        let before = self.jobs.mark_listed(job, item, table);
        match before {
            Some(State::Ending(Some((attempt, machine)))) => self.forget_at(&machine, attempt),
            Some(State::Running(attempt)) => self.cancel(attempt),
            Some(State::Scoring(Some(attempt))) => self.drop_scoring(attempt),
            _ => {}
        }
    }

    /// Queues an item again from the first event, as its text did not continue the parts in the log
    /// and was rejected.
    fn restart_item(&mut self, job: &str, item: u32) {
        let Some(item_run) = self.jobs.item_mut(job, item) else {
            return;
        };
        if let State::Ending(reporter) = item_run.state.clone() {
            log::warn!("event=result_void job={job} item={}", item_run.id);
            item_run.events = Vec::new();
            item_run.persisted = 0;
            self.jobs.requeue(job, item);
            if let Some((attempt, machine)) = reporter {
                self.forget_at(&machine, attempt);
            }
        }
    }

    /// Handles the end of a job by its caller: stops its runs and scoring calls, and keeps its
    /// partial texts for later jobs with the same items.
    pub(crate) fn end_job(&mut self, id: &str) {
        let Some(job) = self.jobs.close(id) else {
            return;
        };
        for item in job.items {
            match item.state {
                State::Running(attempt) => self.cancel(attempt),
                State::Waiting => self.jobs.texts.keep_partial(item.id, item.events),
                State::Scoring(Some(attempt)) => self.drop_scoring(attempt),
                State::Scoring(None) | State::Ending(_) | State::Listed => {}
            }
        }
    }

    /// Gives up items of overdue jobs ([`retry::is_overdue`]) that wait or need a score.
    /// Active runs may finish.
    pub(crate) fn give_up_overdue(&mut self, now: Millis) {
        for (id, item) in self.jobs.overdue(now) {
            self.jobs.remove_waiting(&id, item);
            self.stop_scoring(&id, item);
            if let Some(job) = self.jobs.get_mut(&id) {
                log::info!(
                    "event=item_given_up job={id} item={} waited_ms={}",
                    job.items[item as usize].id,
                    now - job.since
                );
                job.items[item as usize].state = State::Ending(None);
            }
            self.terminate(&id, item);
        }
    }
}
