//! Memory of processes whose callers send many or large bodies, tested with real processes. Guards
//! against bodies that use up the memory of an edge or of the storage processes, and with it the
//! requests of all callers.

mod one_edge;

use brasspond_platform_standin::processes::{Deployment, call, configuration};
use one_edge::{OneEdge, check_peak};
use rstest::rstest;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Memory limit of an edge.
const LIMIT_MB: u64 = 96;
/// Memory limit of a storage process, which holds the items of all jobs as values.
const STORAGE_LIMIT_MB: u64 = 320;
/// Number of jobs of the maximum size, more than fit into a storage process.
const LARGE_JOBS: usize = 8;
/// Maximum size of a body, by the configuration.
const MAX_BODY: usize = 16 * 1024 * 1024;
/// Number of callers that send a body of the maximum size: twice the memory limit together.
const CROWD: usize = 12;
/// Size of a body that is sent in chunks of one byte.
const SMALL_CHUNKS_BODY: usize = 1024 * 1024;
/// Number of callers that send a part of a large body and then nothing.
const SILENT_CROWD: usize = 400;
const SILENT_PART: usize = 256 * 1024;
/// Descriptors that an edge may have open beside those of the crowd.
const OTHER_DESCRIPTORS: usize = 100;
/// Time after which a caller stops sending what the edge does not read.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const PATIENCE: Duration = Duration::from_secs(60);

/// A cluster with one edge whose memory is measured.
struct Measured(OneEdge);

impl Measured {
    async fn start() -> Self {
        let deployment = Deployment {
            memory_mb: Some(LIMIT_MB),
            storage_memory_mb: Some(STORAGE_LIMIT_MB),
            ..Deployment::default()
        };
        let mut configuration = configuration(1);
        configuration["limits"]["max_body_bytes"] = MAX_BODY.into();
        Self(OneEdge::start(configuration, deployment).await)
    }

    fn front(&self) -> SocketAddr {
        self.0.front()
    }

    /// Checks that an ordinary request is answered by the same process, and that its memory and
    /// its descriptors stayed under their bounds.
    async fn check(&self, crowd: usize) {
        let deadline = Instant::now() + PATIENCE;
        let mut number = 0;
        loop {
            number += 1;
            let id = format!("ordinary-{number}");
            let call = call(self.front(), "POST", "/reads/x", &id, "x");
            let response = timeout(CALL_TIMEOUT, call).await.ok().flatten();
            if response.is_some_and(|response| response.status() == 200) {
                break;
            }
            assert!(Instant::now() < deadline, "no ordinary request is answered");
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        self.check_process(crowd);
    }

    fn check_process(&self, crowd: usize) {
        self.0.check_lives();
        check_peak(self.0.edge(), LIMIT_MB);
        let folder = std::fs::read_dir(format!("/proc/{}/fd", self.0.pid));
        let descriptors = folder.expect("a folder").count();
        assert!(descriptors < crowd + OTHER_DESCRIPTORS, "{descriptors}");
    }
}

/// How the head announces the body.
#[derive(Clone, Copy, Debug)]
enum Framing {
    /// With its length in bytes.
    Length(usize),
    /// In chunks of a size in bytes.
    Chunks(usize),
}

fn head(id: &str, path: &str, framing: Framing) -> String {
    let framing = match framing {
        Framing::Length(bytes) => format!("content-length: {bytes}"),
        Framing::Chunks(_) => "transfer-encoding: chunked".to_string(),
    };
    format!(
        "POST {path} HTTP/1.1\r\nhost: host.example\r\nx-brasspond-request-id: {id}\r\n\
         x-brasspond-deadline-ms: 9000\r\n{framing}\r\n\r\n"
    )
}

/// The first `bytes` bytes of a body as they are sent, without the end of a chunked body.
fn framed(bytes: usize, framing: Framing) -> Vec<u8> {
    let Framing::Chunks(size) = framing else {
        return vec![b'x'; bytes];
    };
    let mut framed = Vec::with_capacity(bytes + bytes / size * 8);
    for start in (0..bytes).step_by(size) {
        let length = size.min(bytes - start);
        framed.extend(format!("{length:x}\r\n").bytes());
        framed.extend(std::iter::repeat_n(b'x', length));
        framed.extend(b"\r\n");
    }
    framed
}

/// Sends the first `bytes` bytes of a body, as far as the edge reads them, and keeps the connection
/// open.
async fn send_part(front: SocketAddr, id: String, bytes: usize, framing: Framing) -> TcpStream {
    let mut stream = TcpStream::connect(front).await.expect("connected");
    let mut sent = head(&id, "/reads/x", framing).into_bytes();
    sent.extend(framed(bytes, framing));
    // The edge may refuse the body and close the connection.
    let _ = timeout(SEND_TIMEOUT, stream.write_all(&sent)).await;
    stream
}

/// Opens a crowd of connections, each with the first `bytes` bytes of a body.
async fn crowd(front: SocketAddr, count: usize, bytes: usize, framing: Framing) -> Vec<TcpStream> {
    let mut senders = JoinSet::new();
    for number in 0..count {
        senders.spawn(send_part(front, format!("crowd-{number}"), bytes, framing));
    }
    senders.join_all().await
}

#[rstest]
#[case::whole(CROWD, MAX_BODY, Framing::Length(MAX_BODY))]
#[case::announced(CROWD, MAX_BODY - 1, Framing::Length(MAX_BODY))]
#[case::large_chunks(CROWD, MAX_BODY - 1, Framing::Chunks(64 * 1024))]
#[case::small_chunks(CROWD, SMALL_CHUNKS_BODY, Framing::Chunks(1))]
#[case::announced_over_the_limit(CROWD, MAX_BODY - 1, Framing::Length(4_000_000_000))]
#[case::sent_over_the_limit(CROWD, 2 * MAX_BODY, Framing::Chunks(1024 * 1024))]
#[case::silent_after_a_part(SILENT_CROWD, SILENT_PART, Framing::Length(MAX_BODY))]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_a_crowd_are_bounded(
    #[case] count: usize,
    #[case] bytes: usize,
    #[case] framing: Framing,
) {
    let measured = Measured::start().await;
    let open = crowd(measured.front(), count, bytes, framing).await;
    measured.check(count).await;
    drop(open);
    measured.check(0).await;
}

