//! A proxy between two parties on loopback addresses, which harms what passes through it.

use crate::schedule::Harm;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Bytes passed on at a time.
const PIECE: usize = 16 * 1024;
/// Bytes passed on at a time where they trickle, and the pause between.
const SMALL_PIECE: usize = 64;
const TRICKLE_PAUSE: Duration = Duration::from_millis(5);
/// Pause between two looks whether a cut is over.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// What is done to connections at present, and what was done to those that were open.
#[derive(Debug, Default)]
struct State {
    harm: Mutex<Option<Harm>>,
    resets: AtomicU64,
    silences: AtomicU64,
}

/// A proxy; it ends with the runtime.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
}

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    There,
    Back,
}

impl Proxy {
    /// Starts one before an address.
    ///
    /// # Errors
    /// No port is to be had.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State::default());
        let proxy = Self {
            address,
            state: Arc::clone(&state),
        };
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(pass(near, target, Arc::clone(&state)));
            }
        });
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
}

async fn pass(near: TcpStream, target: SocketAddr, state: Arc<State>) {
    let Ok(far) = TcpStream::connect(target).await else {
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
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    };
    // Either end closes both ways, as a reset does.
    tokio::select! {
        () = there => {}
        () = back => {}
        () = is_reset => {}
    }
}

/// How often connections had been harmed before one was opened.
#[derive(Clone, Copy, Debug)]
struct Opened {
    resets: u64,
    silences: u64,
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
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
        let mut bytes = &buffer[..read];
        match state.harm() {
            Some(Harm::Delay(ms)) => tokio::time::sleep(Duration::from_millis(ms)).await,
            Some(Harm::CutBack) if direction == Direction::Back => {
                while state.harm() == Some(Harm::CutBack) {
                    tokio::time::sleep(LOOK_PAUSE).await;
                }
            }
            Some(Harm::Trickle) => {
                while bytes.len() > SMALL_PIECE && state.harm() == Some(Harm::Trickle) {
                    if to.write_all(&bytes[..SMALL_PIECE]).await.is_err() {
                        return;
                    }
                    bytes = &bytes[SMALL_PIECE..];
                    tokio::time::sleep(TRICKLE_PAUSE).await;
                }
            }
            Some(Harm::CutAfter(most)) if direction == Direction::Back => {
                let left = most.saturating_sub(passed);
                if (bytes.len() as u64) > left {
                    // What was cut is lost, and so is the connection.
                    let _ = to.write_all(&bytes[..left as usize]).await;
                    return;
                }
            }
            _ => {}
        }
        passed += bytes.len() as u64;
        if to.write_all(bytes).await.is_err() {
            return;
        }
    }
}
