//! A trainer that submits jobs, reads their results and ends some of them.

use super::{Callers, EdgeAddress};
use crate::history::{CallKind, CallRecord, EndRecord, Outcome, PageRecord, Reread, ResultRecord};
use crate::jobs::{EndPlan, EndWhen, JobPlan, LargeJobs};
use brasspond_platform_standin::caller::{CallOutcome, Caller, end_path, job_body, results_path};
use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// Time that a trainer waits for an answer.
pub(super) const TRAINER_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Pause between two jobs.
const JOB_PAUSE: Duration = Duration::from_millis(1_500);
/// Pause before a failed call is retried at the next edge address.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Interval between two checks of the number of listed items.
const LISTED_POLL: Duration = Duration::from_millis(20);
/// Pause after each read of a job's results.
const READ_INTERVAL: Duration = Duration::from_millis(120);

/// Number of edges from which each job is read again after the last fault.
const REREAD_EDGES: usize = 2;

/// A job that is or will be submitted.
#[derive(Debug)]
pub struct Job {
    /// Items of the job, and how its caller ends it.
    pub plan: JobPlan,
    /// Oldest version of the weights that the job allows.
    pub oldest_version: u64,
    /// Number of listed items that the reader has read.
    listed: AtomicUsize,
    /// Whether the caller has begun to end the job, so that the reader stops.
    is_ended: AtomicBool,
    /// Whether the job was accepted.
    is_accepted: AtomicBool,
}

impl Job {
    fn new(plan: JobPlan, oldest_version: u64) -> Self {
        Self {
            plan,
            oldest_version,
            listed: AtomicUsize::new(0),
            is_ended: AtomicBool::new(false),
            is_accepted: AtomicBool::new(false),
        }
    }

    /// Creates a job that was accepted.
    pub(super) fn accepted(plan: JobPlan, oldest_version: u64) -> Self {
        let job = Self::new(plan, oldest_version);
        job.is_accepted.store(true, Ordering::Relaxed);
        job
    }

    /// Returns whether the job was accepted.
    pub fn is_accepted(&self) -> bool {
        self.is_accepted.load(Ordering::Relaxed)
    }
}

impl Callers {
    /// Submits jobs until the cooldown. Starts tasks that read and end each accepted job.
    pub async fn run_trainer(self: Arc<Self>) {
        let mut step = 0;
        while self.is_running() && !self.is_settling.load(Ordering::Relaxed) {
            let plan = JobPlan::draw(self.seed, step);
            self.start_job(plan, step).await;
            step += 1;
            tokio::time::sleep(JOB_PAUSE).await;
        }
    }

    /// Submits large jobs at even intervals until the cooldown.
    pub async fn run_large_trainer(self: Arc<Self>, load: LargeJobs) {
        for step in 0..load.count {
            if !self.is_running() || self.is_settling.load(Ordering::Relaxed) {
                return;
            }
            self.start_job(load.plan(step), step).await;
            tokio::time::sleep(load.interval).await;
        }
    }

    /// Returns the oldest version of the weights that a job submitted now allows.
    pub(super) fn oldest_version(&self) -> u64 {
        let newest = self.newest_version.load(Ordering::Relaxed);
        newest.saturating_sub(1).max(1)
    }

    /// Submits a job. Starts tasks that read and end it if it is accepted.
    async fn start_job(self: &Arc<Self>, plan: JobPlan, step: u64) {
        let oldest_version = self.oldest_version();
        let body = Bytes::from(job_body(step, oldest_version, &plan.items));
        let id = plan.id.clone();
        let job = Arc::new(Job::new(plan, oldest_version));
        let stored = Arc::clone(&job);
        self.jobs.lock().expect("lock").insert(id.clone(), stored);
        if self.submit(&id, body).await {
            job.is_accepted.store(true, Ordering::Relaxed);
            let reader = Arc::clone(self);
            let job_to_read = Arc::clone(&job);
            tokio::spawn(async move { reader.read_job(&job_to_read).await });
            let ender = Arc::clone(self);
            tokio::spawn(async move { ender.end_job(&job).await });
        }
    }

