//! Quarantine of a request body that crashes every replica that runs it. After a few crashes the
//! body must be refused under any id and at any edge, while other bodies are served.

use brasspond_platform_standin::processes::{Cluster, call, job, results, text};
use brasspond_platform_standin::restarting::RestartingReplica;
use hyper::header::RETRY_AFTER;
use rstest::rstest;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Request body that crashes replicas.
const CRASHING: &str = "ends its replica";
/// [`CRASHING`] in base64, for items.
const CRASHING_BASE64: &str = "ZW5kcyBpdHMgcmVwbGljYQ==";
/// Number of replicas that crash on the body.
const REPLICAS: usize = 3;
/// Number of crashes after which a body is quarantined.
const QUARANTINED_AFTER: usize = 3;
const PATIENCE: Duration = Duration::from_secs(30);

/// A cluster in which all replicas of one service crash on [`CRASHING`].
struct Fixture {
    cluster: Cluster,
    replicas: Vec<Arc<RestartingReplica>>,
}

impl Fixture {
    async fn start(service: &'static str) -> Self {
        let cluster = Cluster::start().await;
        let mut replicas = Vec::new();
        for number in 0..REPLICAS {
            let name = format!("{service}-ending-{number}");
            let replica = RestartingReplica::start(&cluster.store, service, &name, CRASHING).await;
            replicas.push(replica);
        }
        // The stand-in's default replicas are removed, because they do not crash.
        let others: &[&str] = match service {
            "plain" => &["plain-0"],
            _ => &["engine-0", "engine-1"],
        };
        for other in others {
            cluster.store.remove("servers", other);
        }
        tokio::time::sleep(Duration::from_millis(800)).await;
        Self { cluster, replicas }
    }

    /// Returns the number of crashes of all replicas.
    fn crashes(&self) -> usize {
        self.replicas.iter().map(|one| one.ends()).sum()
    }

