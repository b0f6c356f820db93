//! Runs that edges hold when they come, come back or are lost.

use crate::dispatcher::{Action, Dispatcher};
use crate::jobs::State;
use crate::runs::Run;
use brasspond_cluster_protocol::{AttemptId, RunEnd, RunReport, ScoringEnd, StreamEvent};
use brasspond_units::Millis;

/// How many events two streams begin with alike.
fn common_prefix(one: &[StreamEvent], other: &[StreamEvent]) -> usize {
    let pairs = one.iter().zip(other);
    pairs.take_while(|(one, other)| one == other).count()
}

impl Dispatcher {
    /// A new leader takes over a run that an edge holds.
    pub(crate) fn adopt(&mut self, machine: &str, report: RunReport, now: Millis) {
        let attempt = report.attempt;
        let state = self.jobs.jobs.get(&report.job).and_then(|job| {
            let item = job.items.get(report.item as usize)?;
            Some(item.state.clone())
        });
        let is_whole = report.end == Some(RunEnd::Whole);
        match state {
            Some(State::Waiting) => self.jobs.take_waiting(&report.job, report.item),
            Some(State::Running(other)) if is_whole && other != attempt => self.cancel(other),
            Some(State::Running(other)) if other == attempt => {
                self.refresh(machine, report, now);
                return;
            }
            Some(State::Scoring(Some(other))) if other == attempt => {
                self.refresh_scoring(machine, attempt, report.scoring, now);
                return;
            }
            _ => {
                // Its cancellation may have been lost with the old link.
                self.remove_run(attempt);
                self.actions.push(Action::Cancel {
                    machine: machine.to_string(),
                    attempt,
                });
                self.recorded(machine, attempt);
                return;
            }
        }
        let mut item_id = String::new();
        let mut kept = 0;
        if let Some(job) = self.jobs.jobs.get_mut(&report.job) {
            let item = &mut job.items[report.item as usize];
            item.state = State::Running(attempt);
            item_id = item.id.clone();
            // What the log keeps may be of an earlier run.
            kept = common_prefix(&item.events[..item.kept], &report.events);
            // From here on the run's own events count.
            item.events = Vec::new();
            item.kept = 0;
        }
        if let Some(replica) = self.replicas.by_id.get_mut(&report.replica) {
            replica.running += 1;
        }
        if let Some(edge) = self.edges.get_mut(machine) {
            edge.running += 1;
        }
        let run = Run {
            machine: machine.to_string(),
            job: report.job,
            item: report.item,
            item_id,
            // Which it was begun under is not told.
            life: self.replicas.lives.of(&report.replica),
            replica: report.replica,
            events: report.events,
            kept,
            heard_at: now,
            made: 0,
            cancelled: false,
            handed_over_at: None,
            granted_at: None,
        };
        self.runs.by_id.insert(attempt, run);
        self.take_end(machine, attempt, report.end, report.scoring, now);
    }

    /// What an edge tells of a run that has ended, and of its scoring.
    fn take_end(
        &mut self,
        machine: &str,
        attempt: AttemptId,
        end: Option<RunEnd>,
        scoring: Option<ScoringEnd>,
        now: Millis,
    ) {
        if let Some(end) = end {
            self.on_ended(machine, attempt, Vec::new(), end, now);
        }
        if let Some(scoring) = scoring {
            self.on_scored(machine, attempt, scoring, now);
        }
    }

    /// An edge that came back tells of a run that was never given up.
    fn refresh(&mut self, machine: &str, report: RunReport, now: Millis) {
        let attempt = report.attempt;
        if let Some(run) = self.runs.by_id.get_mut(&attempt) {
            run.heard_at = now;
            run.kept = common_prefix(&run.events[..run.kept], &report.events);
            run.events = report.events;
            run.machine = machine.to_string();
            if run.cancelled {
                // The cancellation may have been lost with the old link.
                self.actions.push(Action::Cancel {
                    machine: machine.to_string(),
                    attempt,
                });
            }
        }
        if let Some(edge) = self.edges.get_mut(machine) {
            edge.running += 1;
        }
        self.take_end(machine, attempt, report.end, report.scoring, now);
    }

    /// Runs that an edge which came back does not hold: it never got them, or
    /// its process ended meanwhile.
    pub(crate) fn abandon_untold(&mut self, machine: &str, told: &[RunReport], now: Millis) {
        let is_told = |attempt: &AttemptId| told.iter().any(|one| one.attempt == *attempt);
        let held = self.runs.by_id.iter();
        let untold = held.filter(|(id, run)| run.machine == machine && !is_told(id));
        let untold: Vec<AttemptId> = untold.map(|(attempt, _)| *attempt).collect();
        for attempt in untold {
            self.abandon_run(attempt, now);
        }
    }

    /// All runs of an edge that is out of reach go on elsewhere, from what it
    /// told of them.
    pub(crate) fn edge_down(&mut self, machine: &str, now: Millis) {
        if self.edges.remove(machine).is_none() {
            return;
        }
        let held = self.runs.by_id.iter();
        let held = held.filter(|(_, run)| run.machine == machine);
        let lost: Vec<AttemptId> = held.map(|(attempt, _)| *attempt).collect();
        log::warn!("event=edge_lost machine={machine} runs={}", lost.len());
        for attempt in lost {
            self.abandon_run(attempt, now);
        }
        self.forget_untold_scorings(machine, &[], now);
    }
}
