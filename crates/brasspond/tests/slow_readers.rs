//! Callers that read their answers slowly or not at all, and replicas that do not read their
//! requests, tested with real processes.

use brasspond_platform_standin::processes::{
    Cluster, Deployment, Machine, Size, call, configuration, read_results, replica_entry,
};
use brasspond_platform_standin::{ANSWER_BYTES_HEADER, Store};
use rstest::rstest;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Time without reading after which an edge cuts a caller.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);
const PATIENCE: Duration = Duration::from_secs(30);
/// Receive buffer of a slow caller, in bytes.
const RECEIVE_BUFFER: u32 = 64 * 1024;
/// Size of a large answer, in bytes. Memory of this size is released to the system when it is
/// freed, because glibc maps allocations of more than 32 MiB separately.
const LARGE_ANSWER: usize = 48_000_000;

/// Metric of the bytes of answers that an edge holds for slow readers.
const HELD_BYTES: &str = "brasspond_edge_held_answer_bytes";

/// Sends a request on a new connection with a small receive buffer and reads nothing.
async fn request(front: SocketAddr, head: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER)
        .expect("a buffer size");
    let mut stream = socket.connect(front).await.expect("connected");
    stream.write_all(head.as_bytes()).await.expect("sent");
    stream
}

/// Head of a plain request for an answer of a certain size.
fn read_head(id: &str, answer_bytes: usize) -> String {
    format!(
        "POST /reads/x HTTP/1.1\r\nhost: host.example\r\nx-brasspond-request-id: {id}\r\n\
         x-brasspond-deadline-ms: 9000\r\n{ANSWER_BYTES_HEADER}: {answer_bytes}\r\n\
         content-length: 0\r\nconnection: close\r\n\r\n"
    )
}

/// Value of a metric of a machine.
async fn metric(machine: &Machine, name: &str) -> Option<f64> {
    let response = call(machine.metrics, "GET", "/metrics", "metrics", "").await?;
    let text = brasspond_platform_standin::processes::text(response).await?;
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.rsplit(' ').next()?.parse().ok()
}

