//! Reads of results while the log has no leader.

use brasspond_platform_standin::processes::{Cluster, call, job, read_results, text};
use rstest::rstest;
use serde_json::Value;
use std::time::{Duration, Instant};

const ITEMS: usize = 6;
/// Time in which each member applies what the leader has committed.
const REPLICATION_TIME: Duration = Duration::from_millis(600);
/// Time until edges have noticed that the leader is lost and members that they hear from none.
const LEADER_LOSS_TIME: Duration = Duration::from_millis(2_500);
/// Time in which a read must be answered once the cluster is steady.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);

/// Reads the results of a job from a position on; `None` unless the edge answers 200.
async fn read_page(cluster: &Cluster, edge: usize, job: &str, since: usize) -> Option<Value> {
    let path = format!("/-/lots/{job}?since_rev={since}");
    let response = call(cluster.edges[edge].front, "GET", &path, "reader", "").await?;
    if response.status() != 200 {
        return None;
    }
    let body = text(response).await?;
    serde_json::from_str(&body).ok()
}

/// Guards against listed results that cannot be read again because no leader is known.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn listed_results_are_readable_without_a_quorum() {
    let mut cluster = Cluster::start().await;
    let front = cluster.edges[0].front;
    let response = call(front, "POST", "/jobs/x", "job-1", job(ITEMS)).await;
    assert_eq!(response.expect("answered").status(), 202);
    let listed = read_results(front, "job-1", ITEMS).await;
    tokio::time::sleep(REPLICATION_TIME).await;
    let leader = cluster.leader();
    let follower = (leader + 1) % cluster.storage.len();
    cluster.storage[leader].kill();
    cluster.storage[follower].kill();
    tokio::time::sleep(LEADER_LOSS_TIME).await;
    for edge in 0..cluster.edges.len() {
        for since in 0..ITEMS {
            let started = Instant::now();
            let page = read_page(&cluster, edge, "job-1", since).await;
            let page = page.expect("the results are readable");
            assert_eq!(page["results"].as_array(), Some(&listed[since..].to_vec()));
            assert!(started.elapsed() < SETTLE_TIME, "{:?}", started.elapsed());
        }
    }
}
