//! Memory of real storage processes whose log has the jobs of a whole day.

mod stored_log;

use brasspond_cluster_protocol::{Answer, FrameBuffer, Message, Peer, Question, encode};
use brasspond_platform_standin::Store;
use brasspond_platform_standin::processes::{Cluster, Deployment, Machine, Size, configuration};
use rstest::rstest;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use stored_log::{Jobs, append_jobs, rewrite};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Memory limit of a storage process, in MB.
const LIMIT_MB: u64 = 130;
const SIZE: Size = Size {
    edges: 2,
    storage: 3,
};
const PATIENCE: Duration = Duration::from_secs(60);
/// Interval between two checks of a process.
const CHECK_PAUSE: Duration = Duration::from_millis(20);
/// Time to observe processes after the last wait.
const OBSERVED: Duration = Duration::from_secs(1);
/// Receive buffer of an edge, in bytes. A large one would take answers that the edge does not read.
const RECEIVE_BUFFER: u32 = 64 * 1024;
const EDGES: u32 = 250;
/// Number of jobs that the edges read.
const READ_JOBS: u32 = 90;
/// Pause of an edge before it asks again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A cluster whose storage processes are stopped and have a log with `jobs`.
async fn stopped_cluster(jobs: Jobs) -> Cluster {
    let (store, addresses) = Store::start().await;
    let deployment = Deployment {
        memory_mb: Some(LIMIT_MB),
        ..Deployment::default()
    };
    let mut cluster =
        Cluster::start_deployed(configuration(1), store, addresses, SIZE, deployment).await;
    cluster.storage.iter_mut().for_each(Machine::kill);
    append_jobs(&data_folders(&cluster), jobs);
    cluster
}

fn data_folders(cluster: &Cluster) -> Vec<PathBuf> {
    let names = cluster.storage.iter().map(|machine| &machine.name);
    names
        .map(|name| cluster.folder().join(name).join("data"))
        .collect()
}

fn start_storage(cluster: &mut Cluster) {
    cluster.storage.iter_mut().for_each(Machine::start);
}

/// Highest resident memory of a machine's process, in kB; `None` if the process has ended.
fn peak_kb(machine: &Machine) -> Option<u64> {
    let pid = machine.pid()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_ascii_whitespace().nth(1)?.parse().ok()
}

/// Peaks of the storage processes, in MB, rounded up.
fn peaks_mb(cluster: &Cluster) -> Vec<u64> {
    let peak = |machine: &Machine| {
        let kb = peak_kb(machine);
        let kb = kb.unwrap_or_else(|| panic!("{} ended:\n{}", machine.name, machine.log()));
        (kb * 1_024).div_ceil(1_000_000)
    };
    cluster.storage.iter().map(peak).collect()
}

/// Waits until all storage processes have applied the end of the last job and one leads.
async fn await_applied(cluster: &Cluster, jobs: Jobs) {
    let line = format!("event=job_ended job={}", jobs.last_id());
    for machine in &cluster.storage {
        await_log(machine, &[&line, "event=snapshot_installed"]).await;
    }
    let deadline = Instant::now() + PATIENCE;
    while cluster.leaderships().is_empty() {
        assert!(Instant::now() < deadline, "no leader");
        tokio::time::sleep(CHECK_PAUSE).await;
    }
}

/// Waits until the current process of a machine has logged one of `parts`.
async fn await_log(machine: &Machine, parts: &[&str]) {
    let deadline = Instant::now() + PATIENCE;
    loop {
        let log = machine.log();
        if parts.iter().any(|part| log.contains(part)) {
            return;
        }
        let name = &machine.name;
        assert!(
            peak_kb(machine).is_some(),
            "{name} ended before {parts:?}:\n{log}"
        );
        assert!(
            Instant::now() < deadline,
            "{name} never logged {parts:?}:\n{log}"
        );
        tokio::time::sleep(CHECK_PAUSE).await;
    }
}

fn assert_within_limit(cluster: &Cluster) {
    let peaks = peaks_mb(cluster);
    println!("peaks_mb={peaks:?} leader={}", cluster.leader());
    assert!(
        peaks.iter().all(|peak| *peak <= LIMIT_MB),
        "peaks of {peaks:?} MB, limit {LIMIT_MB} MB"
    );
}

fn link_address(machine: &Machine) -> SocketAddr {
    // The port for links precedes the port for callers.
    SocketAddr::new(machine.front.ip(), machine.front.port() - 1)
}

/// A connection of an edge that only reads results.
struct ReadingEdge {
    stream: TcpStream,
    received: FrameBuffer,
}

