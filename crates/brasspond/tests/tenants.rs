//! Tenants, their keys and their usage, tested with real processes and a stand-in of the platform.

use brasspond_platform_standin::processes::{Cluster, call_with, configuration, job};
use rstest::rstest;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const KEY_HEADER: &str = "x-brasspond-credential";
const TENANT_HEADER: &str = "x-brasspond-tenant";
/// The keys are unique texts, so that logs and files can be searched for them.
const FIRST_KEY: &str = "first-tenants-own-key-7f3a91";
const SECOND_KEY: &str = "first-tenants-other-key-02d9e6";
const OTHER_KEY: &str = "second-tenants-own-key-c9f2a4";
const PATIENCE: Duration = Duration::from_secs(30);

/// Returns a configuration with two tenants. `first_keys` are the keys of the first one.
fn with_tenants(version: u64, first_keys: &[&str]) -> Value {
    let mut configuration = configuration(version);
    configuration["tenants"] = json!([
        {"name": "first", "api_keys": first_keys, "priority": 1},
        {"name": "second", "api_keys": [OTHER_KEY]},
    ]);
    configuration
}

async fn start() -> Cluster {
    Cluster::start_with(with_tenants(1, &[FIRST_KEY, SECOND_KEY])).await
}

/// Returns the status of a call with these headers.
async fn status(
    address: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> u16 {
    let response = call_with(address, method, path, id, headers, body.to_string()).await;
    response.expect("answered").status().as_u16()
}

#[rstest]
#[case::none(&[], 401)]
#[case::unknown(&[(KEY_HEADER, "a key of nobody")], 401)]
#[case::two(&[(KEY_HEADER, FIRST_KEY), (KEY_HEADER, OTHER_KEY)], 401)]
#[case::valid(&[(KEY_HEADER, FIRST_KEY), (TENANT_HEADER, "second")], 200)]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_needs_a_key(#[case] headers: &[(&str, &str)], #[case] expected: u16) {
    let cluster = start().await;
    let front = cluster.edges[0].front;
    let actual = status(front, "POST", "/reads/x", "request-1", headers, "x").await;
    assert_eq!(actual, expected);
    let heads = cluster.plain.run_headers.lock().expect("lock");
    let Some(head) = heads.get("request-1") else {
        assert_eq!(expected, 401, "not run");
        return;
    };
    assert!(!head.contains_key(KEY_HEADER), "the key is not forwarded");
    assert_eq!(
        head[TENANT_HEADER], "first",
        "the caller cannot choose the tenant"
    );
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_visible_to_its_tenant_only() {
    const ITEMS: usize = 4;
    let cluster = start().await;
    let (front, other_edge) = (cluster.edges[0].front, cluster.edges[1].front);
    let own = &[(KEY_HEADER, FIRST_KEY)][..];
    let own_other_key = &[(KEY_HEADER, SECOND_KEY)][..];
    let foreign = &[(KEY_HEADER, OTHER_KEY)][..];
    let mut body: Value = serde_json::from_str(&job(ITEMS)).expect("a job");
    body["requests"][0]["headers"][TENANT_HEADER] = json!("second");
    body["requests"][0]["headers"][KEY_HEADER] = json!(OTHER_KEY);
    let body = body.to_string();
    assert_eq!(
        status(front, "POST", "/jobs/x", "job-1", &[], &body).await,
        401
    );
    assert_eq!(
        status(front, "POST", "/jobs/x", "job-1", own, &body).await,
        202
    );
    let results = "/-/lots/job-1?since_rev=0";
    assert_eq!(
        status(other_edge, "GET", results, "r", own_other_key, "").await,
        200
    );
    assert_eq!(
        status(other_edge, "GET", results, "r", foreign, "").await,
        404
    );
    assert_eq!(status(other_edge, "GET", results, "r", &[], "").await, 401);
    let item = "/-/items/job-1?id=item-3";
    assert_eq!(status(front, "GET", item, "r", foreign, "").await, 404);
    assert_eq!(
        status(front, "DELETE", "/-/lots/job-1", "r", foreign, "").await,
        404
    );
    assert_eq!(
        status(front, "POST", "/jobs/x", "job-1", foreign, &body).await,
        409
    );
    let deadline = Instant::now() + PATIENCE;
    let ran = |cluster: &Cluster| -> Vec<String> {
        let replicas = cluster.replicas.iter();
        let heads = replicas.flat_map(|one| {
            let heads = one.run_headers.lock().expect("lock");
            heads.values().cloned().collect::<Vec<_>>()
        });
        let tenants = heads.map(|head| {
            assert!(!head.contains_key(KEY_HEADER), "items carry no key");
            head[TENANT_HEADER].to_str().expect("text").to_string()
        });
        tenants.collect()
    };
    while ran(&cluster).len() < ITEMS {
        assert!(Instant::now() < deadline);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(ran(&cluster).iter().all(|tenant| tenant == "first"));
    // The revocation of a key ends no job, and the tenant can still read the job with its other
    // key.
    cluster
        .store
        .put("config", "main", with_tenants(2, &[SECOND_KEY]));
    while status(front, "GET", results, "r", own, "").await != 401 {
        assert!(Instant::now() < deadline, "the key is still accepted");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(
        status(front, "GET", results, "r", own_other_key, "").await,
        200
    );
    assert_eq!(
        status(front, "DELETE", "/-/lots/job-1", "r", own_other_key, "").await,
        200
    );
}

/// Guards against a 202 to both of two tenants that submit jobs with the same id at the same moment:
/// only one of the jobs exists, and the other tenant could never read its own.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn one_id_submitted_by_two_tenants_is_accepted_once() {
    const IDS: usize = 20;
    let cluster = start().await;
    let tenants = [
        (cluster.edges[0].front, &[(KEY_HEADER, FIRST_KEY)][..]),
        (cluster.edges[1].front, &[(KEY_HEADER, OTHER_KEY)][..]),
    ];
    let body = job(1);
    for id in (0..IDS).map(|number| format!("job-{number}")) {
        let submissions =
            tenants.map(|(front, key)| status(front, "POST", "/jobs/x", &id, key, &body));
        let accepted = futures::future::join_all(submissions).await;
        let results = format!("/-/lots/{id}?since_rev=0");
        let reads = tenants.map(|(front, key)| status(front, "GET", &results, "r", key, ""));
        let read = futures::future::join_all(reads).await;
        let outcomes: BTreeSet<(u16, u16)> = accepted.into_iter().zip(read).collect();
        assert_eq!(outcomes, BTreeSet::from([(202, 200), (409, 404)]), "{id}");
    }
}

/// Returns whether any file below a folder contains a text.
fn is_in_files(folder: &Path, text: &str) -> bool {
    let entries = std::fs::read_dir(folder).expect("folder");
    entries.into_iter().any(|entry| {
        let path = entry.expect("entry").path();
        if path.is_dir() {
            return is_in_files(&path, text);
        }
        let bytes = std::fs::read(&path).expect("readable");
        bytes
            .windows(text.len())
            .any(|window| window == text.as_bytes())
    })
}

/// Guards against keys in log lines and in the files of storage processes.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn keys_are_neither_logged_nor_stored() {
    let cluster = start().await;
    let front = cluster.edges[0].front;
    let own = &[(KEY_HEADER, FIRST_KEY)][..];
    let foreign = &[(KEY_HEADER, "a key of nobody, 3e1b07")][..];
    assert_eq!(
        status(front, "POST", "/jobs/x", "job-1", own, &job(2)).await,
        202
    );
    assert_eq!(
        status(front, "POST", "/reads/x", "r-1", own, "x").await,
        200
    );
    assert_eq!(
        status(front, "POST", "/reads/x", "r-2", foreign, "x").await,
        401
    );
    cluster.edges[0].await_line("event=request_denied").await;
    // The leader copies the view into the log about once a second.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for key in [FIRST_KEY, SECOND_KEY, OTHER_KEY, "a key of nobody, 3e1b07"] {
        assert!(!is_in_files(cluster.folder(), key), "{key}");
    }
}

