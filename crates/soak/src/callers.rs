//! Callers and a trainer, who ask all the while and note what they see.

use crate::history::{CallRecord, EndRecord, History, Kind, Outcome, PageRecord, ResultRecord};
use crate::jobs::{EndPlan, EndWhen, JobPlan};
use brasspond_platform_standin::caller::{Asked, Caller, end_path, job_of, results_path};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Connections that a caller keeps: at any moment some are at rest.
const KEPT: usize = 3;
/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(60);
/// Time that a caller waits.
pub const CALLER_LIMIT: Duration = Duration::from_millis(2_000);
/// Time that a trainer waits for a call.
const TRAINER_LIMIT: Duration = Duration::from_millis(4_000);
/// Pause between two requests that end replicas.
const ENDING_PAUSE: Duration = Duration::from_millis(2_500);
/// Pause between two jobs.
const JOB_PAUSE: Duration = Duration::from_millis(1_500);
/// Pause before a call about a job is made again elsewhere.
const AGAIN_PAUSE: Duration = Duration::from_millis(150);
/// Pause between two looks at how many items are listed.
const LISTED_PAUSE: Duration = Duration::from_millis(20);
/// The body under which replicas end.
pub const ENDS: &str = "ends its replica";

/// Where an edge is reached.
#[derive(Clone, Copy, Debug)]
pub struct EdgeAddress {
    /// Its place.
    pub edge: usize,
    /// Its own address, or that of a proxy before it.
    pub address: SocketAddr,
    /// It is a proxy's.
    pub is_proxied: bool,
}

/// A job that was handed in, or is to be.
#[derive(Debug)]
pub struct Job {
    /// What it is like.
    pub plan: JobPlan,
    /// The oldest version that it allows.
    pub oldest: u64,
    /// Items that a reader has seen listed.
    listed: AtomicUsize,
    /// Its caller ends it: nobody waits for its results any more.
    is_ended: AtomicBool,
}

/// How a caller connects.
#[derive(Clone, Copy, Debug)]
pub enum Connections {
    /// It keeps [`KEPT`] and uses them in turn.
    Kept,
    /// Each request has a new one.
    New,
}

/// What all callers of a run share.
pub struct Callers {
    /// What they see.
    pub history: Arc<History>,
    /// Edges, each by itself and through its proxy.
    pub edges: Vec<EdgeAddress>,
    /// They are to stop.
    pub is_over: AtomicBool,
    /// Nothing that ends replicas is to be asked any more.
    pub is_calm: AtomicBool,
    /// Numbers calls.
    pub next: AtomicU64,
    /// The newest version that a trainer named.
    pub newest_version: AtomicU64,
    /// What jobs are drawn from.
    pub seed: u64,
    /// Jobs by their identities.
    pub jobs: Mutex<BTreeMap<String, Arc<Job>>>,
}

impl Callers {
    fn number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    fn goes_on(&self) -> bool {
        !self.is_over.load(Ordering::Relaxed)
    }

    /// Asks and notes what came of it.
    pub async fn ask(
        &self,
        caller: &mut Caller,
        to: EdgeAddress,
        kind: Kind,
        path: &str,
        body: Bytes,
    ) -> (String, Outcome) {
        let id = format!("call-{}", self.number());
        let outcome = self.ask_as(caller, to, kind, path, &id, body).await;
        (id, outcome)
    }

    async fn ask_as(
        &self,
        caller: &mut Caller,
        to: EdgeAddress,
        kind: Kind,
        path: &str,
        id: &str,
        body: Bytes,
    ) -> Outcome {
        let sent_at = self.history.now();
        let asked = caller
            .ask("POST", path, id, body.clone(), CALLER_LIMIT)
            .await;
        let outcome = match asked {
            Asked::Broken => Outcome::Broken,
            Asked::Late => Outcome::Late,
            Asked::Unreached => Outcome::Unreached,
            Asked::Answered(status, named, answer) => Outcome::Answered {
                status,
                is_own: named == id && answer == body,
            },
        };
        self.history.note_call(CallRecord {
            id: id.to_string(),
            kind,
            edge: to.edge,
            is_proxied: to.is_proxied,
            sent_at,
            ended_at: self.history.now(),
            outcome: outcome.clone(),
        });
        outcome
    }

