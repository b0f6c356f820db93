//! The thread that carries messages between nodes.
//!
//! A message that fits is sent as one UDP datagram. A longer one (a step or a snapshot) is sent as
//! a length-prefixed frame on a TCP connection of its own.

use brasspond_control::Event;
use brasspond_protocol::{Envelope, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, Sealer};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::SyncSender;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{Semaphore, mpsc};

/// Size of the receive buffer; no UDP datagram is longer.
const DATAGRAM_BUFFER_BYTES: usize = 65_536;
/// Time limit for sending or receiving a frame.
const FRAME_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of frames that are sent concurrently, and of frames that are received
/// concurrently.
const MAX_CONCURRENT_FRAMES: usize = 64;

/// A message to send to a peer.
pub(crate) struct Outgoing {
    pub(crate) address: SocketAddr,
    pub(crate) envelope: Box<Envelope>,
}

/// Traffic between nodes, in bytes and messages.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) sent_bytes: AtomicU64,
    pub(crate) sent_messages: AtomicU64,
    pub(crate) refused_messages: AtomicU64,
}

/// Sockets of the protocol between nodes.
pub(crate) struct Sockets {
    pub(crate) datagrams: Arc<UdpSocket>,
    pub(crate) frames: TcpListener,
}

/// Binds both sockets to the same address. Port 0 selects a port that is free for TCP and UDP.
///
/// # Errors
/// A socket cannot be bound, or no port is free for both.
pub(crate) async fn bind(address: SocketAddr) -> std::io::Result<Sockets> {
    /// Maximum number of ports that are tried until one is free for both.
    const MAX_BIND_ATTEMPTS: usize = 20;
    let mut last = std::io::Error::other("no port is free for both TCP and UDP");
    for _ in 0..MAX_BIND_ATTEMPTS {
        let frames = TcpListener::bind(address).await?;
        match UdpSocket::bind(frames.local_addr()?).await {
            Ok(datagrams) => {
                let datagrams = Arc::new(datagrams);
                return Ok(Sockets { datagrams, frames });
            }
            Err(error) => last = error,
        }
        if address.port() != 0 {
            break;
        }
    }
    Err(last)
}

/// Sends and receives messages until the channel of outgoing messages is closed.
pub(crate) async fn run(
    sockets: Sockets,
    sealer: Sealer,
    events: SyncSender<Event>,
    mut outgoing: mpsc::Receiver<Outgoing>,
    traffic: Arc<Traffic>,
) {
    let datagrams = receive_datagrams(
        Arc::clone(&sockets.datagrams),
        sealer.clone(),
        events.clone(),
        Arc::clone(&traffic),
    );
    let datagrams = tokio::spawn(datagrams);
    let frames = receive_frames(sockets.frames, sealer.clone(), events, Arc::clone(&traffic));
    let frames = tokio::spawn(frames);
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_FRAMES));
    while let Some(message) = outgoing.recv().await {
        let bytes = match sealer.seal(&message.envelope) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("event=seal_failed error=\"{error}\"");
                continue;
            }
        };
        traffic
            .sent_bytes
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        traffic.sent_messages.fetch_add(1, Ordering::Relaxed);
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            // A send error is ignored: every exchange between nodes is repeated.
            let _ = sockets.datagrams.send_to(&bytes, message.address).await;
            continue;
        }
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            break;
        };
        tokio::spawn(async move {
            let sending = send_frame(message.address, &bytes);
            // An error or timeout is ignored: every exchange between nodes is repeated.
            let _ = tokio::time::timeout(FRAME_TIMEOUT, sending).await;
            drop(permit);
        });
    }
    datagrams.abort();
    frames.abort();
}

async fn send_frame(address: SocketAddr, bytes: &[u8]) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    let length = u32::try_from(bytes.len()).map_err(std::io::Error::other)?;
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(bytes).await?;
    stream.shutdown().await
}

async fn receive_datagrams(
    socket: Arc<UdpSocket>,
    sealer: Sealer,
    events: SyncSender<Event>,
    traffic: Arc<Traffic>,
) {
    let mut buffer = vec![0; DATAGRAM_BUFFER_BYTES];
    loop {
        if let Ok((length, _)) = socket.recv_from(&mut buffer).await {
            receive_message(&buffer[..length], &sealer, &events, &traffic);
        }
    }
}

async fn receive_frames(
    listener: TcpListener,
    sealer: Sealer,
    events: SyncSender<Event>,
    traffic: Arc<Traffic>,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_FRAMES));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let sealer = sealer.clone();
        let events = events.clone();
        let traffic = Arc::clone(&traffic);
        tokio::spawn(async move {
            let frame = tokio::time::timeout(FRAME_TIMEOUT, read_frame(stream)).await;
            if let Ok(Ok(bytes)) = frame {
                receive_message(&bytes, &sealer, &events, &traffic);
            }
            drop(permit);
        });
    }
}

async fn read_frame(mut stream: TcpStream) -> std::io::Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(std::io::Error::other("the frame is longer than the limit"));
    }
    let mut bytes = Vec::new();
    stream.take(length as u64).read_to_end(&mut bytes).await?;
    Ok(bytes)
}

/// Verifies and decodes a message and passes it to the decisions thread. An invalid message is
/// counted and dropped.
fn receive_message(bytes: &[u8], sealer: &Sealer, events: &SyncSender<Event>, traffic: &Traffic) {
    match sealer.open(bytes) {
        Ok(envelope) => {
            // The message is dropped if the queue is full; its sender repeats the exchange.
            let _ = events.try_send(Event::Peer(Box::new(envelope)));
        }
        Err(error) => {
            traffic.refused_messages.fetch_add(1, Ordering::Relaxed);
            log::debug!("event=peer_message_refused reason=\"{error}\"");
        }
    }
}
