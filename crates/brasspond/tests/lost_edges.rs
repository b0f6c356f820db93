//! Many edges end at one moment.
//!
//! What users saw: after hundreds of edges had ended at once, texts that an edge which lived
//! could have made went on seconds later.
//!
//! The order of events: the links to these edges break; the leader gives them up one after the
//! other, 0.4 s later; what the first held is placed anew, on the edge with the fewest runs,
//! which is one that is given up next, and so on until the last of them holds most of it.
//!
//! The cause: an edge without a link was given runs until it was given up.
//!
//! The evidence: `event=edge_lost` with 2, 3, 19, 61, 144, 268 and 537 runs in one turn of a
//! leader that held 832 runs on 250 edges.

use brasspond_platform_standin::Store;
use brasspond_platform_standin::processes::{Cluster, Size, call, configuration, scored_job};
use rstest::rstest;
use std::sync::atomic::Ordering;
use std::time::Duration;

const EDGES: u8 = 6;
const ITEMS: usize = 24;
/// Texts last far longer than the test.
const EVENT_MS: u64 = 400;

/// Runs that the leader lost with edges, as its log tells.
fn lost_runs(log: &str) -> Vec<usize> {
    let lost = log.lines().filter(|line| line.contains("event=edge_lost"));
    let runs = lost.map(|line| line.split("runs=").nth(1).expect("a number of runs"));
    runs.map(|runs| runs.trim().parse().expect("a number"))
        .collect()
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn what_an_edge_held_goes_to_no_edge_that_ended_with_it() {
    let (store, addresses) = Store::start().await;
    let size = Size {
        edges: EDGES,
        storage: 3,
    };
    let mut cluster = Cluster::start_sized(configuration(1), store, addresses, size).await;
    for replica in &cluster.replicas {
        replica.event_ms.store(EVENT_MS, Ordering::Relaxed);
    }
    let front = cluster.edges[0].front;
    let response = call(front, "POST", "/jobs/x", "job-1", scored_job(ITEMS)).await;
    assert_eq!(response.expect("answered").status(), 202);
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    for edge in &mut cluster.edges[1..] {
        edge.kill();
    }
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let log = cluster.storage[cluster.leader()].log();
    let lost = lost_runs(&log);
    assert_eq!(lost.len(), usize::from(EDGES) - 1, "{lost:?}");
    let all: usize = lost.iter().sum();
    assert!(all <= ITEMS, "a run is lost once: {lost:?} of {ITEMS}");
}
