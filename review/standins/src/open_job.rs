//! All replicas of a service are lost for good (`srv_crash`, gone) and empty ones are added one and
//! a half minutes later (`scale_out`), while a batch job is open. The check: until its client ends
//! it, the batch job is known at all edges and its positions can be read again (LOST).

use crate::record::Record;
use brasspond_platform_standin::processes::{
    Cluster, Deployment, Size, call, call_with, configuration, replica_entry, text,
};
use brasspond_platform_standin::{Replica, Store};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// `bounds.status_s`, unless the variable `STATUS_S` has another. The users' sites have 120; the
/// case lasts longer than this and must end within 120 s.
const STATUS_S: u64 = 60;
/// Time without replicas beyond `status_s`, from the moment the job is accepted.
const OUTAGE_BEYOND_S: u64 = 33;
/// Items of the job.
const ITEMS: usize = 8;
/// Pause between two reads ("clients read roughly twice per second").
const READ_PAUSE: Duration = Duration::from_millis(500);
/// Time after the outage within which all results must have been read.
const READ_LIMIT: Duration = Duration::from_secs(14);
const JOB: &str = "job-open";

pub async fn run(record: Arc<Record>, has_trouble: bool) -> i32 {
    let given = std::env::var("STATUS_S").ok();
    let status_s = given.and_then(|text| text.parse().ok()).unwrap_or(STATUS_S);
    let outage = Duration::from_secs(status_s + OUTAGE_BEYOND_S);
    record.line(&format!(
        "case open-job, trouble={has_trouble}, status_s={status_s}"
    ));
    let (store, addresses) = Store::start().await;
    let mut operator = configuration(1);
    for route in operator["route_list"].as_array_mut().expect("routes") {
        route["max_queue_s"] = json!(600.0);
        route["due_ms"] = json!(600_000);
    }
    let deployment = Deployment {
        bounds: json!({
            "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 5.2, "drain_ms": 2000, "grace_s": 8,
            "config_ms": 2000, "recover_s": 12, "cancel_ms": 3000, "settle_ms": 1000,
            "fencing_enforced": true, "lease_ms": 3000, "thaw_ms": 300, "status_s": status_s,
        }),
        memory_mb: Some(260),
        storage_memory_mb: Some(320),
        ..Deployment::default()
    };
    let size = Size {
        edges: 3,
        storage: 3,
    };
    let cluster =
        Cluster::start_deployed(operator, Arc::clone(&store), addresses, size, deployment).await;
    let edges: Vec<SocketAddr> = cluster.edges.iter().map(|edge| edge.front).collect();
    tokio::time::sleep(Duration::from_secs(1)).await;
    if has_trouble {
        for replica in &cluster.replicas {
            store.remove("servers", &replica.id);
            record.line(&format!("replica {} is lost for good", replica.id));
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let answer = call(edges[0], "POST", "/jobs/", JOB, body()).await;
    let status = answer.map(|answer| answer.status().as_u16());
    record.line(&format!("POST {JOB} at {}: {status:?}", edges[0]));
    if status != Some(202) {
        return 2;
    }
    let mut newcomers = Vec::new();
    let submitted = Instant::now();
    let mut known = Vec::new();
    let mut reads = 0;
    loop {
        let outage_over = !has_trouble || submitted.elapsed() >= outage;
        if has_trouble && outage_over && newcomers.is_empty() {
            for number in 0..2 {
                let id = format!("engine-new-{number}");
                let (replica, address) = Replica::start(&id).await;
                store.put("servers", &id, replica_entry("engines", address));
                record.line(&format!("replica {id} is added"));
                newcomers.push(replica);
            }
        }
        let edge = edges[reads % edges.len()];
        reads += 1;
        match read(edge, known.len(), &record).await {
            Read::Page(results) => known.extend(results),
            Read::Unknown => return broken(&edges, &cluster, &newcomers, &known, &record).await,
            Read::NoAnswer => {}
        }
        if known.len() >= ITEMS {
            break;
        }
        let end = if has_trouble { outage } else { Duration::ZERO } + READ_LIMIT;
        if submitted.elapsed() >= end {
            record.line("not all results came in time; the case shows nothing");
            return 2;
        }
        tokio::time::sleep(READ_PAUSE).await;
    }
    record.line("all results were read; the job is still open and is read again from the start");
    for edge in &edges {
        tokio::time::sleep(READ_PAUSE).await;
        match read(*edge, 0, &record).await {
            Read::Page(results) if results == known => {}
            Read::Page(_) => {
                record.line("LOST or changed: the same positions hold other results");
                return 1;
            }
            Read::Unknown => return broken(&edges, &cluster, &newcomers, &known, &record).await,
            Read::NoAnswer => return 2,
        }
    }
    let ended = call(edges[0], "DELETE", &format!("/-/lots/{JOB}"), JOB, "").await;
    let status = ended.map(|answer| answer.status().as_u16());
    record.line(&format!("DELETE {JOB}: {status:?}"));
    0
}

/// Records that the open job is unknown, with what replicas ran of it, and reads once more.
async fn broken(
    edges: &[SocketAddr],
    cluster: &Cluster,
    newcomers: &[Arc<Replica>],
    known: &[(String, String)],
    record: &Record,
) -> i32 {
    tokio::time::sleep(Duration::from_secs(1)).await;
    for edge in edges {
        if !matches!(read(*edge, 0, record).await, Read::Unknown) {
            record.line("the answer 404 was a passing one");
            return 2;
        }
    }
    for number in 0..ITEMS {
        let item = item_id(number);
        let replicas = cluster.replicas.iter().chain(newcomers);
        let whole = replicas.filter(|one| one.completed.lock().expect("lock").contains(&item));
        let is_read = known.iter().any(|(id, _)| *id == item);
        record.line(&format!(
            "item {item}: run to its end at {} replicas, result read: {is_read}",
            whole.count()
        ));
    }
    record.line(&format!(
        "LOST: the open job {JOB} answers 404 at all edges"
    ));
    1
}

enum Read {
    /// Ids and texts of the results from the position on.
    Page(Vec<(String, String)>),
    /// 404 or 410.
    Unknown,
    /// 503, or no answer.
    NoAnswer,
}

async fn read(edge: SocketAddr, since: usize, record: &Record) -> Read {
    let path = format!("/-/lots/{JOB}?since_rev={since}");
    let wait = [("x-brasspond-wait-ms", "1000")];
    let Some(answer) = call_with(edge, "GET", &path, "reader", &wait, "").await else {
        record.line(&format!("GET since {since} at {edge}: no answer"));
        return Read::NoAnswer;
    };
    let status = answer.status().as_u16();
    if status != 200 {
        record.line(&format!("GET since {since} at {edge}: {status}"));
        return match status {
            404 | 410 => Read::Unknown,
            _ => Read::NoAnswer,
        };
    }
    let page = text(answer)
        .await
        .and_then(|text| serde_json::from_str::<Value>(&text).ok());
    let Some(page) = page else {
        return Read::NoAnswer;
    };
    let results = page["results"].as_array().cloned().unwrap_or_default();
    let field = |result: &Value, name: &str| result[name].as_str().unwrap_or("").to_string();
    let results = results
        .iter()
        .map(|result| (field(result, "id"), field(result, "text")));
    let results: Vec<_> = results.collect();
    record.line(&format!(
        "GET since {since} at {edge}: 200, {} results of {}",
        results.len(),
        page["total"]
    ));
    Read::Page(results)
}

fn item_id(number: usize) -> String {
    format!("item-{number}")
}

fn body() -> String {
    let items = (0..ITEMS).map(|number| {
        json!({
            "id": item_id(number),
            "path": format!("/jobs/run/{number}"),
            "headers": {"X-Brasspond-Model": "model"},
            "body": "AAEC",
            "token_count": 100,
            "group": format!("group-{}", number / 4),
        })
    });
    let items: Vec<Value> = items.collect();
    json!({"step": 0, "model_id": "model", "min_version": 1, "desired": 2, "requests": items})
        .to_string()
}