    /// Ends a job as its plan says. Does nothing without a plan.
    async fn end_job(&self, job: &Job) {
        let Some(plan) = &job.plan.end else {
            return;
        };
        match plan.when {
            EndWhen::Immediately => {}
            EndWhen::After(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            EndWhen::Listed(count) => {
                while job.listed.load(Ordering::Relaxed) < count && self.is_running() {
                    tokio::time::sleep(LISTED_POLL).await;
                }
            }
        }
        job.is_ended.store(true, Ordering::Relaxed);
        self.send_ends(&job.plan.id, plan).await;
    }

    /// Requests the end of a job at one edge address after the other until it is acknowledged, then
    /// repeats the request as planned.
    async fn send_ends(&self, id: &str, plan: &EndPlan) {
        let mut turn = plan.turn;
        let mut repeats = plan.repeats.iter();
        while self.is_running() {
            let to = self.edges[turn % self.edges.len()];
            turn += 1;
            let pause = match self.send_end(to, id).await {
                200 => match repeats.next() {
                    Some(ms) => Duration::from_millis(*ms),
                    None => return,
                },
                _ => RETRY_PAUSE,
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Requests the end of a job at one edge. Returns the status of the answer, or 0 if no answer
    /// arrived.
    async fn send_end(&self, to: EdgeAddress, id: &str) -> u16 {
        let sent_at = self.history.now();
        let path = end_path(id);
        let mut caller = Caller::new(to.address);
        let response = caller.call("DELETE", &path, "ender", Bytes::new(), TRAINER_TIMEOUT);
        let status = match response.await {
            CallOutcome::Answered(status, ..) => status,
            CallOutcome::Broken | CallOutcome::TimedOut | CallOutcome::NoConnection => 0,
        };
        self.history.record_end(EndRecord {
            job: id.to_string(),
            edge: to.edge,
            sent_at,
            ended_at: self.history.now(),
            status,
        });
        status
    }

    /// Submits a job to one edge after the other until it is accepted or the callers are stopped.
    /// Returns whether it was accepted.
    async fn submit(&self, id: &str, body: Bytes) -> bool {
        let edges = self.direct_edges();
        let mut turn = self.next_id_number() as usize;
        while self.is_running() {
            let to = edges[turn % edges.len()];
            turn += 1;
            let mut caller = Caller::new(to.address);
            let sent_at = self.history.now();
            let response = caller
                .call("POST", "/jobs/x", id, body.clone(), TRAINER_TIMEOUT)
                .await;
            let status = match response {
                CallOutcome::Answered(status, ..) => status,
                CallOutcome::Broken | CallOutcome::TimedOut | CallOutcome::NoConnection => 0,
            };
            if status == 202 {
                self.history.record_call(CallRecord {
                    id: id.to_string(),
                    kind: CallKind::Submit,
                    edge: to.edge,
                    is_proxied: false,
                    sent_at,
                    ended_at: self.history.now(),
                    outcome: Outcome::Answered {
                        status,
                        is_own: true,
                    },
                });
                return true;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        false
    }

    /// Reads the results of a job from the first position until all items are listed, the job is
    /// ended or the callers are stopped.
    pub async fn read_job(&self, job: &Job) {
        let edges = self.direct_edges();
        let items = job.plan.items.len();
        let mut since = 0;
        let mut turn = self.next_id_number() as usize;
        while since < items && self.is_running() && !job.is_ended.load(Ordering::Relaxed) {
            let to = edges[turn % edges.len()];
            turn += 1;
            let mut caller = Caller::new(to.address);
            let path = results_path(&job.plan.id, since);
            let response = caller
                .call("GET", &path, "reader", Bytes::new(), TRAINER_TIMEOUT)
                .await;
            if let CallOutcome::Answered(200, _, body) = response
                && let Some(results) = read_page(&body)
            {
                let count = results.len();
                self.history.record_page(PageRecord {
                    job: job.plan.id.clone(),
                    since,
                    results,
                    at: self.history.now(),
                });
                since += count;
                job.listed.fetch_max(since, Ordering::Relaxed);
            }
            tokio::time::sleep(READ_INTERVAL).await;
        }
    }
}

impl Callers {
    /// Returns the edges from which the job with this number is read again.
    pub fn reread_edges(&self, number: usize) -> Vec<EdgeAddress> {
        let edges = self.direct_edges();
        let count = REREAD_EDGES.min(edges.len());
        let chosen = (number..number + count).map(|turn| edges[turn % edges.len()]);
        chosen.collect()
    }

    /// Reads the results of a job from one edge, until all that were listed when this begins are
    /// read or the time is `due`, in ms from the start of the run.
    pub async fn reread_job(&self, job: &Job, to: EdgeAddress, due: u64) -> Reread {
        let listed = job.listed.load(Ordering::Relaxed);
        let mut reread = Reread {
            job: job.plan.id.clone(),
            edge: to.edge,
            started_at: self.history.now(),
            is_answered: false,
            results: Vec::new(),
        };
        while self.history.now() < due && !(reread.is_answered && reread.results.len() >= listed) {
            let path = results_path(&job.plan.id, reread.results.len());
            let mut caller = Caller::new(to.address);
            let response = caller.call("GET", &path, "reader", Bytes::new(), TRAINER_TIMEOUT);
            if let CallOutcome::Answered(200, _, body) = response.await
                && let Some(results) = read_page(&body)
                && self.history.now() <= due
            {
                reread.is_answered = true;
                reread.results.extend(results);
            } else {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
        reread
    }
}

/// Parses a page of results. Returns `None` if the body is not a page.
fn read_page(body: &[u8]) -> Option<Vec<ResultRecord>> {
    let page: serde_json::Value = serde_json::from_slice(body).ok()?;
    let results = page["results"].as_array()?.iter().map(|one| {
        let versions = one["versions"].as_array();
        let versions = versions.into_iter().flatten();
        ResultRecord {
            id: one["id"].as_str().unwrap_or_default().to_string(),
            is_completed: one["state"] == "completed",
            text: one["text"].as_str().unwrap_or_default().to_string(),
            versions: versions.filter_map(serde_json::Value::as_u64).collect(),
            score: one["score"].as_str().map(str::to_string),
        }
    });
    Some(results.collect())
}