/// Reads the status of a response.
async fn read_status(stream: &mut TcpStream) -> u16 {
    let mut line = Vec::new();
    let read_line = async {
        while !line.ends_with(b"\r\n") {
            line.push(stream.read_u8().await.expect("a response"));
        }
    };
    timeout(PATIENCE, read_line).await.expect("a response");
    let line = String::from_utf8(line).expect("a status line");
    let status = line
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    status.expect("a status")
}

/// A single request inside the limits is served, whatever its framing.
#[rstest]
#[case::announced(MAX_BODY, Framing::Length(MAX_BODY))]
#[case::large_chunks(MAX_BODY, Framing::Chunks(64 * 1024))]
#[case::small_chunks(3 * SMALL_CHUNKS_BODY, Framing::Chunks(1))]
#[tokio::test(flavor = "multi_thread")]
async fn a_single_large_body_is_served(#[case] bytes: usize, #[case] framing: Framing) {
    let measured = Measured::start().await;
    let mut stream = send_part(measured.front(), "large".to_string(), bytes, framing).await;
    if matches!(framing, Framing::Chunks(_)) {
        stream.write_all(b"0\r\n\r\n").await.expect("sent");
    }
    assert_eq!(read_status(&mut stream).await, 200);
    measured.check(1).await;
}

/// A body that is announced as too large is refused before it is sent, and the caller gets the
/// answer although it sends more.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_body_over_the_limit_is_refused_by_its_head() {
    let measured = Measured::start().await;
    let framing = Framing::Length(MAX_BODY + 1);
    let mut stream = send_part(measured.front(), "first".to_string(), 0, framing).await;
    assert_eq!(read_status(&mut stream).await, 413);
    let mut stream = send_part(measured.front(), "second".to_string(), 1024 * 1024, framing).await;
    assert_eq!(read_status(&mut stream).await, 413);
}

/// Body of a job with as many small items as fit into `bytes`.
fn large_job(bytes: usize) -> String {
    let item = |number: usize| -> Value {
        json!({
            "id": format!("{number:016x}"), "path": "/jobs/1/91c4",
            "headers": {"X-Brasspond-Model": "model", "X-Brasspond-Token-Usage": "540,400"},
            "body": "q83vEjRWeJA=", "token_count": 940, "group": format!("g{}", number / 4),
        })
    };
    let mut text = String::from(r#"{"step":1,"model_id":"model","requests":["#);
    let mut number = 0;
    loop {
        let next = item(number).to_string();
        if text.len() + next.len() + 3 > bytes {
            break;
        }
        if number > 0 {
            text.push(',');
        }
        text.push_str(&next);
        number += 1;
    }
    text.push_str("]}");
    text
}

/// A job of many small items, inside the limit on bodies, is accepted without a multiple of its
/// size at the edge.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_job_of_the_maximum_size_is_read_within_the_memory_limit() {
    let measured = Measured::start().await;
    let body = large_job(MAX_BODY);
    let call = call(measured.front(), "POST", "/jobs/x", "large-job", body);
    let response = timeout(PATIENCE, call).await.expect("answered");
    assert_eq!(response.expect("answered").status(), 202);
    measured.check(1).await;
}

/// Jobs that do not fit beside the accepted ones are refused. All processes hold the same jobs, so
/// otherwise all would end.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn jobs_are_accepted_as_far_as_storage_processes_have_memory() {
    let measured = Measured::start().await;
    let body = large_job(MAX_BODY);
    let mut statuses = Vec::new();
    for number in 0..LARGE_JOBS {
        let id = format!("large-job-{number}");
        let call = call(measured.front(), "POST", "/jobs/x", &id, body.clone());
        let response = timeout(PATIENCE, call).await.expect("answered");
        statuses.push(response.expect("answered").status().as_u16());
    }
    assert_eq!(statuses[0], 202);
    assert!(
        statuses.iter().all(|status| [202, 503].contains(status)),
        "{statuses:?}"
    );
    for machine in &measured.0.cluster.storage {
        assert_eq!(machine.starts(), 1, "{} lives", machine.name);
        check_peak(machine, STORAGE_LIMIT_MB);
    }
    measured.check(1).await;
}
