//! Callers that submit small jobs, each with an id that is sent once. A trainer repeats a submission
//! until it is accepted, which would hide an acceptance that was acknowledged and then lost.

use super::trainer::{Job, TRAINER_TIMEOUT};
use super::{Callers, EdgeAddress, outcome_of};
use crate::history::{CallKind, CallRecord, Outcome};
use crate::jobs::JobPlan;
use brasspond_platform_standin::caller::{Caller, job_body};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

/// Time for which callers submit one job after the other, so that several submissions are on their
/// way to the disk of the leader at any moment.
const BURST_TIME: Duration = Duration::from_millis(120);
/// Time between two submissions after the burst, which go to the next leader if the last one is
/// suspended.
const STEADY_INTERVAL: Duration = Duration::from_millis(50);

impl Callers {
    /// Has `count` callers submit jobs one after the other for [`BURST_TIME`], and submits one more
    /// at each [`STEADY_INTERVAL`] until `lasting` has passed.
    pub fn start_submissions(self: &Arc<Self>, count: usize, lasting: Duration) {
        for number in 0..count {
            tokio::spawn(Arc::clone(self).submit_in_turn(number));
        }
        tokio::spawn(Arc::clone(self).submit_steadily(lasting));
    }

    /// Submits jobs until the burst is over or one is not accepted.
    async fn submit_in_turn(self: Arc<Self>, number: usize) {
        let edges = self.direct_edges();
        let to = edges[number % edges.len()];
        let until = tokio::time::Instant::now() + BURST_TIME;
        while tokio::time::Instant::now() < until && self.submit_once(to).await {}
    }

    async fn submit_steadily(self: Arc<Self>, lasting: Duration) {
        let edges = self.direct_edges();
        let until = tokio::time::Instant::now() + lasting;
        let mut turn = 0;
        while tokio::time::Instant::now() < until {
            let to = edges[turn % edges.len()];
            turn += 1;
            let callers = Arc::clone(&self);
            // Not awaited, since the answer may take as long as a suspended leader.
            tokio::spawn(async move { callers.submit_once(to).await });
            tokio::time::sleep(STEADY_INTERVAL).await;
        }
    }

    /// Submits a job of one item to an edge. Returns whether it was accepted.
    async fn submit_once(&self, to: EdgeAddress) -> bool {
        let plan = JobPlan::single(self.next_id_number());
        let id = plan.id.clone();
        let oldest_version = self.oldest_version();
        let body = Bytes::from(job_body(0, oldest_version, &plan.items));
        let mut caller = Caller::new(to.address);
        let sent_at = self.history.now();
        let response = caller.call("POST", "/jobs/x", &id, body, TRAINER_TIMEOUT);
        let outcome = outcome_of(response.await, |answer_id, _| {
            answer_id.is_empty() || answer_id == id
        });
        let is_accepted = matches!(outcome, Outcome::Answered { status: 202, .. });
        if is_accepted {
            let job = Arc::new(Job::accepted(plan, oldest_version));
            self.jobs.lock().expect("lock").insert(id.clone(), job);
        }
        self.history.record_call(CallRecord {
            id,
            kind: CallKind::SubmitOnce,
            edge: to.edge,
            is_proxied: to.is_proxied,
            sent_at,
            ended_at: self.history.now(),
            outcome,
        });
        is_accepted
    }
}
