//! A TCP proxy on a loopback address that injects faults into the connections it forwards.
//!
//! The proxy listens only while its target does, so that connections to the proxy are refused when
//! the target process has exited.

use crate::schedule::LinkFault;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Maximum number of bytes forwarded at a time.
const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of bytes forwarded at a time under [`LinkFault::Trickle`].
const TRICKLE_BYTES: usize = 64;
/// Pause after each chunk under [`LinkFault::Trickle`].
const TRICKLE_PAUSE: Duration = Duration::from_millis(5);
/// Interval between two checks whether a cut has ended, a reset is due or a target listens again.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);
/// Delays between the probes of a target that has closed a connection. A process that exits may
/// close its connections shortly before its listener, so one probe at once is not enough.
const BREAK_PROBE_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(5),
    Duration::from_millis(30),
];
/// Listen address. No process connects from this address, so the port of a proxy stays free while
/// the proxy does not listen.
const LISTEN_ADDRESS: &str = "127.0.2.2:0";

/// Fault state shared by all connections of a proxy.
#[derive(Debug, Default)]
struct State {
    /// Active fault.
    fault: Mutex<Option<LinkFault>>,
    /// Number of times that all open connections were reset.
    resets: AtomicU64,
    /// Number of times that all open connections were silenced.
    silences: AtomicU64,
    /// Notified when the target no longer listens.
    target_down: Notify,
}

/// A running proxy. Its tasks end with the runtime.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    state: Arc<State>,
}

/// Direction of bytes, relative to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl Proxy {
    /// Starts a proxy in front of a target.
    ///
    /// # Errors
    /// Returns an error if there is no free port.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(LISTEN_ADDRESS).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State::default());
        let proxy = Self {
            address,
            state: Arc::clone(&state),
        };
        tokio::spawn(listen(listener, address, target, state));
        Ok(proxy)
    }

    /// Injects a fault. A reset or silence affects the open connections once; any other fault stays
    /// active until it is cleared or replaced.
    pub fn inject(&self, fault: LinkFault) {
        match fault {
            LinkFault::Reset => {
                self.state.resets.fetch_add(1, Ordering::Relaxed);
            }
            LinkFault::Silence => {
                self.state.silences.fetch_add(1, Ordering::Relaxed);
            }
            _ => *self.state.fault.lock().expect("lock") = Some(fault),
        }
    }

    /// Clears the active fault.
    pub fn clear(&self) {
        *self.state.fault.lock().expect("lock") = None;
    }
}

impl State {
    fn fault(&self) -> Option<LinkFault> {
        *self.fault.lock().expect("lock")
    }

    /// Waits until `fault` is no longer active.
    async fn wait_while(&self, fault: LinkFault) {
        while self.fault() == Some(fault) {
            tokio::time::sleep(PROBE_INTERVAL).await;
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
            Ok((client, _)) = listener.accept() => {
                tokio::spawn(forward(client, target, Arc::clone(&state)));
            }
            () = state.target_down.notified() => {
                drop(listener);
                listener = listen_again(address, target).await;
            }
        }
    }
}

/// Waits until the target listens, then listens again at the proxy's address.
async fn listen_again(address: SocketAddr, target: SocketAddr) -> TcpListener {
    loop {
        if TcpStream::connect(target).await.is_ok()
            && let Ok(listener) = TcpListener::bind(address).await
        {
            return listener;
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Probes several times whether a target that has closed a connection still listens, and notifies
/// the listener if it does not.
async fn probe_after_break(target: SocketAddr, state: Arc<State>) {
    for delay in BREAK_PROBE_DELAYS {
        tokio::time::sleep(delay).await;
        if TcpStream::connect(target).await.is_err() {
            state.target_down.notify_one();
            return;
        }
    }
}

/// Forwards one connection to the target until either side closes it or it is reset.
async fn forward(client: TcpStream, target: SocketAddr, state: Arc<State>) {
    let Ok(upstream) = TcpStream::connect(target).await else {
        state.target_down.notify_one();
        return;
    };
    // Disables Nagle's algorithm, which would delay small answers.
    if client.set_nodelay(true).is_err() || upstream.set_nodelay(true).is_err() {
        return;
    }
    let opened = FaultCounts {
        resets: state.resets.load(Ordering::Relaxed),
        silences: state.silences.load(Ordering::Relaxed),
    };
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = upstream.into_split();
    let to_target = forward_direction(
        client_read,
        target_write,
        Direction::ToTarget,
        &state,
        opened,
    );
    let from_target = forward_direction(
        target_read,
        client_write,
        Direction::FromTarget,
        &state,
        opened,
    );
    let is_reset = async {
        while state.resets.load(Ordering::Relaxed) == opened.resets {
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    };
    // The connection is closed in both directions when either side closes it or it is reset.
    tokio::select! {
        () = to_target => {}
        () = from_target => {
            tokio::spawn(probe_after_break(target, Arc::clone(&state)));
        }
        () = is_reset => {}
    }
}

/// Values of the counters in [`State`] when a connection was opened.
#[derive(Clone, Copy, Debug)]
struct FaultCounts {
    resets: u64,
    silences: u64,
}

/// Forwards bytes in one direction until either side closes the connection or a fault ends it. A
/// silenced connection stays open but passes no more bytes.
async fn forward_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    state: &State,
    opened: FaultCounts,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut forwarded = 0;
    while let Ok(read) = from.read(&mut buffer).await {
        if read == 0 {
            return;
        }
        if state.silences.load(Ordering::Relaxed) != opened.silences {
            std::future::pending::<()>().await;
        }
        let bytes = &buffer[..read];
        let Some(sent) = forward_chunk(bytes, forwarded, &mut to, direction, state).await else {
            return;
        };
        forwarded += sent as u64;
    }
}

/// Forwards one chunk under the active fault. `forwarded` is the number of bytes forwarded before
/// in this direction. Returns the length of the last write, which excludes bytes sent in earlier
/// writes under [`LinkFault::Trickle`], or `None` if the connection must be closed.
async fn forward_chunk(
    bytes: &[u8],
    forwarded: u64,
    to: &mut OwnedWriteHalf,
    direction: Direction,
    state: &State,
) -> Option<usize> {
    let mut bytes = bytes;
    match state.fault() {
        Some(LinkFault::CutThere) if direction == Direction::ToTarget => {
            state.wait_while(LinkFault::CutThere).await;
            // The connection is closed, so that the lost bytes cannot arrive late.
            return None;
        }
        Some(LinkFault::Delay(ms)) => tokio::time::sleep(Duration::from_millis(ms)).await,
        Some(LinkFault::CutBack) if direction == Direction::FromTarget => {
            state.wait_while(LinkFault::CutBack).await;
        }
        Some(LinkFault::Trickle) => {
            while bytes.len() > TRICKLE_BYTES && state.fault() == Some(LinkFault::Trickle) {
                to.write_all(&bytes[..TRICKLE_BYTES]).await.ok()?;
                bytes = &bytes[TRICKLE_BYTES..];
                tokio::time::sleep(TRICKLE_PAUSE).await;
            }
        }
        Some(LinkFault::CutAfter(limit)) if direction == Direction::FromTarget => {
            let left = limit.saturating_sub(forwarded);
            if (bytes.len() as u64) > left {
                // The rest is lost and the connection is closed, even if this write fails.
                let _ = to.write_all(&bytes[..left as usize]).await;
                return None;
            }
        }
        _ => {}
    }
    to.write_all(bytes).await.ok()?;
    Some(bytes.len())
}
