//! What a proxy does to connections, and that it listens only while its target does.

use brasspond_soak::proxy::Proxy;
use brasspond_soak::schedule::Harm;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

const AT: &str = "127.0.2.3:0";
/// Longer than anything here takes.
const PATIENCE: Duration = Duration::from_secs(5);
/// Time in which nothing comes.
const QUIET: Duration = Duration::from_millis(300);

/// Gives back what it gets, until it is told to end: with it all connections.
async fn echo(listener: TcpListener, end: tokio::sync::oneshot::Receiver<()>) {
    let mut connections = JoinSet::new();
    let mut end = std::pin::pin!(end);
    loop {
        tokio::select! {
            Ok((mut stream, _)) = listener.accept() => {
                connections.spawn(async move {
                    let (mut from, mut to) = stream.split();
                    let _ = tokio::io::copy(&mut from, &mut to).await;
                });
            }
            _ = &mut end => return,
        }
    }
}

struct Target {
    address: SocketAddr,
    end: tokio::sync::oneshot::Sender<()>,
    task: tokio::task::JoinHandle<()>,
}

impl Target {
    async fn start(at: &str) -> Self {
        let listener = TcpListener::bind(at).await.expect("port");
        let address = listener.local_addr().expect("address");
        let (end, ended) = tokio::sync::oneshot::channel();
        let task = tokio::spawn(echo(listener, ended));
        Self { address, end, task }
    }

    async fn end(self) {
        self.end.send(()).expect("runs");
        self.task.await.expect("ends");
    }
}

/// Whether bytes come back on a connection.
async fn answers(stream: &mut TcpStream) -> bool {
    let mut bytes = [0; 4];
    if stream.write_all(b"ping").await.is_err() {
        return false;
    }
    let read = timeout(QUIET, stream.read_exact(&mut bytes)).await;
    matches!(read, Ok(Ok(_))) && bytes == *b"ping"
}

async fn is_refused(address: SocketAddr) -> bool {
    let connected = TcpStream::connect(address).await;
    connected.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
}

async fn until(address: SocketAddr, refused: bool) {
    let reached = timeout(PATIENCE, async {
        while is_refused(address).await != refused {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    reached.await.expect("in time");
}

/// The end of a target breaks connections through its proxy, and new ones are refused until it
/// is back.
#[rstest]
#[tokio::test]
async fn proxy_listens_while_its_target_does() {
    let target = Target::start(AT).await;
    let address = target.address;
    let proxy = Proxy::start(address).await.expect("started");
    let mut open = TcpStream::connect(proxy.address).await.expect("connected");
    assert!(answers(&mut open).await);
    target.end().await;
    assert!(!answers(&mut open).await);
    until(proxy.address, true).await;
    let target = Target::start(&address.to_string()).await;
    until(proxy.address, false).await;
    let mut open = TcpStream::connect(proxy.address).await.expect("connected");
    assert!(answers(&mut open).await);
    target.end().await;
}

/// Open connections are silenced or reset for good; new ones work.
#[rstest]
#[case::silence(Harm::Silence)]
#[case::reset(Harm::Reset)]
#[tokio::test]
async fn open_connections_are_harmed_and_new_ones_work(#[case] harm: Harm) {
    let target = Target::start(AT).await;
    let proxy = Proxy::start(target.address).await.expect("started");
    let mut open = TcpStream::connect(proxy.address).await.expect("connected");
    assert!(answers(&mut open).await);
    proxy.harm(harm);
    tokio::time::sleep(QUIET).await;
    assert!(!answers(&mut open).await);
    proxy.heal();
    assert!(!answers(&mut open).await);
    let mut new = TcpStream::connect(proxy.address).await.expect("connected");
    assert!(answers(&mut new).await);
}

/// What a cut takes on its way there never comes, and its connection ends with the cut; new
/// ones work again.
#[rstest]
#[tokio::test]
async fn bytes_lost_in_a_cut_never_arrive() {
    let target = Target::start(AT).await;
    let proxy = Proxy::start(target.address).await.expect("started");
    let mut open = TcpStream::connect(proxy.address).await.expect("connected");
    assert!(answers(&mut open).await);
    proxy.harm(Harm::CutThere);
    assert!(!answers(&mut open).await);
    proxy.heal();
    let mut rest = Vec::new();
    let ended = timeout(PATIENCE, open.read_to_end(&mut rest)).await;
    // A reset is an end too.
    let _ = ended.expect("the connection ends");
    assert!(rest.is_empty(), "{rest:?}");
    let mut new = TcpStream::connect(proxy.address).await.expect("connected");
    assert!(answers(&mut new).await);
}