impl ReadingEdge {
    async fn connect(address: SocketAddr, number: u32) -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket
            .set_recv_buffer_size(RECEIVE_BUFFER)
            .expect("a buffer size");
        let stream = socket.connect(address).await.expect("connected");
        let mut edge = Self {
            stream,
            received: FrameBuffer::default(),
        };
        edge.send(&Message::Hello(Peer::Edge {
            machine: format!("reader-{number}"),
            zone: "zone-1".to_string(),
            incarnation: u64::from(number),
            region: None,
            features: 0,
        }))
        .await;
        edge
    }

    async fn send(&mut self, message: &Message) {
        let sent = self.stream.write_all(&encode(message)).await;
        sent.expect("sent");
    }

    async fn ask(&mut self, job: u32, since: u64) {
        let question = Question::Results {
            job: Jobs::id(job),
            since,
            wait_ms: 1_000,
            tenant: None,
        };
        let number = u64::from(job);
        self.send(&Message::Ask { number, question }).await;
    }

    /// Returns the next answer; `None` if the link is closed.
    async fn answer(&mut self) -> Option<Answer> {
        loop {
            match self.received.next_message().expect("a message") {
                Some(Message::Reply { answer, .. }) => return Some(answer),
                Some(_) => {}
                None => match self.stream.read_buf(&mut self.received.bytes).await {
                    Ok(0) | Err(_) => return None,
                    Ok(_) => {}
                },
            }
        }
    }

    /// Reads a job whose first page was asked for, and asks again if an answer is no page, as an edge
    /// does. Returns the number of results, which is too small if the link is closed.
    async fn read_job(mut self, job: u32) -> usize {
        let mut since = 0;
        while let Some(answer) = self.answer().await {
            match answer {
                Answer::Page(Some(page)) if page.next == page.total => return page.next as usize,
                Answer::Page(Some(page)) => since = page.next,
                _ => tokio::time::sleep(RETRY_PAUSE).await,
            }
            self.ask(job, since).await;
        }
        0
    }
}

/// Opens the links of [`EDGES`] edges and asks for a job on each of them.
async fn ask_all(machine: &Machine) -> Vec<ReadingEdge> {
    let mut edges = Vec::new();
    for number in 0..EDGES {
        edges.push(ReadingEdge::connect(link_address(machine), number).await);
    }
    for (number, edge) in (0..).zip(&mut edges) {
        edge.ask(number % READ_JOBS, 0).await;
    }
    edges
}

/// Reads the jobs of all edges. Returns how many of them were read whole.
async fn read_all(edges: Vec<ReadingEdge>) -> usize {
    let jobs = (0..EDGES).map(|number| number % READ_JOBS);
    let tasks = jobs.zip(edges).map(|(job, edge)| {
        let read = tokio::time::timeout(PATIENCE, edge.read_job(job));
        tokio::spawn(read)
    });
    let tasks: Vec<_> = tasks.collect();
    let mut whole = 0;
    for task in tasks {
        let results = task.await.expect("a reader").unwrap_or(0);
        whole += usize::from(results == Jobs::results());
    }
    whole
}

/// Guards against a process that ends at its memory limit when it starts: its memory must not grow
/// with the log that it applies.
#[rstest]
#[case::a_day(62)]
#[case::two_days(120)]
#[tokio::test(flavor = "multi_thread")]
async fn a_start_with_a_long_log_stays_within_the_limit(#[case] text_mb: u32) {
    let jobs = Jobs::with_text_mb(text_mb);
    let mut cluster = stopped_cluster(jobs).await;
    start_storage(&mut cluster);
    await_applied(&cluster, jobs).await;
    assert_within_limit(&cluster);
}

/// Guards against a leader or a new member that ends at its memory limit when a snapshot replaces a
/// lost disk.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_snapshot_for_a_lost_disk_stays_within_the_limit() {
    let jobs = Jobs::with_text_mb(62);
    let mut cluster = stopped_cluster(jobs).await;
    data_folders(&cluster)
        .iter()
        .for_each(|folder| rewrite(folder));
    cluster.storage[2].wipe();
    start_storage(&mut cluster);
    await_log(&cluster.storage[2], &["event=snapshot_installed"]).await;
    tokio::time::sleep(OBSERVED).await;
    assert_within_limit(&cluster);
}

/// Guards against a leader that ends at its memory limit, or is replaced since it sends no heartbeat,
/// when all edges read results at once.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn reads_of_all_edges_at_once_stay_within_the_limit() {
    let jobs = Jobs::with_text_mb(62);
    let mut cluster = stopped_cluster(jobs).await;
    start_storage(&mut cluster);
    await_applied(&cluster, jobs).await;
    let leader = cluster.leader();
    let edges = ask_all(&cluster.storage[leader]).await;
    let whole = read_all(edges).await;
    assert_within_limit(&cluster);
    assert_eq!(whole, EDGES as usize);
    assert_eq!(cluster.leader(), leader, "the leader was replaced");
}
