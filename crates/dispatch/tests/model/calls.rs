//! Scoring calls of edges.

use super::edge::ScoringRun;
use super::edge::ToLeader;
use super::time::CANCEL_MS;
use super::{Mutation, World};
use brasspond_cluster_protocol::{AttemptId, ScoringEnd};
use brasspond_jobs::ScoringCall;
use rand::Rng;

impl World {
    /// An edge makes a scoring call for an item of a job, once it has a work lease.
    pub(super) fn call(
        &mut self,
        number: usize,
        attempt: AttemptId,
        (job, item_id): (String, String),
        call: ScoringCall,
    ) {
        if self.edges[number].draining {
            return self.report_scored(number, attempt, ScoringEnd::Unanswered);
        }
        let takes = self.random.random_range(2..90);
        self.edges[number].calls.push(ScoringRun {
            attempt,
            job,
            item_id,
            call,
            takes,
            ends_at: None,
        });
    }

    /// Edges begin the calls that their work lease allows: none of a job that ended long ago.
    pub(super) fn begin_calls(&mut self, number: usize) {
        let edge = &mut self.edges[number];
        if self.now >= edge.lease_until {
            return;
        }
        for calls in edge.calls.iter_mut().filter(|one| one.ends_at.is_none()) {
            calls.ends_at = Some(self.now + calls.takes);
            let ended = self.ended_at.get(&calls.job);
            let is_late = ended.is_some_and(|at| self.now > at + CANCEL_MS);
            assert!(!is_late, "{} is scored after its end", calls.job);
        }
    }

    /// Replicas answer scoring calls, or do not.
    pub(super) fn answer_scorings(&mut self) {
        for number in 0..self.edges.len() {
            if self.edges[number].suspended.is_some() {
                continue;
            }
            self.begin_calls(number);
            let now = self.now;
            let calls = std::mem::take(&mut self.edges[number].calls);
            let (due, open): (Vec<_>, Vec<_>) = calls
                .into_iter()
                .partition(|one| one.ends_at.is_some_and(|at| at <= now));
            self.edges[number].calls = open;
            for calls in due {
                let end = self.answer_scoring(&calls);
                self.report_scored(number, calls.attempt, end);
            }
        }
    }

    pub(super) fn answer_scoring(&mut self, calls: &ScoringRun) -> ScoringEnd {
        if self.random.random_bool(0.1) {
            return ScoringEnd::Unanswered;
        }
        if self.oracle.plans[&calls.item_id].score_fails {
            self.oracle.score_failed.insert(calls.item_id.clone());
            return ScoringEnd::Failed;
        }
        let made_at = match self.mutation {
            Some(Mutation::ScoredEarly) => self.now.saturating_sub(500),
            _ => self.now,
        };
        let call = match self.mutation {
            Some(Mutation::ScoreOfAnother) => "score-of-another",
            _ => calls.call.id.as_str(),
        };
        ScoringEnd::Scored(self.oracle.sign(call, made_at))
    }

    pub(super) fn report_scored(&mut self, number: usize, attempt: AttemptId, end: ScoringEnd) {
        if let Some(run) = self.edges[number].runs.get_mut(&attempt) {
            run.scoring = Some(end.clone());
        }
        self.send_to_leader(number, ToLeader::Scored(attempt, end));
    }

    /// A cancelled run whose text became whole meanwhile begins nothing more.
    pub(super) fn end_own_scoring(&mut self, number: usize, attempt: AttemptId) {
        let edge = &mut self.edges[number];
        let is_own = edge.runs.contains_key(&attempt);
        let calls = edge.calls.len();
        edge.calls.retain(|one| !is_own || one.attempt != attempt);
        if edge.calls.len() < calls {
            self.report_scored(number, attempt, ScoringEnd::Unanswered);
        }
    }
}
