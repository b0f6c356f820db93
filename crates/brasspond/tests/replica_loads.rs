//! Sharing of slow replicas between edges by way of the leader, tested with real processes.

use brasspond_platform_standin::processes::{Cluster, Size, call, configuration, replica_entry};
use brasspond_platform_standin::{Replica, Store};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

const SIZE: Size = Size {
    edges: 3,
    storage: 3,
};
/// Concurrent reads of a batch, so many that all replicas are used.
const BATCH: usize = 9;
const USUAL: Duration = Duration::from_millis(20);
const SLOW: Duration = Duration::from_millis(280);
const TEST_LIMIT: Duration = Duration::from_secs(60);

/// Starts a cluster with three plain replicas, of which `plain-0` is slow.
async fn start() -> (Cluster, Vec<Arc<Replica>>) {
    let (store, addresses) = Store::start().await;
    let mut others = Vec::new();
    for id in ["plain-1", "plain-2"] {
        let (replica, address) = Replica::start(id).await;
        set_delay(&replica, USUAL);
        store.put("servers", id, replica_entry("plain", address));
        others.push(replica);
    }
    let cluster = Cluster::start_sized(configuration(1), store, addresses, SIZE).await;
    set_delay(&cluster.plain, SLOW);
    (cluster, others)
}

fn set_delay(replica: &Replica, delay: Duration) {
    *replica.answer_delay.lock().expect("lock") = delay;
}

/// Makes concurrent reads at an edge and waits for their answers.
async fn read_batch(front: SocketAddr, name: &str) {
    let mut reads = JoinSet::new();
    for number in 0..BATCH {
        let id = format!("{name}-{number}");
        reads.spawn(async move { call(front, "GET", "/reads/x", &id, "").await });
    }
    while let Some(answer) = reads.join_next().await {
        let answer = answer.expect("the read ends");
        assert_eq!(answer.expect("answered").status(), 200);
    }
}

/// Makes reads at an edge until the leader shares that `plain-0` is slow.
async fn read_until_shared(cluster: &Cluster, front: SocketAddr, name: &str) {
    const SHARED: &str = "event=replica_load_shared replica=plain-0 listed=true";
    let deadline = Instant::now() + TEST_LIMIT;
    let mut batch = 0;
    while !cluster.storage[cluster.leader()].log().contains(SHARED) {
        assert!(Instant::now() < deadline, "the slow replica is not shared");
        batch += 1;
        read_batch(front, &format!("{name}-{batch}")).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against edges that each find out a slow replica by themselves, and against a replica that
/// recovered and is still avoided.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn an_edge_avoids_a_replica_that_was_slow_at_another_edge() {
    let (cluster, _others) = start().await;
    read_until_shared(&cluster, cluster.edges[0].front, "first").await;
    let unused = &cluster.edges[2];
    unused
        .await_line("event=replica_slow_known replica=plain-0")
        .await;
    for number in 0..3 {
        let id = format!("second-{number}");
        let answer = call(unused.front, "GET", "/reads/x", &id, "").await;
        assert_eq!(answer.expect("answered").status(), 200);
        assert_eq!(cluster.plain.runs_of(&id), 0, "sent to the slow replica");
    }
    set_delay(&cluster.plain, USUAL);
    cluster
        .await_leader_line("event=replica_load_shared replica=plain-0 listed=false")
        .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    read_batch(unused.front, "third").await;
    let runs = (0..BATCH).map(|number| cluster.plain.runs_of(&format!("third-{number}")));
    assert!(runs.sum::<u32>() > 0, "the recovered replica is used");
}

/// Guards against edges that report to no leader, or a leader that shares nothing, after a change
/// of leader.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn the_next_leader_shares_slow_replicas_too() {
    let (mut cluster, _others) = start().await;
    read_until_shared(&cluster, cluster.edges[0].front, "first").await;
    let lost = cluster.leader();
    cluster.storage[lost].kill();
    let deadline = Instant::now() + TEST_LIMIT;
    while cluster.leader() == lost {
        assert!(Instant::now() < deadline, "no other leader");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    read_until_shared(&cluster, cluster.edges[1].front, "second").await;
}
