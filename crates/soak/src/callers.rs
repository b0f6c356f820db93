//! Callers and a trainer, who ask all the while and note what they see.

use crate::history::{CallRecord, History, Kind, Outcome, PageRecord, ResultRecord};
use brasspond_platform_standin::caller::{Asked, Caller, job_of, results_path};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(60);
/// Time that a caller waits.
pub const CALLER_LIMIT: Duration = Duration::from_millis(2_000);
/// Time that a trainer waits for a call.
const TRAINER_LIMIT: Duration = Duration::from_millis(4_000);
/// Pause between two requests that end replicas.
const ENDING_PAUSE: Duration = Duration::from_millis(2_500);
/// Pause between two jobs.
const JOB_PAUSE: Duration = Duration::from_millis(2_000);
/// Items of a job.
const ITEMS: usize = 8;
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
    /// Items of each job, and the oldest version that it allows.
    pub jobs: Mutex<BTreeMap<String, (Vec<String>, u64)>>,
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

    /// Reads and writes at one edge, on a connection that is kept.
    pub async fn run_caller(self: Arc<Self>, to: EdgeAddress) {
        let mut caller = Caller::new(to.address);
        while self.goes_on() {
            let number = self.number();
            let (kind, path) = if number.is_multiple_of(3) {
                (Kind::Write, format!("/writes/{number}"))
            } else {
                (Kind::Read, format!("/reads/{number}"))
            };
            let body = Bytes::from(format!("body of {number}"));
            let (_, outcome) = self.ask(&mut caller, to, kind, &path, body).await;
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

    /// Hands jobs in and reads their results, each at one edge after the other.
    pub async fn run_trainer(self: Arc<Self>) {
        let mut step = 0;
        while self.goes_on() && !self.is_calm.load(Ordering::Relaxed) {
            let id = format!("job-{step}");
            let newest = self.newest_version.load(Ordering::Relaxed);
            let oldest = newest.saturating_sub(1).max(1);
            let items: Vec<String> = (0..ITEMS).map(|item| format!("{id}-item-{item}")).collect();
            let body = Bytes::from(job_of(step, oldest, &items));
            let kept = (items.clone(), oldest);
            self.jobs.lock().expect("lock").insert(id.clone(), kept);
            if self.submit(&id, body).await {
                let reader = Arc::clone(&self);
                tokio::spawn(async move { reader.read_job(&id, ITEMS).await });
            }
            step += 1;
            tokio::time::sleep(JOB_PAUSE).await;
        }
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
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
        false
    }

    /// Reads a job from its first position until all its items are there.
    pub async fn read_job(&self, id: &str, items: usize) {
        let edges = self.own_edges();
        let mut since = 0;
        let mut turn = self.number() as usize;
        while since < items && self.goes_on() {
            let to = edges[turn % edges.len()];
            turn += 1;
            let mut caller = Caller::new(to.address);
            let path = results_path(id, since);
            let asked = caller
                .ask("GET", &path, "reader", Bytes::new(), TRAINER_LIMIT)
                .await;
            if let Asked::Answered(200, _, body) = asked
                && let Some(results) = read_page(&body)
            {
                let count = results.len();
                self.history.note_page(PageRecord {
                    job: id.to_string(),
                    since,
                    results,
                    at: self.history.now(),
                });
                since += count;
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
        }
    });
    Some(results.collect())
}
