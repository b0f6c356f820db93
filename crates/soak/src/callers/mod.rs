//! Callers that send requests throughout a run and record their outcomes.

mod load;
mod submitter;
mod trainer;

pub use trainer::Job;

use crate::history::{CallKind, CallRecord, History, Outcome};
use brasspond_platform_standin::caller::{CallOutcome, Caller};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Number of connections that a persistent caller uses in turn. All but one are idle at any time.
const CONNECTIONS_PER_CALLER: usize = 3;
/// Pause between two requests of a caller.
const REQUEST_PAUSE: Duration = Duration::from_millis(60);
/// Time that a caller waits for an answer.
pub const CALLER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Pause before each request that makes its replica exit.
const CRASH_PAUSE: Duration = Duration::from_millis(2_500);
/// Request body that makes the replica that runs it exit.
pub const CRASH_BODY: &str = "ends its replica";

/// Address at which callers reach an edge.
#[derive(Clone, Copy, Debug)]
pub struct EdgeAddress {
    /// Index of the edge.
    pub edge: usize,
    /// Address of the edge, or of the proxy in front of it.
    pub address: SocketAddr,
    /// Whether `address` belongs to a proxy.
    pub is_proxied: bool,
}

/// How a caller uses connections.
#[derive(Clone, Copy, Debug)]
pub enum Connections {
    /// The caller keeps several connections open and uses them in turn.
    Persistent,
    /// The caller opens a new connection for each request.
    PerRequest,
}

/// State that all callers of a run share.
pub struct Callers {
    /// Records of all calls.
    pub history: Arc<History>,
    /// Addresses of all edges, direct and through proxies.
    pub edges: Vec<EdgeAddress>,
    /// Whether all callers must stop.
    pub is_stopped: AtomicBool,
    /// Whether the run is in its cooldown, in which no job is submitted and no request is sent that
    /// makes its replica exit.
    pub is_settling: AtomicBool,
    /// Next number for the id or the path of a call.
    pub next_number: AtomicU64,
    /// Newest published version of the weights.
    pub newest_version: AtomicU64,
    /// Seed from which jobs are drawn.
    pub seed: u64,
    /// Jobs that are or will be submitted, by id.
    pub jobs: Mutex<BTreeMap<String, Arc<Job>>>,
}

/// Returns the outcome of a call for its record. `is_own` tells from the id and the body of a complete
/// answer whether they match the call.
fn outcome_of(response: CallOutcome, is_own: impl FnOnce(&str, &Bytes) -> bool) -> Outcome {
    match response {
        CallOutcome::Broken => Outcome::Broken,
        CallOutcome::TimedOut => Outcome::Late,
        CallOutcome::NoConnection => Outcome::Unreached,
        CallOutcome::Answered(status, id, body) => Outcome::Answered {
            status,
            is_own: is_own(&id, &body),
        },
    }
}

impl Callers {
    /// Returns a number that is unique in the run, for the id or the path of a call.
    fn next_id_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns whether callers must continue.
    fn is_running(&self) -> bool {
        !self.is_stopped.load(Ordering::Relaxed)
    }

    /// Makes a call with a new id and records it. Returns the id and the outcome.
    pub async fn send(
        &self,
        caller: &mut Caller,
        to: EdgeAddress,
        kind: CallKind,
        path: &str,
        body: Bytes,
    ) -> (String, Outcome) {
        let id = format!("call-{}", self.next_id_number());
        let outcome = self.send_with_id(caller, to, kind, path, &id, body).await;
        (id, outcome)
    }

    /// Makes a call with the given id and records it.
    async fn send_with_id(
        &self,
        caller: &mut Caller,
        to: EdgeAddress,
        kind: CallKind,
        path: &str,
        id: &str,
        body: Bytes,
    ) -> Outcome {
        let sent_at = self.history.now();
        let response = caller
            .call("POST", path, id, body.clone(), CALLER_TIMEOUT)
            .await;
        let outcome = outcome_of(response, |answer_id, answer| {
            answer_id == id && *answer == body
        });
        self.history.record_call(CallRecord {
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

    /// Sends reads and writes to one edge until the callers are stopped.
    pub async fn run_caller(self: Arc<Self>, to: EdgeAddress, connections: Connections) {
        let mut pool: Vec<Caller> = (0..CONNECTIONS_PER_CALLER)
            .map(|_| Caller::new(to.address))
            .collect();
        let mut turn = 0;
        while self.is_running() {
            turn += 1;
            let mut new = Caller::new(to.address);
            let caller = match connections {
                Connections::Persistent => &mut pool[turn % CONNECTIONS_PER_CALLER],
                Connections::PerRequest => &mut new,
            };
            let number = self.next_id_number();
            let (kind, path) = if number.is_multiple_of(3) {
                (CallKind::Write, format!("/writes/{number}"))
            } else {
                (CallKind::Read, format!("/reads/{number}"))
            };
            let body = Bytes::from(format!("body of {number}"));
            let (_, outcome) = self.send(caller, to, kind, &path, body).await;
            if matches!(outcome, Outcome::Unreached | Outcome::Broken) {
                tokio::time::sleep(REQUEST_PAUSE).await;
            }
            tokio::time::sleep(REQUEST_PAUSE).await;
        }
    }

    /// Sends the request that makes its replica exit to one edge after the other, until the callers
    /// are stopped.
    pub async fn run_crash_caller(self: Arc<Self>) {
        let edges: Vec<EdgeAddress> = self.direct_edges();
        let mut turn = 0;
        while self.is_running() {
            tokio::time::sleep(CRASH_PAUSE).await;
            if self.is_settling.load(Ordering::Relaxed) {
                continue;
            }
            let to = edges[turn % edges.len()];
            turn += 1;
            let mut caller = Caller::new(to.address);
            let body = Bytes::from_static(CRASH_BODY.as_bytes());
            self.send(&mut caller, to, CallKind::Ending, "/reads/ending", body)
                .await;
        }
    }

    /// Returns the direct addresses of all edges.
    fn direct_edges(&self) -> Vec<EdgeAddress> {
        let edges = self.edges.iter().filter(|edge| !edge.is_proxied);
        edges.copied().collect()
    }
}