fn usage_is(cluster: &Cluster, expected: &[(&str, u64)]) -> bool {
    let expected: BTreeMap<String, u64> = expected
        .iter()
        .map(|(tenant, count)| (tenant.to_string(), *count))
        .collect();
    cluster.operations.usage() == expected
}

/// Guards against usage that is lost or reported twice after failed calls, a change of leader and a
/// restart of an edge. The leader may change more than once, so more than two holders are allowed.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn usage_is_reported_once_for_each_window() {
    let mut cluster = start().await;
    cluster.operations.refused_calls.store(2, Ordering::Relaxed);
    let first = &[(KEY_HEADER, FIRST_KEY)][..];
    let second = &[(KEY_HEADER, OTHER_KEY)][..];
    let send = async |cluster: &Cluster, name: &str, requests: usize| {
        for number in 0..requests {
            let edge = cluster.edges[number % 2].front;
            let id = format!("{name}-{number}");
            let headers = if number % 3 == 0 { second } else { first };
            assert_eq!(
                status(edge, "POST", "/reads/x", &id, headers, "x").await,
                200
            );
        }
    };
    send(&cluster, "before", 30).await;
    cluster.operations.lost_answers.store(1, Ordering::Relaxed);
    while cluster.operations.calls_to("/usage").len() < 2 {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // Edges report within a quarter of a second, and the log stores the report soon after.
    tokio::time::sleep(Duration::from_millis(900)).await;
    let leader = cluster.leader();
    cluster.storage[leader].kill();
    cluster.edges[1].kill();
    cluster.edges[1].start();
    cluster.edges[1].await_line("event=leader_known").await;
    cluster.edges[1]
        .await_line("event=configuration_in_force")
        .await;
    send(&cluster, "after", 30).await;
    let deadline = Instant::now() + PATIENCE;
    while !usage_is(&cluster, &[("first", 40), ("second", 20)]) {
        let usage = cluster.operations.usage();
        assert!(Instant::now() < deadline, "{usage:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let calls = cluster.operations.calls_to("/usage");
    let fences: Vec<u64> = calls.iter().map(|call| call.fence).collect();
    assert!(fences.is_sorted(), "{fences:?}");
    let holders: BTreeSet<(u64, String)> = calls
        .into_iter()
        .map(|call| (call.fence, call.holder))
        .collect();
    let leaderships = cluster.leaderships().into_iter();
    let leaderships: BTreeSet<(u64, String)> = leaderships
        .map(|(term, machine)| (term, cluster.storage[machine].name.clone()))
        .collect();
    assert!(
        holders.is_subset(&leaderships),
        "{holders:?} not in {leaderships:?}"
    );
    assert!(holders.len() >= 2, "the next leader reports: {holders:?}");
}
