//! Handles the runs of edges that register, reconnect or fail.
//!
//! Keeps no state. A new leader knows no runs, so each edge registers with a list of all its runs.
//! A run whose item waits is adopted. A run with a complete text is also adopted if another run of
//! its item is active. Scoring calls for texts in the log are adopted too.

use crate::action::Action;
use crate::dispatcher::Dispatcher;
use crate::earlier_texts::draft_of;
use crate::edges::Edge;
use crate::job_run::State;
use crate::runs::Run;
use brasspond_cluster_protocol::{AttemptId, RunEnd, RunReport, ScoringEnd, StreamEvent};
use brasspond_jobs::JobTable;
use brasspond_units::Millis;

/// Length of the common prefix of two streams.
fn common_prefix(first: &[StreamEvent], second: &[StreamEvent]) -> usize {
    let pairs = first.iter().zip(second);
    pairs.take_while(|(first, second)| first == second).count()
}

/// How the leader handles a run that an edge reports.
#[derive(Debug, PartialEq, Eq)]
enum Adoption {
    /// The run becomes the active run of its item. `replaces` is the previous active run, if there
    /// is one, which is cancelled. Only a run with a complete text replaces another.
    Adopt { replaces: Option<AttemptId> },
    /// The run is already the active run of its item.
    Known,
    /// The run's text is already being scored, and the run is known as the scoring.
    KnownScoring,
    /// The item's text waits for a scoring order. The edge's scoring call is adopted if it scores
    /// the text in the log.
    AdoptScoring,
    /// The run is not needed: its item is unknown, ended or handled elsewhere.
    Cancel,
}

/// Decides how to handle a run that an edge reports. `state` is the state of its item; `None` if
/// the item is unknown to this leader. `is_complete` states that the run has generated the
/// complete text.
fn adoption(state: Option<&State>, attempt: AttemptId, is_complete: bool) -> Adoption {
    match state {
        Some(State::Waiting) => Adoption::Adopt { replaces: None },
        Some(State::Running(known)) if *known == attempt => Adoption::Known,
        Some(State::Running(known)) if is_complete => Adoption::Adopt {
            replaces: Some(*known),
        },
        Some(State::Scoring(Some(known))) if *known == attempt => Adoption::KnownScoring,
        Some(State::Scoring(None)) if is_complete => Adoption::AdoptScoring,
        _ => Adoption::Cancel,
    }
}

/// Whether the log has the same complete text, with the same versions, as the one that an edge
/// reports. A score is valid only for the text for which its call was made.
fn is_text_persisted(report: &RunReport, table: &JobTable) -> bool {
    let job = table.job(&report.job);
    let persisted = job.and_then(|job| job.drafts.get(&report.item));
    let reported = draft_of(&report.job, report.item, &report.events, 0);
    persisted
        .is_some_and(|(text, versions)| *text == reported.text && *versions == reported.versions)
}

impl Dispatcher {
    /// Handles the registration of an edge with all its runs.
    pub(crate) fn on_edge_up(
        &mut self,
        machine: String,
        edge: Edge,
        runs: Vec<RunReport>,
        table: &JobTable,
        now: Millis,
    ) {
        self.abandon_unreported(&machine, &runs);
        self.retry_unreported_scorings(&machine, &runs, now);
        self.edges.insert(machine.clone(), edge);
        for report in runs {
            self.adopt(&machine, report, table, now);
        }
        let runs = self.runs.by_id.values();
        let running = runs.filter(|run| run.machine == machine).count();
        if let Some(edge) = self.edges.get_mut(&machine) {
            edge.running = running;
        }
        // An earlier leader may have started the runs under an older configuration.
        self.move_into_regions(Some(&machine), now);
    }

