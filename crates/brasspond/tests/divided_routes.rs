//! Requests of a route that is divided between services, tested with real processes. Guards against
//! refusing those whose service has lost its replicas while another service of the route is free.

use brasspond_platform_standin::Replica;
use brasspond_platform_standin::processes::{Cluster, call, configuration, replica_entry};
use rstest::rstest;
use serde_json::{Value, json};
use std::time::Duration;

const REQUESTS: usize = 30;
/// Time in which every edge knows a changed entry.
const ENTRY_TIME: Duration = Duration::from_millis(1_000);

/// A configuration whose plain requests go to two services alike.
fn divided(version: u64) -> Value {
    let mut configuration = configuration(version);
    let services = configuration["services"].as_array_mut().expect("services");
    services.push(json!({"name": "canary", "max_conns": 100}));
    let routes = configuration["route_list"].as_array_mut().expect("routes");
    let reads = routes.iter_mut().find(|route| route["name"] == "reads");
    let reads = reads.expect("a route").as_object_mut().expect("an object");
    reads.remove("service");
    reads.insert(
        "traffic_split".to_string(),
        json!([{"service": "plain", "weight": 1}, {"service": "canary", "weight": 1}]),
    );
    configuration
}

async fn served(cluster: &Cluster, round: &str) -> usize {
    let mut served = 0;
    for number in 0..REQUESTS {
        let id = format!("{round}-{number}");
        let response = call(cluster.edges[0].front, "POST", "/reads/x", &id, "x").await;
        served += usize::from(response.is_some_and(|response| response.status() == 200));
    }
    served
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_of_a_service_without_replicas_are_served_by_another_of_the_route() {
    let cluster = Cluster::start_with(divided(1)).await;
    let (canary, address) = Replica::start("canary-0").await;
    let entry = replica_entry("canary", address);
    cluster.store.put("servers", "canary-0", entry);
    tokio::time::sleep(ENTRY_TIME).await;
    assert_eq!(served(&cluster, "with").await, REQUESTS);
    let by_canary = canary.run_headers.lock().expect("lock").len();
    assert!((5..=25).contains(&by_canary), "{by_canary}");
    cluster.store.remove("servers", "canary-0");
    tokio::time::sleep(ENTRY_TIME).await;
    assert_eq!(served(&cluster, "without").await, REQUESTS);
    assert_eq!(
        canary.run_headers.lock().expect("lock").len(),
        by_canary,
        "nothing is sent to a replica without an entry"
    );
}
