//! Hedged requests: a slow or silent replica does not make callers late, tested with real
//! processes.

use brasspond_platform_standin::Replica;
use brasspond_platform_standin::processes::{
    Cluster, call, call_with, configuration, read_results, replica_entry, scored_job, text,
};
use rstest::rstest;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Latency objective of the configured routes. Without hedges a silent replica is given up only
/// after three times as long.
const OBJECTIVE: Duration = Duration::from_millis(300);
/// Time limit on cancelling the attempt that lost.
const CANCEL_LIMIT: Duration = Duration::from_millis(500);
/// Time for the edges to learn of new replicas.
const VIEW_TIME: Duration = Duration::from_millis(800);
/// Index of the route for `/reads/` in the configuration.
const READS: usize = 2;

/// Starts a cluster with `count` replicas of the plain service and the given maximum number of
/// attempts for `/reads/`.
async fn start(count: usize, max_attempts: u32) -> (Cluster, Vec<Arc<Replica>>) {
    let mut first: Value = configuration(1);
    first["route_list"][READS]["max_attempts"] = max_attempts.into();
    let cluster = Cluster::start_with(first).await;
    let mut replicas = vec![Arc::clone(&cluster.plain)];
    for number in 1..count {
        let id = format!("plain-{number}");
        let (replica, address) = Replica::start(&id).await;
        let entry = replica_entry("plain", address);
        cluster.store.put("servers", &id, entry);
        replicas.push(replica);
    }
    tokio::time::sleep(VIEW_TIME).await;
    (cluster, replicas)
}

fn runs(replicas: &[Arc<Replica>], id: &str) -> u32 {
    replicas.iter().map(|one| one.runs_of(id)).sum()
}

fn abandoned(replicas: &[Arc<Replica>]) -> u32 {
    let counts = replicas.iter();
    counts
        .map(|one| one.abandoned.load(Ordering::Relaxed))
        .sum()
}

async fn await_abandoned(replicas: &[Arc<Replica>], expected: u32) {
    let deadline = Instant::now() + CANCEL_LIMIT;
    while abandoned(replicas) < expected {
        assert!(Instant::now() < deadline, "{}", abandoned(replicas));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Sends requests until one was sent to the first replica, and returns its number. Each must be
/// answered with its own body within the objective.
async fn answer_in_time(cluster: &Cluster, replica: &Replica) -> String {
    for number in 0..20 {
        let id = format!("read-{number}");
        let started = Instant::now();
        let answer = call(cluster.edges[0].front, "POST", "/reads/x", &id, id.clone()).await;
        let answer = answer.expect("answered");
        assert_eq!(answer.status(), 200);
        assert_eq!(text(answer).await.as_deref(), Some(id.as_str()));
        let elapsed = started.elapsed();
        assert!(elapsed < OBJECTIVE, "{id}: {elapsed:?}");
        if replica.runs_of(&id) > 0 {
            return id;
        }
    }
    panic!("no request was sent to {}", replica.id);
}

/// Guards against callers that wait for a slow replica while another one is free, and against a
/// losing attempt that goes on using its replica.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_replica_does_not_make_callers_late() {
    let (cluster, replicas) = start(2, 2).await;
    *replicas[0].answer_delay.lock().expect("lock") = Duration::from_millis(700);
    let id = answer_in_time(&cluster, &replicas[0]).await;
    assert_eq!(runs(&replicas, &id), 2);
    await_abandoned(&replicas, 1).await;
    let edge = &cluster.edges[0];
    edge.await_line("event=request_hedged").await;
    edge.await_line("winner=second").await;
}

/// Guards against a connection that is used again although a cancelled attempt is still on it: the
/// next request would get another request's answer.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn the_connection_of_a_losing_attempt_is_not_used_again() {
    let (cluster, replicas) = start(2, 2).await;
    let delay = Duration::from_millis(700);
    *replicas[0].answer_delay.lock().expect("lock") = delay;
    answer_in_time(&cluster, &replicas[0]).await;
    *replicas[0].answer_delay.lock().expect("lock") = Duration::ZERO;
    // Only the replica of the losing attempt is left.
    cluster.store.remove("servers", "plain-1");
    tokio::time::sleep(VIEW_TIME.max(delay)).await;
    let front = cluster.edges[0].front;
    for number in 0..5 {
        let id = format!("later-{number}");
        let answer = call(front, "POST", "/reads/x", &id, id.clone()).await;
        let answer = answer.expect("answered");
        assert_eq!(answer.status(), 200);
        assert_eq!(text(answer).await.as_deref(), Some(id.as_str()));
        assert_eq!(replicas[0].runs_of(&id), 1);
    }
    let log = cluster.edges[0].log();
    assert!(!log.contains("event=attempt_failed"), "{log}");
}

/// Guards against a request that fails with its first attempt although its hedge is answered, and
/// against one that hides the error of both.
#[rstest]
#[case::hedge_answers(false, 200)]
#[case::both_fail(true, 500)]
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_attempt_leaves_the_outcome_to_the_other(
    #[case] do_both_fail: bool,
    #[case] status: u16,
) {
    let (cluster, replicas) = start(2, 2).await;
    for replica in &replicas {
        *replica.answer_delay.lock().expect("lock") = Duration::from_millis(250);
        replica.fails.store(do_both_fail, Ordering::Relaxed);
    }
    // The first attempt fails after its hedge was sent and before that is answered.
    replicas[0].fails.store(true, Ordering::Relaxed);
    let front = cluster.edges[0].front;
    for number in 0..20 {
        let id = format!("read-{number}");
        let answer = call(front, "POST", "/reads/x", &id, "x").await;
        assert_eq!(answer.expect("answered").status(), status, "{id}");
        assert!(runs(&replicas, &id) <= 2);
        let log = cluster.edges[0].log();
        if log.contains("event=attempt_failed") && log.contains("event=hedge_ended") {
            return;
        }
    }
    panic!("no hedged request had a failed attempt");
}

