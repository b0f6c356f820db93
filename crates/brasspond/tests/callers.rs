//! Callers that disconnect, edges that run out of descriptors, and replicas whose connections are
//! refused or go silent, tested with real processes.

use brasspond_platform_standin::Replica;
use brasspond_platform_standin::processes::{Cluster, call, configuration, replica_entry, text};
use brasspond_platform_standin::silent::SilencedReplica;
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

/// Time limit on cancelling a replica's work after the caller has disconnected.
const CANCEL_LIMIT: Duration = Duration::from_millis(500);
const PATIENCE: Duration = Duration::from_secs(30);

/// Makes a call and disconnects after the time `after`, before the response is complete.
async fn call_and_disconnect(front: SocketAddr, path: &str, id: &str, after: Duration) {
    let called = call(front, "POST", path, id, "x");
    let answer = tokio::time::timeout(after, async {
        let response = called.await?;
        text(response).await
    });
    assert!(
        answer.await.is_err(),
        "answered before the caller disconnected"
    );
}

async fn is_abandoned(replica: &Replica) -> bool {
    let deadline = Instant::now() + CANCEL_LIMIT;
    while Instant::now() < deadline {
        if replica.abandoned.load(Ordering::Relaxed) == 1 {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    false
}

/// Guards against replicas that continue with requests whose callers have disconnected.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn work_is_cancelled_soon_after_its_caller_disconnects() {
    let cluster = Cluster::start().await;
    let front = cluster.edges[0].front;
    cluster.plain.silent.store(true, Ordering::Relaxed);
    let mut others = Vec::new();
    for id in ["plain-1", "plain-2"] {
        let (other, address) = Replica::start(id).await;
        other.silent.store(true, Ordering::Relaxed);
        cluster
            .store
            .put("servers", id, replica_entry("plain", address));
        others.push(other);
    }
    tokio::time::sleep(Duration::from_millis(800)).await;
    // The request and its hedge are in flight; the next attempt is due 0.9 s after the first one
    // started.
    call_and_disconnect(front, "/reads/x", "read", Duration::from_millis(300)).await;
    let replicas = || others.iter().chain([&cluster.plain]);
    let sent_to = || replicas().filter(|one| one.runs_of("read") == 1);
    assert_eq!(sent_to().count(), 2, "the request and its hedge");
    for replica in sent_to() {
        assert!(is_abandoned(replica).await, "{}", replica.id);
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let runs: u32 = replicas().map(|one| one.runs_of("read")).sum();
    assert_eq!(runs, 2, "not sent to another replica");
    // The stream has begun when the caller disconnects.
    call_and_disconnect(front, "/streams/x", "stream", Duration::from_millis(200)).await;
    let engines = &cluster.replicas;
    let ran = engines.iter().find(|one| one.runs_of("stream") == 1);
    assert!(is_abandoned(ran.expect("ran")).await);
}

/// Guards against cancelling a request that must not be repeated.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn work_that_must_not_be_repeated_is_not_cancelled() {
    let cluster = Cluster::start().await;
    let front = cluster.edges[0].front;
    let replica: &Arc<Replica> = &cluster.plain;
    *replica.answer_delay.lock().expect("lock") = Duration::from_millis(1_200);
    call_and_disconnect(front, "/writes/x", "write", Duration::from_millis(300)).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(replica.runs_of("write"), 1);
    assert_eq!(replica.abandoned.load(Ordering::Relaxed), 0);
}

/// Returns the status of a readiness probe, or `None` without a response in time.
async fn readiness(address: SocketAddr) -> Option<u16> {
    let response = call(address, "GET", "/-/readyz", "ready", "");
    let response = tokio::time::timeout(Duration::from_millis(500), response).await;
    Some(response.ok()??.status().as_u16())
}

/// Guards against an edge that reports ready but accepts no new connections.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn an_edge_whose_descriptors_are_used_up_makes_room() {
    const DESCRIPTORS: u32 = 80;
    const CALLERS: usize = 120;
    let mut cluster = Cluster::start().await;
    let edge = &mut cluster.edges[0];
    edge.kill();
    edge.start_with(Some(DESCRIPTORS));
    edge.await_line("event=leader_known").await;
    edge.await_line("event=configuration_in_force").await;
    let edge = &cluster.edges[0];
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        callers.push(TcpStream::connect(edge.front).await.expect("a backlog"));
    }
    edge.await_line("event=accept_failed").await;
    // The edge closes idle connections, so a new caller is served although no caller disconnects.
    let deadline = Instant::now() + Duration::from_secs(3);
    loop {
        let answer = call(edge.front, "POST", "/reads/x", "read", "x");
        let answer = tokio::time::timeout(Duration::from_secs(1), answer).await;
        if answer.ok().flatten().is_some_and(|one| one.status() == 200) {
            break;
        }
        assert!(Instant::now() < deadline, "no new connection is accepted");
    }
    edge.await_line("event=accept_regained").await;
    assert_eq!(readiness(edge.ready).await, Some(200));
    drop(callers);
}

/// Guards against requests that fail although a replica is free: a refused connection to a replica
/// that has exited must not use up the only attempt of the route.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_connection_counts_as_no_attempt() {
    let mut first = configuration(1);
    first["route_list"][2]["max_attempts"] = 1.into();
    let cluster = Cluster::start_with(first).await;
    for number in 0..3 {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
        let address = listener.local_addr().expect("address");
        drop(listener);
        let id = format!("gone-{number}");
        cluster
            .store
            .put("servers", &id, replica_entry("plain", address));
    }
    let front = cluster.edges[0].front;
    cluster.edges[0].await_line("ready=6").await;
    let deadline = Instant::now() + PATIENCE;
    for number in 0..20 {
        assert!(Instant::now() < deadline);
        let id = format!("read-{number}");
        let response = call(front, "POST", "/reads/x", &id, "x").await;
        assert_eq!(response.expect("answered").status(), 200, "{id}");
        assert_eq!(cluster.plain.runs_of(&id), 1);
    }
}

/// Guards against one timeout for each idle connection to a replica that has become silent: the
/// first timeout must discard all of them.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_cost_one_time_out() {
    const CONNECTIONS: usize = 6;
    /// Time limit of an attempt that is not the last one: three times the latency objective of 300
    /// ms.
    const ATTEMPT_LIMIT: Duration = Duration::from_millis(900);
    let cluster = Cluster::start().await;
    let silenced = SilencedReplica::start(&cluster.store, "plain", "plain-silenced").await;
    cluster.store.remove("servers", "plain-0");
    let front = cluster.edges[0].front;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    *silenced.replica.answer_delay.lock().expect("lock") = Duration::from_millis(200);
    let ask = async |id: String| {
        let response = call(front, "POST", "/reads/x", &id, "x").await;
        response.expect("answered").status()
    };
    let first = (0..CONNECTIONS).map(|number| ask(format!("first-{number}")));
    let statuses = futures::future::join_all(first).await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    *silenced.replica.answer_delay.lock().expect("lock") = Duration::ZERO;
    silenced.silence();
    let started = Instant::now();
    for number in 0..CONNECTIONS {
        assert_eq!(ask(format!("later-{number}")).await, 200);
    }
    assert!(
        started.elapsed() < 2 * ATTEMPT_LIMIT,
        "{:?}",
        started.elapsed()
    );
}