    /// Waits until replicas have crashed `count` times and serve again.
    async fn await_crashes(&self, count: usize) {
        let deadline = Instant::now() + PATIENCE;
        while self.crashes() < count {
            assert!(Instant::now() < deadline, "{} crashes", self.crashes());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        // A crash is counted once the next instance listens. The pause lets the edges receive the
        // new entry and stop avoiding the replica because of the crash.
        tokio::time::sleep(Duration::from_millis(900)).await;
    }

    /// Returns the status of a request and whether the response has a `retry-after` header. The
    /// status is 0 without a response.
    async fn ask(&self, edge: usize, path: &str, id: &str, body: &str) -> (u16, bool) {
        let front = self.cluster.edges[edge].front;
        let response = call(front, "POST", path, id, body.to_string()).await;
        let Some(response) = response else {
            return (0, false);
        };
        let status = response.status().as_u16();
        let has_retry_after = response.headers().contains_key(RETRY_AFTER);
        let _ = text(response).await;
        (status, has_retry_after)
    }

    /// Checks that no edge suspects a content.
    async fn assert_no_case(&self) {
        for edge in &self.cluster.edges {
            let log = edge.log();
            assert!(!log.contains("event=replica_looked_at"), "{}", edge.name);
        }
    }

    /// Checks that both edges refuse the body and no replica crashes.
    async fn assert_refused(&self, path: &str, round: &str) {
        let before = self.crashes();
        for edge in 0..2 {
            let id = format!("again-{round}-{edge}");
            let (status, has_retry_after) = self.ask(edge, path, &id, CRASHING).await;
            assert_eq!(status, 503, "refused at edge {edge}, {round}");
            assert!(has_retry_after, "no retry-after header");
        }
        assert_eq!(self.crashes(), before, "a replica crashed, {round}");
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn content_that_crashes_replicas_is_refused() {
    check_quarantine("plain", "/reads/x").await;
    check_quarantine("engines", "/streams/x").await;
}

async fn check_quarantine(service: &'static str, path: &str) {
    let mut fixture = Fixture::start(service).await;
    for number in 0..10 {
        if fixture.crashes() >= QUARANTINED_AFTER {
            break;
        }
        let id = format!("first-{number}");
        fixture.ask(number % 2, path, &id, CRASHING).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    fixture.await_crashes(QUARANTINED_AFTER).await;
    assert_eq!(
        fixture.crashes(),
        QUARANTINED_AFTER,
        "no crash after the quarantine"
    );
    fixture.assert_refused(path, "after three crashes").await;
    // Other bodies at the same path are still served.
    for edge in 0..2 {
        let (status, _) = fixture.ask(edge, path, "other", "another body").await;
        assert_eq!(status, 200);
    }
    // The quarantine survives the loss of the leader and a restart of the edges.
    let leader = fixture.cluster.leader();
    fixture.cluster.storage[leader].kill();
    for edge in 0..2 {
        fixture.cluster.edges[edge].kill();
        fixture.cluster.edges[edge].start();
    }
    for edge in 0..2 {
        let edge = &fixture.cluster.edges[edge];
        edge.await_line("event=leader_known").await;
        edge.await_line("event=configuration_in_force").await;
        edge.await_line("event=quarantine_known").await;
    }
    fixture.assert_refused(path, "after the restart").await;
    let (status, _) = fixture.ask(0, path, "other-again", "another body").await;
    assert_eq!(status, 200);
}

async fn submit(front: SocketAddr, id: &str, job: &Value) {
    let response = call(front, "POST", "/jobs/x", id, job.to_string()).await;
    assert_eq!(response.expect("answered").status().as_u16(), 202);
}

/// Number of crashes after which an item must still be run: more than those after which a
/// request is refused.
const ITEM_CRASHES: usize = 2 * QUARANTINED_AFTER + 1;

/// Guards against a scoring call that is held back because replicas crashed while they ran it, and
/// against a request that is refused for it. The call belongs to an accepted item.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_scoring_call_is_repeated_after_crashes_and_holds_no_request_back() {
    let fixture = Fixture::start("plain").await;
    let mut body: Value = serde_json::from_str(&job(1)).expect("a job");
    body["requests"][0]["scoring_fn"] = json!({
        "id": "score-0", "host": "host.example", "path": "/reads/score", "body": CRASHING_BASE64,
    });
    let front = fixture.cluster.edges[0].front;
    submit(front, "job-1", &body).await;
    fixture.await_crashes(ITEM_CRASHES).await;
    fixture.assert_no_case().await;
    let ended = call(front, "DELETE", "/-/lots/job-1", "end", "").await;
    assert_eq!(ended.expect("answered").status(), 200);
    // A last replica may have crashed just before.
    fixture.await_crashes(fixture.crashes()).await;
    let (status, _) = fixture.ask(0, "/reads/x", "other", "another body").await;
    assert_eq!(status, 200);
}

/// Guards against an item that is not run again because replicas crashed while they ran it, and
/// against a request with the same content that is refused for it.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn an_item_is_run_again_after_crashes_and_holds_no_request_back() {
    const ITEMS: usize = 9;
    let fixture = Fixture::start("engines").await;
    let mut body: Value = serde_json::from_str(&job(ITEMS)).expect("a job");
    body["requests"][0]["body"] = json!(CRASHING_BASE64);
    submit(fixture.cluster.edges[0].front, "job-1", &body).await;
    fixture.await_crashes(ITEM_CRASHES).await;
    let listed = results(fixture.cluster.edges[1].front, "job-1", ITEMS - 1).await;
    assert!(
        listed.iter().all(|(id, _)| id != "item-0"),
        "the other items complete"
    );
    let runs: u32 = fixture
        .replicas
        .iter()
        .map(|one| one.runs_of("item-0"))
        .sum();
    assert!(runs as usize >= ITEM_CRASHES, "{runs} runs");
    fixture.assert_no_case().await;
}