    /// Reads and writes at one edge: on several connections in turn, each of which is kept for
    /// as long as its process has it open, or each time on a new one.
    pub async fn run_caller(self: Arc<Self>, to: EdgeAddress, connections: Connections) {
        let mut kept: Vec<Caller> = (0..KEPT).map(|_| Caller::new(to.address)).collect();
        let mut turn = 0;
        while self.goes_on() {
            turn += 1;
            let mut new = Caller::new(to.address);
            let caller = match connections {
                Connections::Kept => &mut kept[turn % KEPT],
                Connections::New => &mut new,
            };
            let number = self.number();
            let (kind, path) = if number.is_multiple_of(3) {
                (Kind::Write, format!("/writes/{number}"))
            } else {
                (Kind::Read, format!("/reads/{number}"))
            };
            let body = Bytes::from(format!("body of {number}"));
            let (_, outcome) = self.ask(caller, to, kind, &path, body).await;
            if matches!(outcome, Outcome::Unreached | Outcome::Broken) {
                tokio::time::sleep(PAUSE).await;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Asks for one content that ends whatever replica runs it, at one edge after the other.
    pub async fn run_ending(self: Arc<Self>) {
        let edges: Vec<EdgeAddress> = self.own_edges();
        let mut turn = 0;
        while self.goes_on() {
            tokio::time::sleep(ENDING_PAUSE).await;
            if self.is_calm.load(Ordering::Relaxed) {
                continue;
            }
            let to = edges[turn % edges.len()];
            turn += 1;
            let mut caller = Caller::new(to.address);
            let body = Bytes::from_static(ENDS.as_bytes());
            self.ask(&mut caller, to, Kind::Ending, "/reads/ending", body)
                .await;
        }
    }

    fn own_edges(&self) -> Vec<EdgeAddress> {
        let edges = self.edges.iter().filter(|edge| !edge.is_proxied);
        edges.copied().collect()
    }

    /// Hands jobs in, reads their results and ends some, each at one edge after the other.
    pub async fn run_trainer(self: Arc<Self>) {
        let mut step = 0;
        while self.goes_on() && !self.is_calm.load(Ordering::Relaxed) {
            let plan = JobPlan::draw(self.seed, step);
            let newest = self.newest_version.load(Ordering::Relaxed);
            let oldest = newest.saturating_sub(1).max(1);
            let body = Bytes::from(job_of(step, oldest, &plan.items));
            let id = plan.id.clone();
            let job = Arc::new(Job {
                plan,
                oldest,
                listed: AtomicUsize::new(0),
                is_ended: AtomicBool::new(false),
            });
            let kept = Arc::clone(&job);
            self.jobs.lock().expect("lock").insert(id.clone(), kept);
            if self.submit(&id, body).await {
                let reader = Arc::clone(&self);
                let read = Arc::clone(&job);
                tokio::spawn(async move { reader.read_job(&read).await });
                let ender = Arc::clone(&self);
                tokio::spawn(async move { ender.end_job(&job).await });
            }
            step += 1;
            tokio::time::sleep(JOB_PAUSE).await;
        }
    }

    /// Ends a job as planned, and sends the end again.
    async fn end_job(&self, job: &Job) {
        let Some(plan) = &job.plan.end else {
            return;
        };
        match plan.when {
            EndWhen::AtOnce => {}
            EndWhen::After(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            EndWhen::Listed(count) => {
                while job.listed.load(Ordering::Relaxed) < count && self.goes_on() {
                    tokio::time::sleep(LISTED_PAUSE).await;
                }
            }
        }
        job.is_ended.store(true, Ordering::Relaxed);
        self.send_ends(&job.plan.id, plan).await;
    }

    /// Asks until an end is acknowledged, each time elsewhere; then again as planned.
    async fn send_ends(&self, id: &str, plan: &EndPlan) {
        let mut turn = plan.turn;
        let mut again = plan.again.iter();
        while self.goes_on() {
            let to = self.edges[turn % self.edges.len()];
            turn += 1;
            let pause = match self.end_at(to, id).await {
                200 => match again.next() {
                    Some(ms) => Duration::from_millis(*ms),
                    None => return,
                },
                _ => AGAIN_PAUSE,
            };
            tokio::time::sleep(pause).await;
        }
    }

    async fn end_at(&self, to: EdgeAddress, id: &str) -> u16 {
        let sent_at = self.history.now();
        let path = end_path(id);
        let mut caller = Caller::new(to.address);
        let asked = caller.ask("DELETE", &path, "ender", Bytes::new(), TRAINER_LIMIT);
        let status = match asked.await {
            Asked::Answered(status, ..) => status,
            Asked::Broken | Asked::Late | Asked::Unreached => 0,
        };
        self.history.note_end(EndRecord {
            job: id.to_string(),
            edge: to.edge,
            sent_at,
            ended_at: self.history.now(),
            status,
        });
        status
    }

    async fn submit(&self, id: &str, body: Bytes) -> bool {
        let edges = self.own_edges();
        let mut turn = self.number() as usize;
        while self.goes_on() {
            let to = edges[turn % edges.len()];
            turn += 1;
            let mut caller = Caller::new(to.address);
            let sent_at = self.history.now();
            let asked = caller
                .ask("POST", "/jobs/x", id, body.clone(), TRAINER_LIMIT)
                .await;
            let status = match asked {
                Asked::Answered(status, ..) => status,
                Asked::Broken | Asked::Late | Asked::Unreached => 0,
            };
            if status == 202 {
                self.history.note_call(CallRecord {
                    id: id.to_string(),
                    kind: Kind::Submit,
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
            tokio::time::sleep(AGAIN_PAUSE).await;
        }
        false
    }

    /// Reads a job from its first position until all its items are there, or it is ended.
    pub async fn read_job(&self, job: &Job) {
        let edges = self.own_edges();
        let items = job.plan.items.len();
        let mut since = 0;
        let mut turn = self.number() as usize;
        while since < items && self.goes_on() && !job.is_ended.load(Ordering::Relaxed) {
            let to = edges[turn % edges.len()];
            turn += 1;
            let mut caller = Caller::new(to.address);
            let path = results_path(&job.plan.id, since);
            let asked = caller
                .ask("GET", &path, "reader", Bytes::new(), TRAINER_LIMIT)
                .await;
            if let Asked::Answered(200, _, body) = asked
                && let Some(results) = read_page(&body)
            {
                let count = results.len();
                self.history.note_page(PageRecord {
                    job: job.plan.id.clone(),
                    since,
                    results,
                    at: self.history.now(),
                });
                since += count;
                job.listed.fetch_max(since, Ordering::Relaxed);
            }
            tokio::time::sleep(Duration::from_millis(120)).await;
        }
    }
}

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
