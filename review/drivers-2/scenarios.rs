//! The scenarios.

use crate::cluster::{Cluster, Plan, Record, free_network};
use crate::http::{self, Message};
use crate::json::Json;
use crate::platform::{Replica, Store};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const HELD: u8 = 0;
const BROKEN: u8 = 1;
const NOT_RUN: u8 = 2;
/// Time that the plain service works on a request, in ms.
const PLAIN_MS: u64 = 200;
pub const HOST: &str = "jobs.example";

pub fn run(scenario: &str, record: &Path, trouble: bool, words: &[String]) -> u8 {
    let record = Record::create(record);
    match scenario {
        "backlog" => backlog(&record, trouble, words),
        "one-job" => one_job(&record, trouble, words),
        "uploads" => uploads(&record, trouble, words),
        "canary" => canary(&record, trouble),
        _ => NOT_RUN,
    }
}

/// A deployment with its stand-ins.
struct Deployment {
    cluster: Cluster,
    store: Arc<Store>,
    replicas: Vec<Arc<Replica>>,
    folder: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for machine in &self.cluster.machines {
            machine.kill();
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// The configuration. With a canary, a tenth of the batch jobs' requests goes to a second service.
fn configuration(version: u64, with_canary: bool) -> String {
    let route = |name: &str, kind: &str, service: &str, more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"type\":\"{kind}\",\
             \"timeout_ms\":10000,\"target_ms\":400,\"priority\":1,\"service\":\"{service}\",\
             \"max_attempts\":3{more}}}"
        )
    };
    let split = ",\"traffic_split\":[{\"service\":\"engines\",\"weight\":0.9},{\"service\":\"canary\",\"weight\":0.1}]";
    let split = if with_canary { split } else { "" };
    let more = format!(",\"max_queue_s\":60.0,\"due_ms\":7500{split}");
    let jobs = route("jobs", "rollout", "engines", &more);
    let reads = route("reads", "idempotent", "plain", "");
    let writes = route("writes", "non_idempotent", "plain", "");
    format!(
        "{{\"version\":{version},\"route_list\":[{jobs},{reads},{writes}],\"services\":[\
         {{\"name\":\"engines\",\"max_conns\":170,\"engine\":{{\"slots\":16,\"model_list\":[{{\"name\":\"m0\",\"version\":1}}]}}}},\
         {{\"name\":\"canary\",\"max_conns\":170,\"engine\":{{\"slots\":16,\"model_list\":[{{\"name\":\"m0\",\"version\":1}}]}}}},\
         {{\"name\":\"plain\",\"max_conns\":100}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

fn replica_entry(service: &str, replica: &Replica, zone: &str) -> String {
    let models = if service != "plain" {
        ",\"phase\":\"both\",\"model_list\":[{\"name\":\"m0\",\"version\":1,\"adapter_list\":[]}]"
    } else {
        ""
    };
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"slots\":16,\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1{models}}}",
        replica.address
    )
}

impl Deployment {
    fn start(record: &Arc<Record>, plan: &Plan, shape: (u64, usize, u64), enforce: bool) -> Self {
        Self::start_with(record, plan, shape, enforce, false)
    }

    /// Starts three replicas of the model service and one of the plain one, and one canary if it is
    /// wanted, which is the last.
    fn start_with(
        record: &Arc<Record>,
        plan: &Plan,
        shape: (u64, usize, u64),
        enforce: bool,
        with_canary: bool,
    ) -> Self {
        let network = free_network();
        let folder = match std::env::var("REVIEW_FOLDER") {
            Ok(folder) => PathBuf::from(folder),
            Err(_) => std::env::temp_dir().join(format!("review-2-{}", std::process::id())),
        };
        std::fs::create_dir_all(&folder).expect("a folder");
        let (store, address) = Store::start(&format!("{network}.200:0"));
        store.put("config", "main", &configuration(1, with_canary));
        let mut replicas = Vec::new();
        let services = ["engines", "engines", "engines", "plain", "canary"];
        let count = if with_canary {
            services.len()
        } else {
            services.len() - 1
        };
        for (number, service) in services.into_iter().enumerate().take(count) {
            let zone = ["zone-a", "zone-b", "zone-c"][number % 3];
            let id = format!("i-{number:04x}");
            let ip = format!("{network}.{}", 100 + number);
            let ms = if service == "plain" {
                PLAIN_MS
            } else {
                shape.2
            };
            let replica = Replica::start(&id, &ip, shape.0, shape.1, ms);
            store.put("servers", &id, &replica_entry(service, &replica, zone));
            replicas.push(replica);
        }
        let cluster = Cluster::start(plan, &network, address, &folder);
        cluster.watch_processes(record, enforce);
        let deployment = Self {
            cluster,
            store,
            replicas,
            folder,
        };
        record.line(&format!(
            "deployment: {} edges, {} storage, status_s {}",
            plan.edges, plan.storage, plan.status_s
        ));
        deployment
    }