    /// Applies [`adoption`] to a run that an edge reports.
    fn adopt(&mut self, machine: &str, report: RunReport, table: &JobTable, now: Millis) {
        let attempt = report.attempt;
        let item = self.jobs.item(&report.job, report.item);
        let is_complete = report.end == Some(RunEnd::Whole);
        match adoption(item.map(|item| &item.state), attempt, is_complete) {
            Adoption::Adopt { replaces } => {
                match replaces {
                    Some(other) => self.cancel(other),
                    None => self.jobs.remove_waiting(&report.job, report.item),
                }
                self.add_adopted(machine, report, now);
            }
            Adoption::Known => self.update_known_run(machine, report, now),
            Adoption::KnownScoring => {
                if let Some(scoring) = report.scoring {
                    self.on_scored(machine, attempt, scoring, now);
                }
            }
            // The call is not repeated: if leaders changed more often than a call takes, it would
            // never end.
            Adoption::AdoptScoring if is_text_persisted(&report, table) => {
                self.adopt_scoring(machine, report, now);
            }
            Adoption::AdoptScoring | Adoption::Cancel => {
                // An earlier order to stop or forget the run may have been lost with the old
                // connection, so it is sent again.
                self.remove_run(attempt);
                self.cancel_at(machine, attempt);
                self.forget_at(machine, attempt);
            }
        }
    }

    /// Adds a reported run as the active run of its item.
    fn add_adopted(&mut self, machine: &str, report: RunReport, now: Millis) {
        let attempt = report.attempt;
        let mut item_id = String::new();
        let mut persisted = 0;
        if let Some(item) = self.jobs.item_mut(&report.job, report.item) {
            item.state = State::Running(attempt);
            item_id = item.id.clone();
            // The log may contain events of another run, so only the common prefix counts as
            // persisted.
            persisted = common_prefix(&item.events[..item.persisted], &report.events);
            // The events that the run reports replace those of the item.
            item.events = Vec::new();
            item.persisted = 0;
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
            // The report does not state the replica's life, so the known one is assumed.
            life: self.replicas.lives.of(&report.replica),
            replica: report.replica,
            events: report.events,
            persisted,
            last_seen: now,
            own_events: 0,
            cancelled: false,
            handed_over_at: None,
            granted_at: None,
        };
        self.runs.by_id.insert(attempt, run);
        self.apply_ends(machine, attempt, report.end, report.scoring, now);
    }

    /// Handles the ends of a run and of its scoring that an edge reported in its registration.
    fn apply_ends(
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

    /// Updates a known run that an edge reports after it reconnected.
    fn update_known_run(&mut self, machine: &str, report: RunReport, now: Millis) {
        let attempt = report.attempt;
        if let Some(run) = self.runs.by_id.get_mut(&attempt) {
            run.last_seen = now;
            run.persisted = common_prefix(&run.events[..run.persisted], &report.events);
            run.events = report.events;
            run.machine = machine.to_string();
            if run.cancelled {
                // The cancellation may have been lost with the old connection.
                self.actions.push(Action::Cancel {
                    machine: machine.to_string(),
                    attempt,
                });
            }
        }
        if let Some(edge) = self.edges.get_mut(machine) {
            edge.running += 1;
        }
        self.apply_ends(machine, attempt, report.end, report.scoring, now);
    }

    /// Abandons runs that an edge does not report after it reconnected: it never received them, or
    /// its process restarted.
    fn abandon_unreported(&mut self, machine: &str, reported: &[RunReport]) {
        let is_reported =
            |attempt: AttemptId| reported.iter().any(|report| report.attempt == attempt);
        let runs = self.runs.ids_where(|run| run.machine == machine);
        for attempt in runs.into_iter().filter(|id| !is_reported(*id)) {
            self.abandon_run(attempt);
        }
    }

    /// Handles the failure of an edge. Its runs continue on other edges after the reported events.
    pub(crate) fn on_edge_down(&mut self, machine: &str, now: Millis) {
        if self.edges.remove(machine).is_none() {
            return;
        }
        let lost = self.runs.ids_where(|run| run.machine == machine);
        log::warn!("event=edge_lost machine={machine} runs={}", lost.len());
        for attempt in lost {
            self.abandon_run(attempt);
        }
        self.retry_unreported_scorings(machine, &[], now);
    }
}

#[cfg(test)]
#[path = "../tests/unit/takeover.rs"]
mod tests;
