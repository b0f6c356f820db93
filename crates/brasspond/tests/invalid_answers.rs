//! Replicas whose bytes are no answers of the protocol, tested with real processes. Guards against
//! such bytes that reach a caller as an answer, and against bytes without end that use up the memory
//! of an edge.

mod one_edge;

use brasspond_platform_standin::Replica;
use brasspond_platform_standin::processes::{Deployment, call, configuration, replica_entry};
use one_edge::{OneEdge, check_peak};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Memory limit of a process.
const LIMIT_MB: u64 = 96;
/// Number of requests whose answers have no end: more than the limit together, at 64 MiB each.
const CROWD: usize = 6;
const PATIENCE: Duration = Duration::from_secs(60);
/// Size of one write of an endless answer, in bytes.
const WRITE_BYTES: usize = 64 * 1024;
const SIGNATURE: &str = "x-brasspond-server-stamp";

/// What a replica sends in place of an answer.
#[derive(Clone, Copy, Debug)]
enum Answer {
    /// A complete answer with this status.
    Status(&'static str),
    /// A head without end.
    EndlessHead,
    /// Lines without end that are no answer.
    EndlessNoise,
    /// Informational answers without end.
    EndlessInformation,
    /// A body in chunks of this size, without end.
    EndlessChunks(usize),
    /// A body without a length, without end.
    EndlessBody,
}

impl Answer {
    /// What is sent once, and what is sent again and again after it.
    fn bytes(self, id: &str) -> (String, Vec<u8>) {
        let head = |status: &str, framing: &str| {
            format!(
                "HTTP/1.1 {status} Text\r\nx-brasspond-request-id: {id}\r\n{SIGNATURE}: 1.2.3\r\n{framing}\r\n"
            )
        };
        match self {
            Self::Status(status) => (head(status, "content-length: 2\r\n") + "hi", Vec::new()),
            Self::EndlessHead => (
                head("200", "").trim_end().to_string() + "\r\nx-long: ",
                vec![b'a'; WRITE_BYTES],
            ),
            Self::EndlessNoise => (String::new(), b"noise\r\n".repeat(WRITE_BYTES / 7)),
            Self::EndlessInformation => (
                String::new(),
                b"HTTP/1.1 102 Processing\r\n\r\n".repeat(WRITE_BYTES / 27),
            ),
            Self::EndlessChunks(size) => {
                let chunk = [
                    format!("{size:x}\r\n").as_bytes(),
                    &vec![b'x'; size],
                    b"\r\n",
                ]
                .concat();
                let count = (WRITE_BYTES / chunk.len()).max(1);
                (
                    head("200", "transfer-encoding: chunked\r\n"),
                    chunk.repeat(count),
                )
            }
            Self::EndlessBody => (
                head("200", "connection: close\r\n"),
                vec![b'x'; WRITE_BYTES],
            ),
        }
    }
}

/// Reads a request without a body beyond its announced length; returns its id.
async fn read_request(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut id = None;
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim().split_once(": ") else {
            if line == "\r\n" {
                break;
            }
            continue;
        };
        match name.to_ascii_lowercase().as_str() {
            "x-brasspond-request-id" => id = Some(value.to_string()),
            "content-length" => length = value.parse().ok()?,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).await.ok()?;
    id
}

async fn serve(stream: TcpStream, answer: Answer) -> Option<()> {
    let mut reader = BufReader::new(stream);
    while let Some(id) = read_request(&mut reader).await {
        let (once, repeated) = answer.bytes(&id);
        reader.get_mut().write_all(once.as_bytes()).await.ok()?;
        while !repeated.is_empty() {
            reader.get_mut().write_all(&repeated).await.ok()?;
        }
    }
    Some(())
}

async fn start_replica(answer: Answer) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, answer));
        }
    });
    address
}

/// A cluster with one edge whose plain service has one replica, which sends no answers.
struct Fixture(OneEdge);

impl Fixture {
    async fn start(answer: Answer) -> Self {
        let deployment = Deployment {
            memory_mb: Some(LIMIT_MB),
            ..Deployment::default()
        };
        let one_edge = OneEdge::start(configuration(1), deployment).await;
        let entry = replica_entry("plain", start_replica(answer).await);
        let store = &one_edge.cluster.store;
        store.put("servers", "invalid", entry);
        store.remove("servers", "plain-0");
        tokio::time::sleep(Duration::from_millis(800)).await;
        Self(one_edge)
    }

    fn front(&self) -> SocketAddr {
        self.0.front()
    }

    /// Replaces the replica by a sound one and waits until it answers.
    async fn check_served(&self) {
        let (_replica, address) = Replica::start("sound").await;
        let sound = replica_entry("plain", address);
        self.0.cluster.store.put("servers", "sound", sound);
        self.0.cluster.store.remove("servers", "invalid");
        let deadline = Instant::now() + PATIENCE;
        for number in 0.. {
            let id = format!("ordinary-{number}");
            let call = call(self.front(), "POST", "/reads/x", &id, "x");
            let response = timeout(PATIENCE, call).await.expect("answered");
            if response.is_some_and(|response| response.status() == 200) {
                break;
            }
            assert!(Instant::now() < deadline, "no ordinary request is answered");
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        self.0.check_lives();
    }
}

/// Sends a plain request; returns the status, unless the connection was closed without an answer,
/// and whether the answer has a replica's signature.
async fn ask(front: SocketAddr, id: String) -> Option<(u16, bool)> {
    let call = call(front, "POST", "/reads/x", &id, "x");
    let response = timeout(PATIENCE, call).await.expect("answered in time")?;
    let is_signed = response.headers().contains_key(SIGNATURE);
    Some((response.status().as_u16(), is_signed))
}

#[rstest]
#[case::zero("000")]
#[case::below_the_first("099")]
#[case::switching_protocols("101")]
#[case::above_the_last("600")]
#[case::the_largest("999")]
#[tokio::test(flavor = "multi_thread")]
async fn a_status_outside_the_protocol_is_no_answer(#[case] status: &'static str) {
    let fixture = Fixture::start(Answer::Status(status)).await;
    let answer = ask(fixture.front(), "request".to_string()).await;
    let (seen, is_signed) = answer.expect("an answer of the edge");
    assert!([502, 503, 504].contains(&seen), "{seen}");
    assert!(!is_signed);
    fixture.check_served().await;
}

#[rstest]
#[case::head(Answer::EndlessHead)]
#[case::noise(Answer::EndlessNoise)]
#[case::informational(Answer::EndlessInformation)]
#[case::large_chunks(Answer::EndlessChunks(64 * 1024))]
#[case::small_chunks(Answer::EndlessChunks(1))]
#[case::without_a_length(Answer::EndlessBody)]
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_are_bounded(#[case] answer: Answer) {
    let fixture = Fixture::start(answer).await;
    let mut asked = JoinSet::new();
    for number in 0..CROWD {
        asked.spawn(ask(fixture.front(), format!("request-{number}")));
    }
    for answer in asked.join_all().await {
        let (status, is_signed) = answer.expect("an answer of the edge");
        assert!([502, 503, 504].contains(&status), "{status}");
        assert!(!is_signed);
    }
    fixture.check_served().await;
    check_peak(fixture.0.edge(), LIMIT_MB);
}
