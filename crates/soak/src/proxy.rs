//! A proxy on loopback addresses that harms the bytes that pass through it.
//!
//! It listens only while its target does, so that the end of a process is seen at the address of
//! its proxy too.

use crate::schedule::Harm;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Bytes passed on at a time.
const PIECE: usize = 16 * 1024;
/// Bytes passed on at a time where they trickle.
const SMALL_PIECE: usize = 64;
/// Pause between two such pieces.
const TRICKLE_PAUSE: Duration = Duration::from_millis(5);
/// Pause between two probes whether a cut is over, or a target is back.
const PROBE_PAUSE: Duration = Duration::from_millis(20);
/// Pauses before the probes of a target after a connection to it broke: a process that ends closes
/// its connections a moment before its listener.
const BREAK_PROBES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(5),
    Duration::from_millis(30),
];
/// An address from which nothing connects, so that the port stays free while nothing listens.
const LISTENS_AT: &str = "127.0.2.2:0";

/// Harm to connections.
#[derive(Debug, Default)]
struct State {
    /// Harm at present.
    harm: Mutex<Option<Harm>>,
    /// How often all open connections were reset.
    resets: AtomicU64,
    /// How often all open connections were silenced.
    silences: AtomicU64,
    /// Wakes the listener once nothing listens at the target.
    gone: Notify,
}

/// A proxy; it ends with the runtime.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
}

/// Direction of bytes: to the target, or back from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    There,
    Back,
}

impl Proxy {
    /// Starts one before an address.
    ///
    /// # Errors
    /// There is no free port.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(LISTENS_AT).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State::default());
        let proxy = Self {
            address,
            state: Arc::clone(&state),
        };
        tokio::spawn(listen(listener, address, target, state));
        Ok(proxy)
    }

    /// Begins to harm connections.
    pub fn harm(&self, harm: Harm) {
        match harm {
            Harm::Reset => {
                self.state.resets.fetch_add(1, Ordering::Relaxed);
            }
            Harm::Silence => {
                self.state.silences.fetch_add(1, Ordering::Relaxed);
            }
            _ => *self.state.harm.lock().expect("lock") = Some(harm),
        }
    }

    /// Harms no more.
    pub fn heal(&self) {
        *self.state.harm.lock().expect("lock") = None;
    }
}

impl State {
    fn harm(&self) -> Option<Harm> {
        *self.harm.lock().expect("lock")
    }

    /// Waits until this is not the present harm.
    async fn wait_while(&self, harm: Harm) {
        while self.harm() == Some(harm) {
            tokio::time::sleep(PROBE_PAUSE).await;
        }
    }
}

/// Accepts connections while the target listens.
async fn listen(
    mut listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    state: Arc<State>,
) {
    loop {
        tokio::select! {
            Ok((near, _)) = listener.accept() => {
                tokio::spawn(pass(near, target, Arc::clone(&state)));
            }
            () = state.gone.notified() => {
                drop(listener);
                listener = listen_again(address, target).await;
            }
        }
    }
}

/// Listens once the target does.
async fn listen_again(address: SocketAddr, target: SocketAddr) -> TcpListener {
    loop {
        if TcpStream::connect(target).await.is_ok()
            && let Ok(listener) = TcpListener::bind(address).await
        {
            return listener;
        }
        tokio::time::sleep(PROBE_PAUSE).await;
    }
}

/// Probes whether the target still listens, after a connection to it broke.
async fn probe_after_break(target: SocketAddr, state: Arc<State>) {
    for pause in BREAK_PROBES {
        tokio::time::sleep(pause).await;
        if TcpStream::connect(target).await.is_err() {
            state.gone.notify_one();
            return;
        }
    }
}

/// Passes one connection on to the target, until either side closes it or it is reset.
async fn pass(near: TcpStream, target: SocketAddr, state: Arc<State>) {
    let Ok(far) = TcpStream::connect(target).await else {
        state.gone.notify_one();
        return;
    };
    // Small answers must not wait for one another.
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    let opened = Opened {
        resets: state.resets.load(Ordering::Relaxed),
        silences: state.silences.load(Ordering::Relaxed),
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = copy(near_read, far_write, Direction::There, &state, opened);
    let back = copy(far_read, near_write, Direction::Back, &state, opened);
    let is_reset = async {
        while state.resets.load(Ordering::Relaxed) == opened.resets {
            tokio::time::sleep(PROBE_PAUSE).await;
        }
    };
    // Either end closes both ways, as a reset does.
    tokio::select! {
        () = there => {}
        () = back => {
            tokio::spawn(probe_after_break(target, Arc::clone(&state)));
        }
        () = is_reset => {}
    }
}

/// How often connections had been harmed before one was opened.
#[derive(Clone, Copy, Debug)]
struct Opened {
    resets: u64,
    silences: u64,
}

/// Passes bytes on in one direction until a side closes the connection, or harm ends it.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    state: &State,
    opened: Opened,
) {
    let mut buffer = vec![0; PIECE];
    let mut passed = 0;
    while let Ok(read) = from.read(&mut buffer).await {
        if read == 0 {
            return;
        }
        if state.silences.load(Ordering::Relaxed) != opened.silences {
            std::future::pending::<()>().await;
        }
        let bytes = &buffer[..read];
        let Some(sent) = pass_piece(bytes, passed, &mut to, direction, state).await else {
            return;
        };
        passed += sent as u64;
    }
}

/// Passes one piece on under the present harm, `passed` bytes after the connection's first.
/// Returns how many bytes went in one write, without those that trickled; none: the connection is
/// to end.
async fn pass_piece(
    bytes: &[u8],
    passed: u64,
    to: &mut OwnedWriteHalf,
    direction: Direction,
    state: &State,
) -> Option<usize> {
    let mut bytes = bytes;
    match state.harm() {
        Some(Harm::CutThere) if direction == Direction::There => {
            state.wait_while(Harm::CutThere).await;
            // What was cut is lost, and so is the connection: nothing comes late.
            return None;
        }
        Some(Harm::Delay(ms)) => tokio::time::sleep(Duration::from_millis(ms)).await,
        Some(Harm::CutBack) if direction == Direction::Back => {
            state.wait_while(Harm::CutBack).await;
        }
        Some(Harm::Trickle) => {
            while bytes.len() > SMALL_PIECE && state.harm() == Some(Harm::Trickle) {
                to.write_all(&bytes[..SMALL_PIECE]).await.ok()?;
                bytes = &bytes[SMALL_PIECE..];
                tokio::time::sleep(TRICKLE_PAUSE).await;
            }
        }
        Some(Harm::CutAfter(most)) if direction == Direction::Back => {
            let left = most.saturating_sub(passed);
            if (bytes.len() as u64) > left {
                // The rest is lost, and so is the connection, whether this arrives or not.
                let _ = to.write_all(&bytes[..left as usize]).await;
                return None;
            }
        }
        _ => {}
    }
    to.write_all(bytes).await.ok()?;
    Some(bytes.len())
}