    /// Waits until all edges say that they are ready and the group has three voters.
    fn await_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let ready = self.cluster.edges().iter().all(|edge| {
                let asked = http::call(
                    edge.ready,
                    "GET",
                    "/-/readyz",
                    &[("host", HOST.into())],
                    b"",
                    Duration::from_secs(1),
                );
                asked.is_ok_and(|answer| answer.status() == 200)
            });
            let voters = self.cluster.storage().iter().any(|machine| {
                let log = machine.log();
                let last = log
                    .lines()
                    .rev()
                    .find(|line| line.contains("event=members_changed"));
                last.is_some_and(|line| line.matches(',').count() == 2)
            });
            if ready && voters {
                std::thread::sleep(Duration::from_millis(1_500));
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    fn call(
        &self,
        edge: usize,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: &[u8],
        limit: Duration,
    ) -> Result<Message, String> {
        let edges = self.cluster.edges();
        let mut all = vec![("host", HOST.to_string())];
        all.extend_from_slice(headers);
        http::call(
            edges[edge % edges.len()].front,
            method,
            path,
            &all,
            body,
            limit,
        )
        .map_err(|error| error.to_string())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for group in bytes.chunks(3) {
        let value = group
            .iter()
            .fold(0_u32, |value, byte| value << 8 | u32::from(*byte))
            << (8 * (3 - group.len()));
        for place in 0..4 {
            if place <= group.len() {
                out.push(DIGITS[(value >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// Body of a batch job whose items carry `bytes` random bytes each.
fn job_body(job: &str, step: u64, items: usize, bytes: usize) -> String {
    let mut text = format!(
        "{{\"step\":{step},\"model_id\":\"m0\",\"min_version\":1,\"desired\":{},\"requests\":[",
        (items / 4).max(1)
    );
    let mut state = 88172645463325252_u64 ^ step;
    for number in 0..items {
        let mut body = Vec::with_capacity(bytes);
        while body.len() < bytes {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            body.extend_from_slice(&state.to_le_bytes());
        }
        body.truncate(bytes);
        if number > 0 {
            text.push(',');
        }
        text.push_str(&format!(
            "{{\"id\":\"{job}{number:06x}\",\"path\":\"/jobs/3/{number:x}\",\"headers\":{{\"X-Brasspond-Model\":\"m0\",\"X-Brasspond-Token-Usage\":\"270,400\",\"X-Brasspond-Prefix-Hash\":\"{:x}:255,{number:x}:16\"}},\"body\":\"{}\",\"token_count\":670,\"group\":\"g{}\"}}",
            number / 4, base64(&body), number / 4
        ));
    }
    text.push_str("]}");
    text
}

/// A result as read: item, state and text.
type Listed = (String, String, String);

/// Reads the results of a batch job from a position on; `Err` has the status or the failure.
fn read_results(
    deployment: &Deployment,
    edge: usize,
    job: &str,
    since: usize,
) -> Result<(u64, Vec<Listed>), String> {
    let path = format!("/-/lots/{job}?since_rev={since}");
    let answer = deployment.call(edge, "GET", &path, &[], b"", Duration::from_millis(2_500))?;
    if answer.status() != 200 {
        return Err(answer.status().to_string());
    }
    let page = Json::read(&answer.text()).ok_or("not JSON")?;
    let results = page.get("results").list().iter().map(|one| {
        let member = |name| one.get(name).text().to_string();
        (member("id"), member("state"), member("text"))
    });
    Ok((page.get("total").number().unwrap_or(0), results.collect()))
}

/// Submits a batch job; tries other edges as a client does. Returns whether it was answered 202.
fn submit(record: &Record, deployment: &Deployment, id: &str, body: &str) -> bool {
    for attempt in 0..6 {
        let headers = [
            ("x-brasspond-request-id", id.to_string()),
            ("content-type", "application/json".into()),
        ];
        let answer = deployment.call(
            attempt,
            "POST",
            &format!("/jobs/{id}"),
            &headers,
            body.as_bytes(),
            Duration::from_secs(6),
        );
        let shown = answer.map_or_else(|error| error, |answer| answer.status().to_string());
        record.line(&format!(
            "client: POST batch job {id} at edge {}: {shown}",
            attempt % 3 + 1
        ));
        if shown == "202" {
            return true;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    false
}

/// Machines on which a process ended by itself three times: the rule's count.
fn worn_out(record: &Record, deployment: &Deployment) -> usize {
    let mut count = 0;
    for machine in &deployment.cluster.machines {
        let kills = *machine.memory_kills.lock().expect("lock");
        record.line(&format!(
            "platform: {} exceeded its memory {kills} times",
            machine.name
        ));
        count += usize::from(kills >= 3);
    }
    count
}

/// Whether so many machines break the rule on processes that end by themselves: a tenth of the
/// machines in use, two at least.
fn breaks_fault_rule(record: &Record, deployment: &Deployment) -> bool {
    let machines = deployment.cluster.machines.len();
    let needed = machines.div_ceil(10).max(2);
    let worn = worn_out(record, deployment);
    record.line(&format!(
        "check: processes ended by themselves three times on {worn} of {machines} machines; {needed} break the rule"
    ));
    worn >= needed
}

/// Time for which a trainer repeats a batch job, as the site's deadline.
const TRAINER_PATIENCE: Duration = Duration::from_secs(12);

/// Batch jobs that are answered 202, and that together exceed the memory of the storage
/// processes. Nothing else happens to the deployment.
fn backlog(record: &Arc<Record>, trouble: bool, words: &[String]) -> u8 {
    let number = |at: usize, default: u64| {
        words
            .get(at)
            .and_then(|word| word.parse().ok())
            .unwrap_or(default)
    };
    let (jobs, large, bytes) = (
        number(0, 60) as usize,
        number(1, 10_000) as usize,
        number(2, 600) as usize,
    );
    let items = if trouble { large } else { large / 100 };
    let plan = Plan {
        edges: 3,
        storage: 3,
        status_s: 120,
        edge_memory_mb: 260,
        storage_memory_mb: 320,
    };
    let deployment = Deployment::start(record, &plan, (16, 320, 20), true);
    if !deployment.await_ready(Duration::from_secs(20)) {
        return NOT_RUN;
    }
    let mut accepted = Vec::new();
    let last_submission = Instant::now() + Duration::from_secs(45);
    for job in 0..jobs {
        let id = format!("7c41e09b52d6{job:04x}");
        let body = job_body(&format!("e5{job:04x}"), job as u64, items, bytes);
        record.line(&format!(
            "trainer: batch job {id} has {items} requests in {} bytes",
            body.len()
        ));
        // A trainer repeats a job that was not answered 202 for as long as it waits for it.
        let patience = Instant::now() + TRAINER_PATIENCE;
        while Instant::now() < patience.min(last_submission) {
            if submit(record, &deployment, &id, &body) {
                accepted.push(id);
                break;
            }
            std::thread::sleep(Duration::from_millis(500));
        }
        if Instant::now() >= last_submission {
            break;
        }
    }
    record.line(&format!(
        "trainers: {} batch jobs were answered 202; nothing more is sent for 30 s",
        accepted.len()
    ));
    let kills_before: u32 = kills(&deployment);
    let quiet = Instant::now();
    while quiet.elapsed() < Duration::from_secs(30) {
        std::thread::sleep(Duration::from_secs(5));
        record.line(&format!(
            "replicas: {} runs begun, {} finished; platform: {} ends in the quiet time",
            runs(&deployment).0,
            runs(&deployment).1,
            kills(&deployment) - kills_before
        ));
    }
    for (turn, id) in accepted.iter().enumerate() {
        let shown = match read_results(&deployment, turn, id, 0) {
            Ok((total, listed)) => format!(
                "200, total {total}, {} results on the first page",
                listed.len()
            ),
            Err(error) => error,
        };
        record.line(&format!("trainer: GET {id}: {shown}"));
    }
    if accepted.is_empty() {
        return NOT_RUN;
    }
    if breaks_fault_rule(record, &deployment) {
        BROKEN
    } else {
        HELD
    }
}

fn kills(deployment: &Deployment) -> u32 {
    deployment
        .cluster
        .machines
        .iter()
        .map(|one| *one.memory_kills.lock().expect("lock"))
        .sum()
}

/// Runs that all replicas have begun and finished.
fn runs(deployment: &Deployment) -> (u64, u64) {
    let mut sum = (0, 0);
    for replica in &deployment.replicas {
        for one in replica.runs.lock().expect("lock").values() {
            sum = (sum.0 + one.begun, sum.1 + one.finished);
        }
    }
    sum
}

const KEPT_CLIENTS: usize = 12;

/// What the clients with kept connections saw.
#[derive(Default)]
struct Kept {
    answered: u64,
    /// Ids of requests whose connection was closed without an answer.
    cut: Vec<String>,
}

/// A client that keeps its connection and sends one request after the other, until `until`.
fn keep_asking(
    deployment: &Deployment,
    record: &Record,
    client: usize,
    until: Instant,
    seen: &Mutex<Kept>,
) {
    let edges = deployment.cluster.edges();
    let mut edge = client % edges.len();
    let mut connection: Option<BufReader<TcpStream>> = None;
    let mut number = 0;
    let mut answered_here = 0;
    while Instant::now() < until {
        if connection.is_none() {
            edge = (edge + 1) % edges.len();
            let opened = TcpStream::connect_timeout(&edges[edge].front, Duration::from_secs(1));
            let Ok(stream) = opened else {
                std::thread::sleep(Duration::from_millis(100));
                continue;
            };
            let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
            connection = Some(BufReader::new(stream));
            answered_here = 0;
        }
        let Some(reader) = &mut connection else {
            continue;
        };
        number += 1;
        let id = format!("5a{client:02x}{number:08x}");
        let text = format!(
            "POST /reads/{number} HTTP/1.1\r\nhost: {HOST}\r\nx-brasspond-request-id: {id}\r\nx-brasspond-deadline-ms: 2000\r\ncontent-length: 4\r\n\r\nread"
        );
        let sent = reader.get_mut().write_all(text.as_bytes());
        let answer = sent.and_then(|()| http::read_message(reader));
        match answer {
            Ok(Some(answer)) => {
                seen.lock().expect("lock").answered += 1;
                answered_here += 1;
                if answer.status() != 200 {
                    record.line(&format!(
                        "client {client}: request {id} at edge {}: {}",
                        edge + 1,
                        answer.status()
                    ));
                }
                if answer.header("connection").eq_ignore_ascii_case("close") {
                    connection = None;
                }
            }
            ended => {
                let shown = ended.map_or_else(|error| error.to_string(), |_| "closed".to_string());
                record.line(&format!(
                    "client {client}: request {id} at edge {}: no answer, {shown}",
                    edge + 1
                ));
                // The rule is about kept connections, which have carried a request before.
                if answered_here > 0 {
                    seen.lock().expect("lock").cut.push(id);
                }
                connection = None;
            }
        }
    }
}

/// Clients that each keep a connection and send one small request after the other.
struct KeptClients {
    threads: Vec<JoinHandle<()>>,
    seen: Arc<Mutex<Kept>>,
}

impl KeptClients {
    fn start(deployment: &Arc<Deployment>, record: &Arc<Record>, length: Duration) -> Self {
        let seen = Arc::new(Mutex::new(Kept::default()));
        let until = Instant::now() + length;
        let client = |client| {
            let (deployment, record, seen) = (
                Arc::clone(deployment),
                Arc::clone(record),
                Arc::clone(&seen),
            );
            std::thread::spawn(move || keep_asking(&deployment, &record, client, until, &seen))
        };
        Self {
            threads: (0..KEPT_CLIENTS).map(client).collect(),
            seen,
        }
    }

    /// Waits for the clients; returns how many requests from kept connections a replica began whose
    /// connection was closed without an answer.
    fn passed_on_and_cut(self, deployment: &Deployment, record: &Record) -> usize {
        for thread in self.threads {
            let _ = thread.join();
        }
        let seen = self.seen.lock().expect("lock");
        let begun = |id: &&String| {
            let mut replicas = deployment.replicas.iter();
            replicas.any(|one| one.runs.lock().expect("lock").contains_key(*id))
        };
        record.line(&format!(
            "clients: {} requests answered, {} kept connections closed without an answer",
            seen.answered,
            seen.cut.len()
        ));
        seen.cut.iter().filter(begun).count()
    }
}

/// Batch jobs within the limit on bodies, each of which exceeds the memory of the edge that reads it.
fn one_job(record: &Arc<Record>, trouble: bool, words: &[String]) -> u8 {
    let number = |at: usize, default: u64| {
        words
            .get(at)
            .and_then(|word| word.parse().ok())
            .unwrap_or(default)
    };
    let (jobs, large, bytes) = (
        number(0, 5) as usize,
        number(1, 130_000) as usize,
        number(2, 30) as usize,
    );
    let items = if trouble { large } else { large / 100 };
    let plan = Plan {
        edges: 3,
        storage: 3,
        status_s: 120,
        edge_memory_mb: 260,
        storage_memory_mb: 320,
    };
    let deployment = Arc::new(Deployment::start(record, &plan, (16, 320, 20), true));
    if !deployment.await_ready(Duration::from_secs(20)) {
        return NOT_RUN;
    }
    let kept = KeptClients::start(&deployment, record, Duration::from_secs(25));
    std::thread::sleep(Duration::from_secs(3));
    let mut accepted = 0;
    for job in 0..jobs {
        let id = format!("7c41e09b52d6{job:04x}");
        let body = job_body(&format!("e5{job:04x}"), job as u64, items, bytes);
        record.line(&format!(
            "trainer: batch job {id} has {items} requests in {} bytes; max_body_bytes is 33554432",
            body.len()
        ));
        for attempt in 0..2 {
            let headers = [
                ("x-brasspond-request-id", id.clone()),
                ("content-type", "application/json".into()),
            ];
            let edge = job * 2 + attempt;
            let answer = deployment.call(
                edge,
                "POST",
                &format!("/jobs/{id}"),
                &headers,
                body.as_bytes(),
                Duration::from_secs(6),
            );
            let shown = answer.map_or_else(
                |error| error.to_string(),
                |answer| answer.status().to_string(),
            );
            record.line(&format!(
                "trainer: POST batch job {id} at edge {}: {shown}",
                edge % 3 + 1
            ));
            if shown == "202" {
                accepted += 1;
                break;
            }
            std::thread::sleep(Duration::from_millis(1_000));
        }
    }
    let passed_on = kept.passed_on_and_cut(&deployment, record);
    record.line(&format!(
        "trainers: {accepted} of {jobs} batch jobs answered 202"
    ));
    let by_ends = breaks_fault_rule(record, &deployment);
    record.line(&format!(
        "check: {passed_on} requests were passed on to a sound replica and their connection closed without an answer; more than 3 break the rule (ends of processes alone: {by_ends})"
    ));
    if passed_on > 3 { BROKEN } else { HELD }
}

/// Six uploads at the same time, each within the limit on bodies, through one edge. Each client
/// tries again once at the next edge, as it may with an idempotent request.
fn uploads(record: &Arc<Record>, trouble: bool, words: &[String]) -> u8 {
    let number = |at: usize, default: usize| {
        words
            .get(at)
            .and_then(|word| word.parse().ok())
            .unwrap_or(default)
    };
    let (uploads, large) = (number(0, 6), number(1, 33_000_000));
    let bytes = if trouble { large } else { large / 1_000 };
    let plan = Plan {
        edges: 3,
        storage: 3,
        status_s: 120,
        edge_memory_mb: 260,
        storage_memory_mb: 320,
    };
    let deployment = Arc::new(Deployment::start(record, &plan, (16, 320, 20), true));
    if !deployment.await_ready(Duration::from_secs(20)) {
        return NOT_RUN;
    }
    let kept = KeptClients::start(&deployment, record, Duration::from_secs(20));
    std::thread::sleep(Duration::from_secs(3));
    record.line(&format!(
        "uploads: {uploads} at once with {bytes} bytes each; max_body_bytes is 33554432"
    ));
    let body = Arc::new(vec![b'x'; bytes]);
    let upload = |upload: usize| {
        let (deployment, record, body) = (
            Arc::clone(&deployment),
            Arc::clone(record),
            Arc::clone(&body),
        );
        std::thread::spawn(move || {
            for attempt in 0..2 {
                let id = format!("77{attempt:02x}{upload:012x}");
                let headers = [
                    ("x-brasspond-request-id", id.clone()),
                    ("x-brasspond-deadline-ms", "8000".to_string()),
                ];
                let answer = deployment.call(
                    attempt,
                    "POST",
                    "/reads/upload",
                    &headers,
                    &body,
                    Duration::from_secs(8),
                );
                let shown = answer.map_or_else(
                    |error| error.to_string(),
                    |answer| answer.status().to_string(),
                );
                record.line(&format!("upload {id} at edge {}: {shown}", attempt + 1));
                if shown == "200" {
                    return;
                }
                std::thread::sleep(Duration::from_millis(500));
            }
        })
    };
    let threads: Vec<_> = (0..uploads).map(upload).collect();
    for thread in threads {
        let _ = thread.join();
    }
    let passed_on = kept.passed_on_and_cut(&deployment, record);
    let _ = worn_out(record, &deployment);
    record.line(&format!(
        "check: {passed_on} requests were passed on to a sound replica and their kept connection closed without an answer; more than 3 break the rule"
    ));
    if passed_on > 3 { BROKEN } else { HELD }
}

/// Number of requests of the step, and the time that its trainer waits for it.
const STEP_ITEMS: usize = 32;
const STEP_TIME: Duration = Duration::from_secs(12);
/// Time without a beat after which a crashed replica's entry goes: three heartbeats.
const ENTRY_LAPSE: Duration = Duration::from_millis(3_600);
/// Time in which an item may be at no replica, in steady state.
const IDLE_LIMIT: Duration = Duration::from_secs(5);

/// A step whose route gives a tenth of its requests to a canary service, the only replica of which
/// was lost for good before the step.
fn canary(record: &Arc<Record>, trouble: bool) -> u8 {
    let plan = Plan {
        edges: 3,
        storage: 3,
        status_s: 120,
        edge_memory_mb: 260,
        storage_memory_mb: 320,
    };
    let deployment = Deployment::start_with(record, &plan, (16, 320, 20), false, true);
    if !deployment.await_ready(Duration::from_secs(20)) {
        return NOT_RUN;
    }
    let Some(lost) = deployment.replicas.last() else {
        return NOT_RUN;
    };
    if trouble {
        lost.crash();
        record.line(&format!(
            "trouble: the canary's only replica {} is lost for good",
            lost.id
        ));
        std::thread::sleep(ENTRY_LAPSE);
        deployment.store.remove("servers", &lost.id);
        record.line("platform: its entry has gone");
    }
    // Longer than `contact_ms`, so that the step begins in steady state.
    std::thread::sleep(Duration::from_secs(6));
    let id = "7c41e09b52d6a3f8";
    if !submit(
        record,
        &deployment,
        id,
        &job_body("e5b29", 1, STEP_ITEMS, 600),
    ) {
        return NOT_RUN;
    }
    let sent = Instant::now();
    let mut listed = 0;
    let mut turn = 0;
    let mut begun_at = (0, Duration::ZERO);
    while sent.elapsed() < STEP_TIME && listed < STEP_ITEMS {
        std::thread::sleep(Duration::from_millis(500));
        if let Ok((_, results)) = read_results(&deployment, turn, id, listed) {
            listed += results.len();
        }
        let (begun, finished) = runs(&deployment);
        if begun != begun_at.0 {
            begun_at = (begun, sent.elapsed());
        }
        record.line(&format!(
            "trainer: {:.1} s after the send {listed} of {STEP_ITEMS} listed; replicas: {begun} runs begun, {} under way of {} places",
            sent.elapsed().as_secs_f64(), begun - finished, 16 * 3
        ));
        turn += 1;
    }
    if listed == STEP_ITEMS {
        record.line("check: the step is whole");
        return HELD;
    }
    let (begun, finished) = runs(&deployment);
    let untouched = (0..STEP_ITEMS).filter(|number| {
        let id = format!("e5b29{number:06x}");
        let mut replicas = deployment.replicas.iter();
        !replicas.any(|one| one.runs.lock().expect("lock").contains_key(&id))
    });
    let untouched = untouched.count();
    let idle = sent.elapsed().saturating_sub(begun_at.1);
    record.line(&format!(
        "check: the step ran out of time; {untouched} of its items were at no replica at all, {begun} others had begun, \
         {} of {} places were taken, and no item began in the last {:.1} s; more than {} s break the rule",
        begun - finished, 16 * 3, idle.as_secs_f64(), IDLE_LIMIT.as_secs()
    ));
    let is_broken =
        untouched > 0 && begun > 0 && idle > IDLE_LIMIT && (begun - finished) * 2 < 16 * 3;
    if is_broken { BROKEN } else { HELD }
}