/// Guards against callers that wait three objectives for a replica that is silent from the start.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_replica_does_not_make_callers_late() {
    let (cluster, replicas) = start(2, 2).await;
    replicas[0].silent.store(true, Ordering::Relaxed);
    answer_in_time(&cluster, &replicas[0]).await;
    await_abandoned(&replicas, 1).await;
}

/// Guards against a request that is on more replicas than its route allows, and against one that
/// gets an answer although all its attempts failed.
#[rstest]
#[case::two(2)]
#[case::three(3)]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_on_no_more_replicas_than_its_route_allows(#[case] max_attempts: u32) {
    let (cluster, replicas) = start(5, max_attempts).await;
    for replica in &replicas {
        replica.silent.store(true, Ordering::Relaxed);
    }
    let front = cluster.edges[0].front;
    let headers = [("x-brasspond-deadline-ms", "2500")];
    let asked = ask_with(front, &headers).await;
    assert_eq!(asked, 504, "it may have run");
    assert_eq!(runs(&replicas, "read"), max_attempts);
    await_abandoned(&replicas, max_attempts).await;
}

/// Sends the request `read` with additional headers and returns the status.
async fn ask_with(front: SocketAddr, headers: &[(&str, &str)]) -> u16 {
    let answer = call_with(front, "POST", "/reads/x", "read", headers, "x").await;
    answer.expect("answered").status().as_u16()
}

/// Guards against a request that runs twice although it must not.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_not_run_twice_is_never_hedged() {
    let (cluster, replicas) = start(3, 2).await;
    for replica in &replicas {
        *replica.answer_delay.lock().expect("lock") = Duration::from_millis(600);
    }
    let front = cluster.edges[0].front;
    for number in 0..4 {
        let id = format!("write-{number}");
        let answer = call(front, "POST", "/writes/x", &id, "x").await;
        assert_eq!(answer.expect("answered").status(), 200);
        assert_eq!(runs(&replicas, &id), 1);
    }
    assert_eq!(abandoned(&replicas), 0);
}

/// Logs of all edges once they have as many lines on ended scorings, or after five seconds. Lines are
/// written by a thread of their own, after the results were stored.
async fn await_scored_lines(cluster: &Cluster, expected: usize) -> String {
    let deadline = Instant::now() + Duration::from_secs(5);
    loop {
        let logs: String = cluster.edges.iter().map(|edge| edge.log()).collect();
        let scored = logs.matches("event=scored ").count();
        if scored >= expected || Instant::now() >= deadline {
            return logs;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against texts whose scores come late because a scoring call waits for a silent replica.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_replica_does_not_delay_scores() {
    const ITEMS: usize = 4;
    let (cluster, replicas) = start(2, 3).await;
    replicas[0].silent.store(true, Ordering::Relaxed);
    let front = cluster.edges[0].front;
    let response = call(front, "POST", "/jobs/x", "job", scored_job(ITEMS)).await;
    assert_eq!(response.expect("answered").status(), 202);
    for result in read_results(front, "job", ITEMS).await {
        let score = result["score"].as_str().expect("a score");
        assert!(score.starts_with("stamp.score-"), "{score}");
    }
    let logs = await_scored_lines(&cluster, ITEMS).await;
    let scored = logs.lines().filter(|line| line.contains("event=scored "));
    let scored: Vec<&str> = scored.collect();
    assert_eq!(scored.len(), ITEMS);
    for line in scored {
        assert!(line.contains(" silent=0 "), "an attempt timed out: {line}");
    }
    let is_hedged = |line: &str| line.contains("event=request_hedged request=score-");
    assert!(
        logs.lines().any(is_hedged),
        "no call met the silent replica"
    );
    let running = runs(&replicas, "score-0");
    assert!(
        running <= 3,
        "{running} replicas, more than the route allows"
    );
}

/// Guards against requests that wait in the queue of a busy service until their deadline, and
/// against callers that return before the backlog is worked off.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_cannot_be_answered_in_time_is_rejected_at_once() {
    /// Three times the slots of the replica.
    const REQUESTS: usize = 24;
    let (cluster, replicas) = start(1, 2).await;
    let front = cluster.edges[0].front;
    *replicas[0].answer_delay.lock().expect("lock") = Duration::from_millis(700);
    let ask = async |id: String| {
        let answer = call(front, "POST", "/reads/x", &id, "x").await;
        answer.expect("answered").status()
    };
    assert_eq!(ask("first".to_string()).await, 200);
    let waiting = futures::future::join_all((0..REQUESTS).map(|number| ask(format!("{number}"))));
    let late = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let headers = [("x-brasspond-deadline-ms", "1000")];
        let started = Instant::now();
        let answer = call_with(front, "POST", "/reads/x", "late", &headers, "x").await;
        (answer.expect("answered"), started.elapsed())
    };
    let (statuses, (answer, elapsed)) = futures::future::join(waiting, late).await;
    assert_eq!(answer.status(), 503);
    assert!(elapsed < Duration::from_millis(300), "{elapsed:?}");
    assert_eq!(replicas[0].runs_of("late"), 0);
    let retry_after = answer.headers()["retry-after"].to_str().expect("a number");
    // Two rounds of 0.7 s are ahead, and the jitter adds up to half of that.
    let retry_after: f64 = retry_after.parse().expect("seconds");
    assert!((1.4..=3.0).contains(&retry_after), "{retry_after}");
    // Requests with enough time left are not rejected.
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}
