//! An edge that has just started, beside a leader that answers.

use brasspond_platform_standin::processes::{Cluster, Machine, call};
use nix::sys::signal::Signal;
use rstest::rstest;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Within which a configuration is told to an edge that starts, if the machine is not busy
/// with other things: less than a request is held.
const TOLD: Duration = Duration::from_millis(400);

/// Until something listens.
async fn listens(edge: &Machine) {
    while TcpStream::connect(edge.front).await.is_err() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// The first request that an edge hears after its start is served, not turned away, though
/// it comes before the edge was told any configuration.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn the_first_request_waits_for_the_first_configuration() {
    const STARTS: usize = 12;
    let mut cluster = Cluster::start().await;
    let mut early = 0;
    for number in 0..STARTS {
        let edge = &mut cluster.edges[1];
        edge.signal(Signal::SIGKILL);
        edge.kill();
        edge.start();
        listens(edge).await;
        let begun = Instant::now();
        let id = format!("first-{number}");
        let response = call(edge.front, "GET", "/reads/x", &id, "").await;
        let took = begun.elapsed();
        let status = response.expect("answered").status();
        edge.await_line("event=configuration_in_force").await;
        let log = edge.log();
        if log.contains("event=held_for_fleet known=true") {
            early += 1;
        }
        // A busy machine may take longer to tell: then it is turned away, and truly.
        assert!(
            status == 200 || took >= TOLD,
            "{status} after {took:?}\n{log}"
        );
    }
    assert!(
        early > 0,
        "no request came before the configuration in {STARTS} starts"
    );
}

/// An edge that nobody tells any configuration holds a request for a moment and no longer.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn edge_without_a_configuration_refuses_callers() {
    let mut cluster = Cluster::start().await;
    cluster
        .store
        .down
        .store(true, std::sync::atomic::Ordering::Relaxed);
    for machine in &cluster.storage {
        machine.signal(Signal::SIGSTOP);
    }
    let edge = &mut cluster.edges[1];
    edge.kill();
    edge.start();
    listens(edge).await;
    for (id, most) in [("held", 1_500), ("at-once", 200)] {
        let begun = Instant::now();
        let response = call(edge.front, "GET", "/reads/x", id, "").await;
        assert_eq!(response.expect("answered").status(), 503, "not run");
        assert!(
            begun.elapsed() < Duration::from_millis(most),
            "{:?}",
            begun.elapsed()
        );
        tokio::time::sleep(Duration::from_millis(2_500)).await;
    }
}