/// Waits until a metric of a machine satisfies a condition.
async fn await_metric(machine: &Machine, name: &str, is_met: impl Fn(f64) -> bool) {
    let deadline = Instant::now() + PATIENCE;
    loop {
        let value = metric(machine, name).await;
        if value.is_some_and(&is_met) {
            return;
        }
        assert!(Instant::now() < deadline, "{name} is {value:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Resident memory of a machine's process, in bytes.
fn resident_bytes(machine: &Machine) -> u64 {
    let pid = machine.pid().expect("runs");
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_ascii_whitespace().nth(1));
    kb.and_then(|kb| kb.parse::<u64>().ok()).expect("a number") * 1_024
}

/// Guards against answers that an edge holds forever for callers that do not read them.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_stops_reading_is_cut() {
    let cluster = Cluster::start().await;
    let edge = &cluster.edges[0];
    let before = resident_bytes(edge);
    let stalled = request(edge.front, &read_head("stalled", LARGE_ANSWER)).await;
    let large = LARGE_ANSWER as f64;
    await_metric(edge, HELD_BYTES, |held| held >= large).await;
    let held_since = Instant::now();
    let during = resident_bytes(edge);
    assert!(
        during > before + LARGE_ANSWER as u64 / 2,
        "{before} {during}"
    );
    edge.await_line("event=caller_cut reason=reads_slowly")
        .await;
    let held_for = held_since.elapsed();
    assert!(
        held_for > STALL_TIMEOUT - Duration::from_secs(1),
        "{held_for:?}"
    );
    assert!(
        held_for < STALL_TIMEOUT + Duration::from_secs(3),
        "{held_for:?}"
    );
    await_metric(edge, HELD_BYTES, |held| held == 0.0).await;
    await_metric(edge, "brasspond_edge_callers_cut_total", |count| {
        count == 1.0
    })
    .await;
    let deadline = Instant::now() + PATIENCE;
    while resident_bytes(edge) > during - LARGE_ANSWER as u64 / 2 {
        assert!(Instant::now() < deadline, "memory is not given back");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    drop(stalled);
}

/// Guards against answers for slow readers that use up the memory of an edge: the bound of a
/// quarter of the limit closes the connection that has gone longest without reading, and no other.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn answers_are_bounded_by_the_memory_limit() {
    const MEMORY_MB: u64 = 256;
    let (store, addresses) = Store::start().await;
    let size = Size {
        edges: 2,
        storage: 3,
    };
    let deployment = Deployment {
        memory_mb: Some(MEMORY_MB),
        ..Deployment::default()
    };
    let cluster =
        Cluster::start_deployed(configuration(1), store, addresses, size, deployment).await;
    let edge = &cluster.edges[0];
    let large = LARGE_ANSWER as f64;
    let first = request(edge.front, &read_head("first", LARGE_ANSWER)).await;
    await_metric(edge, HELD_BYTES, |held| held >= large).await;
    // The first caller has gone longer without reading than the second one.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let second = request(edge.front, &read_head("second", LARGE_ANSWER)).await;
    edge.await_line("event=caller_cut reason=memory").await;
    let first_caller = first.local_addr().expect("an address");
    let log = edge.log();
    let cut = log.lines().find(|line| line.contains("event=caller_cut"));
    let cut = cut.expect("a line");
    assert!(cut.contains(&format!("caller={first_caller} ")), "{cut}");
    let received = read_slowly(second, &[Duration::ZERO], RECEIVE_BUFFER as usize).await;
    assert_eq!(received, LARGE_ANSWER);
    drop(first);
}

/// Reads a response to its end, `portion` bytes after each pause. Returns the size of its body.
async fn read_slowly(mut stream: TcpStream, pauses: &[Duration], portion: usize) -> usize {
    let mut received = Vec::new();
    let mut buffer = vec![0; portion];
    let rest = pauses.last().copied().unwrap_or_default();
    let mut pauses = pauses.iter().copied();
    loop {
        tokio::time::sleep(pauses.next().unwrap_or(rest)).await;
        let count = stream.read(&mut buffer).await.expect("not cut");
        if count == 0 {
            break;
        }
        received.extend_from_slice(&buffer[..count]);
    }
    let mut heads = received.windows(4);
    let head = heads.position(|window| window == b"\r\n\r\n");
    received.len() - head.expect("a complete head") - 4
}

/// Guards against cutting callers that read with pauses shorter than the timeout, or steadily over
/// a longer time than the timeout. The pauses of 3 s exceed the system's timeout for
/// unacknowledged bytes.
#[rstest]
#[case::long_pauses(&[3_000, 3_000, 0], 256 * 1024)]
#[case::steady(&[100], 16 * 1024)]
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_reader_gets_its_whole_answer(#[case] pauses_ms: &[u64], #[case] portion: usize) {
    const ANSWER: usize = 1_200_000;
    let cluster = Cluster::start().await;
    let edge = &cluster.edges[0];
    let stream = request(edge.front, &read_head("slow", ANSWER)).await;
    let pauses = pauses_ms.iter().copied().map(Duration::from_millis);
    let pauses: Vec<Duration> = pauses.collect();
    let started = Instant::now();
    assert_eq!(read_slowly(stream, &pauses, portion).await, ANSWER);
    assert!(started.elapsed() > STALL_TIMEOUT, "too fast for the test");
    assert!(!edge.log().contains("event=caller_cut"));
}

/// Body of a job whose results fill a page of several hundred KB.
fn job_with_long_texts(items: usize) -> String {
    let body = brasspond_platform_standin::processes::job(items);
    let mut job: Value = serde_json::from_str(&body).expect("a job");
    for (number, item) in job["requests"]
        .as_array_mut()
        .expect("items")
        .iter_mut()
        .enumerate()
    {
        // Each of the 30 events of a text repeats the id.
        item["id"] = format!("item-{number}-{}", "x".repeat(1_000)).into();
    }
    job.to_string()
}

/// Guards against a trainer that does not read its results and thereby delays other callers.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_trainer_delays_nobody() {
    const ITEMS: usize = 24;
    const SLOW_TRAINERS: usize = 4;
    let cluster = Cluster::start().await;
    let edge = &cluster.edges[0];
    let response = call(
        edge.front,
        "POST",
        "/jobs/x",
        "job",
        job_with_long_texts(ITEMS),
    )
    .await;
    assert_eq!(response.expect("answered").status(), 202);
    let results = read_results(edge.front, "job", ITEMS).await;
    assert_eq!(results.len(), ITEMS);
    let head = "GET /-/lots/job?since_rev=0 HTTP/1.1\r\nhost: host.example\r\n\
                x-brasspond-request-id: reader\r\n\r\n";
    let mut slow = Vec::new();
    for _ in 0..SLOW_TRAINERS {
        slow.push(request(edge.front, head).await);
    }
    await_metric(edge, HELD_BYTES, |held| held > 500_000.0).await;
    for number in 0..20 {
        let started = Instant::now();
        let id = format!("read-{number}");
        let response = call(edge.front, "POST", "/reads/x", &id, "x").await;
        assert_eq!(response.expect("answered").status(), 200);
        assert_eq!(read_results(edge.front, "job", ITEMS).await.len(), ITEMS);
        let elapsed = started.elapsed();
        assert!(elapsed < Duration::from_millis(1_500), "{elapsed:?}");
    }
    drop(slow);
}

/// Starts a replica that accepts connections and reads nothing.
async fn start_unreading_replica(cluster: &Cluster) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER)
        .expect("a buffer size");
    let any = "127.0.0.1:0".parse().expect("an address");
    socket.bind(any).expect("a port");
    let listener: TcpListener = socket.listen(16).expect("listens");
    let address = listener.local_addr().expect("an address");
    let entry = replica_entry("plain", address);
    cluster.store.put("servers", "unreading", entry);
    tokio::spawn(async move {
        let mut accepted = Vec::new();
        while let Ok(connection) = listener.accept().await {
            accepted.push(connection);
        }
    });
}

/// Guards against requests that wait until their deadline for a replica that does not read their
/// body. The attempt's timeout ends the attempt of a request that may be repeated, and the
/// system's timeout for unacknowledged bytes that of any other request.
#[rstest]
#[case::repeatable("/reads/x", "cause=silent")]
#[case::not_repeatable("/writes/x", "cause=broken")]
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_does_not_read_is_at_fault(#[case] path: &str, #[case] cause: &str) {
    let cluster = Cluster::start_with(configuration(1)).await;
    start_unreading_replica(&cluster).await;
    cluster.store.remove("servers", "plain-0");
    let edge = &cluster.edges[0];
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let started = Instant::now();
    let _ = call(edge.front, "POST", path, "unread", vec![b'x'; 900_000]).await;
    // The deadline of the request is 9 s.
    let elapsed = started.elapsed();
    assert!(elapsed < Duration::from_secs(8), "{elapsed:?}");
    // Lines are written by a thread of their own, after the answer.
    edge.await_line("event=attempt_failed").await;
    let log = edge.log();
    let failed = log
        .lines()
        .find(|line| line.contains("event=attempt_failed"));
    let failed = failed.unwrap_or_else(|| panic!("{log}"));
    assert!(failed.contains(cause), "{failed}");
    assert!(failed.contains("replica=unreading"), "{failed}");
}
