//! Connections between processes of the cluster.
//!
//! A link carries frames both ways. The side that opens it says who it is and
//! opens it again when it breaks. What arrives goes into one bounded queue of
//! events, so that a process handles everything in one place.

use crate::clock::Moment;
use brasspond_cluster_protocol::{FrameBuffer, Kind, Message, Peer, encode};
use brasspond_distance::Distance;
use bytes::Bytes;
use socket2::{SockRef, TcpKeepalive};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

pub use crate::link_context::{LinkContext, TRAFFIC_PAUSE};

/// Bytes waiting to be written to one link; more are dropped.
const MOST_WAITING: usize = 4 * 1024 * 1024;
/// Frames waiting to be written to one link; more are dropped.
const WRITE_QUEUE: usize = 4_096;
/// Time to connect.
const CONNECT_TIME: Duration = Duration::from_millis(600);
/// Pause between two attempts to connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(150);
/// Unacknowledged bytes for this long break a link.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause between probes of a connection at rest.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// Bytes read at a time.
const READ_BYTES: usize = 32 * 1024;

/// Identity of a link within a process.
pub type LinkId = u64;

/// What happens on links.
#[derive(Debug)]
pub enum LinkEvent {
    /// A link is up. For links opened by others, the peer said who it is.
    Up {
        /// The link.
        link: LinkId,
        /// Writes to it.
        writer: Writer,
        /// Who opened it; none if this process did.
        peer: Option<Peer>,
        /// The other side's address.
        address: SocketAddr,
    },
    /// A message arrived.
    Message {
        /// The link.
        link: LinkId,
        /// The message.
        message: Message,
    },
    /// The link is no more.
    Down {
        /// The link.
        link: LinkId,
        /// The other side's address.
        address: SocketAddr,
    },
    /// The other side's process does not listen.
    Refused {
        /// The other side's address.
        address: SocketAddr,
    },
}

/// Writes frames to a link without ever waiting.
#[derive(Clone, Debug)]
pub struct Writer {
    queue: mpsc::Sender<Bytes>,
    waiting: Rc<Cell<usize>>,
    /// How far the peer is; none before it said who it is.
    distance: Rc<Cell<Option<Distance>>>,
    context: Rc<LinkContext>,
}

impl Writer {
    /// One that writes nowhere.
    #[cfg(test)]
    pub fn detached() -> Self {
        let (queue, _) = mpsc::channel(1);
        let place = brasspond_distance::Place::new("zone", None);
        Self {
            queue,
            waiting: Rc::default(),
            distance: Rc::default(),
            context: Rc::new(LinkContext::new(place)),
        }
    }

    /// Queues a message; false if the queue is full or the link is down.
    pub fn send(&self, message: &Message) -> bool {
        self.send_frame(Kind::of(message), encode(message))
    }

    /// Queues a frame encoded before, of this kind. A peer that does not read is sent no more
    /// than a bounded number of bytes; whoever sends asks again.
    pub fn send_frame(&self, kind: Kind, frame: Bytes) -> bool {
        let length = frame.len();
        let waiting = self.waiting.get();
        if waiting > 0 && waiting + length > MOST_WAITING {
            return false;
        }
        let is_queued = self.queue.try_send(frame).is_ok();
        if is_queued {
            self.waiting.set(waiting + length);
            let traffic = &self.context.traffic;
            traffic.note(kind, self.distance.get(), length);
        }
        is_queued
    }

    /// Bytes queued and not yet handed to the connection.
    pub fn waiting_bytes(&self) -> usize {
        self.waiting.get()
    }
}

/// A frame that goes to many links. It is packed however busy this process is: a whole view of
/// 3,000 replicas is 73 KB then and 400 KB else (measured at the leader's links), and 250 edges
/// that were sent the latter held a link of 600 Mbit/s for 1.3 s, in which nobody heard the
/// leader. Packing it once takes some ms.
pub(crate) fn shared_frame(message: &Message) -> Bytes {
    brasspond_compression::always_packing(|| encode(message))
}

/// Sets what every connection of the system needs: no delay, and an end when
/// the other machine is silent.
pub fn prepare(stream: &TcpStream) {
    note_unset("nodelay", stream.set_nodelay(true));
    let socket = SockRef::from(stream);
    note_unset(
        "user_timeout",
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT)),
    );
    let probes = TcpKeepalive::new()
        .with_time(PROBE_PAUSE)
        .with_interval(PROBE_PAUSE)
        .with_retries(2);
    note_unset("keepalive", socket.set_tcp_keepalive(&probes));
}

/// A connection without one of its options works, but its silence is noticed late.
fn note_unset(option: &str, set: std::io::Result<()>) {
    if let Err(error) = set {
        log::warn!("event=socket_option_failed option={option} error=\"{error}\"");
    }
}

/// Accepts links until the process ends.
pub async fn accept_links(
    listener: TcpListener,
    context: Rc<LinkContext>,
    events: mpsc::Sender<LinkEvent>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let link = context.take_number();
                let serving =
                    serve_link(stream, address, link, Rc::clone(&context), events.clone());
                tokio::task::spawn_local(serving);
            }
            Err(error) => {
                log::warn!("event=link_accept_failed error=\"{error}\"");
                tokio::time::sleep(RECONNECT_PAUSE).await;
            }
        }
    }
}

async fn serve_link(
    stream: TcpStream,
    address: SocketAddr,
    link: LinkId,
    context: Rc<LinkContext>,
    events: mpsc::Sender<LinkEvent>,
) {
    prepare(&stream);
    let (mut reader, writer) = stream.into_split();
    let mut buffer = FrameBuffer::default();
    let Some(Message::Hello(peer)) = read_message(&mut reader, &mut buffer).await else {
        return;
    };
    let writer = start_writer(writer, &context);
    writer.distance.set(Some(context.distance_of(&peer)));
    let up = LinkEvent::Up {
        link,
        writer,
        peer: Some(peer),
        address,
    };
    if events.send(up).await.is_ok() {
        let mut arriving = Arriving {
            reader,
            buffer,
            link,
        };
        pump(&mut arriving, &events, |_| {}).await;
        let _ = events.send(LinkEvent::Down { link, address }).await;
    }
}

/// Keeps a link to `address` up until the task is aborted.
pub async fn dial(
    address: SocketAddr,
    hello: Peer,
    context: Rc<LinkContext>,
    events: mpsc::Sender<LinkEvent>,
) {
    loop {
        let begun = Moment::now();
        match tokio::time::timeout(CONNECT_TIME, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                let dialed = Dialed {
                    stream,
                    address,
                    link: context.take_number(),
                    round_trip: begun.elapsed(),
                };
                let link = dialed.link;
                run_dialed(dialed, &hello, &context, &events).await;
                if events
                    .send(LinkEvent::Down { link, address })
                    .await
                    .is_err()
                {
                    return;
                }
            }
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                let _ = events.send(LinkEvent::Refused { address }).await;
            }
            Ok(Err(_)) | Err(_) => {}
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

/// A connection that this process opened.
struct Dialed {
    stream: TcpStream,
    address: SocketAddr,
    link: LinkId,
    /// Time that opening it took: the other machine's kernel answers, whatever its
    /// processes do, so this is a round trip that costs no message.
    round_trip: Duration,
}

async fn run_dialed(
    dialed: Dialed,
    hello: &Peer,
    context: &Rc<LinkContext>,
    events: &mpsc::Sender<LinkEvent>,
) {
    let Dialed {
        stream,
        address,
        link,
        round_trip,
    } = dialed;
    prepare(&stream);
    let (reader, writer) = stream.into_split();
    let writer = start_writer(writer, context);
    let distance = Rc::clone(&writer.distance);
    writer.send(&Message::Hello(hello.clone()));
    let up = LinkEvent::Up {
        link,
        writer,
        peer: None,
        address,
    };
    if events.send(up).await.is_ok() {
        let mut arriving = Arriving {
            reader,
            buffer: FrameBuffer::default(),
            link,
        };
        let on_hello = |peer: &Peer| {
            let measured = context.distance_of(peer);
            if distance.replace(Some(measured)).is_none() {
                context.note_round_trip(measured, round_trip);
            }
        };
        pump(&mut arriving, events, on_hello).await;
    }
}

/// What arrives on a link.
struct Arriving {
    reader: OwnedReadHalf,
    buffer: FrameBuffer,
    link: LinkId,
}

/// Passes messages on until the link ends.
async fn pump(arriving: &mut Arriving, events: &mpsc::Sender<LinkEvent>, on_hello: impl Fn(&Peer)) {
    let link = arriving.link;
    while let Some(message) = read_message(&mut arriving.reader, &mut arriving.buffer).await {
        if let Message::Hello(peer) = &message {
            on_hello(peer);
        }
        let event = LinkEvent::Message { link, message };
        if events.send(event).await.is_err() {
            return;
        }
    }
}

async fn read_message(reader: &mut OwnedReadHalf, buffer: &mut FrameBuffer) -> Option<Message> {
    loop {
        match buffer.next_message() {
            Ok(Some(message)) => return Some(message),
            Ok(None) => {}
            Err(error) => {
                log::warn!("event=link_garbled error=\"{error}\"");
                return None;
            }
        }
        buffer.bytes.reserve(READ_BYTES);
        let read = reader.read_buf(&mut buffer.bytes).await;
        if !matches!(read, Ok(bytes) if bytes > 0) {
            return None;
        }
    }
}

/// The large frame that was put aside, else the next of the queue.
async fn next_frame(
    large: &mut Option<Bytes>,
    frames: &mut mpsc::Receiver<Bytes>,
) -> Option<Bytes> {
    match large.take() {
        Some(frame) => Some(frame),
        None => frames.recv().await,
    }
}

/// Writes queued frames, several small ones at a time; ends when the queue is dropped.
/// A large frame is written as it is: a whole view goes to hundreds of links at once,
/// which share its memory.
fn start_writer(mut writer: OwnedWriteHalf, context: &Rc<LinkContext>) -> Writer {
    const BATCH_BYTES: usize = 64 * 1024;
    let (queue, mut frames) = mpsc::channel::<Bytes>(WRITE_QUEUE);
    let waiting = Rc::new(Cell::new(0));
    let written = Rc::clone(&waiting);
    tokio::task::spawn_local(async move {
        let mut large = None;
        while let Some(frame) = next_frame(&mut large, &mut frames).await {
            let mut batch = Vec::new();
            let mut next = Some(frame);
            while let Some(frame) = next {
                if frame.len() >= BATCH_BYTES {
                    large = Some(frame);
                    break;
                }
                batch.extend_from_slice(&frame);
                next = (batch.len() < BATCH_BYTES)
                    .then(|| frames.try_recv().ok())
                    .flatten();
            }
            let bytes = if batch.is_empty() {
                large.take().unwrap_or_default()
            } else {
                batch.into()
            };
            if writer.write_all(&bytes).await.is_err() {
                return;
            }
            written.set(written.get() - bytes.len());
        }
        let _ = writer.shutdown().await;
    });
    Writer {
        queue,
        waiting,
        distance: Rc::default(),
        context: Rc::clone(context),
    }
}

/// Asks a process where the members of the log are.
pub async fn ask_members(address: SocketAddr) -> Option<Vec<brasspond_consensus::Member>> {
    use brasspond_cluster_protocol::{Answer, Question};
    const ASK_TIME: Duration = Duration::from_millis(700);
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        prepare(&stream);
        let hello = Peer::Edge {
            machine: String::new(),
            zone: String::new(),
            incarnation: 0,
            region: None,
        };
        stream
            .write_all(&encode(&Message::Hello(hello)))
            .await
            .ok()?;
        let ask = Message::Ask {
            number: 1,
            question: Question::Members,
        };
        stream.write_all(&encode(&ask)).await.ok()?;
        let (mut reader, _writer) = stream.into_split();
        let mut buffer = FrameBuffer::default();
        loop {
            if let Message::Reply {
                answer: Answer::Members(members),
                ..
            } = read_message(&mut reader, &mut buffer).await?
            {
                return (!members.is_empty()).then_some(members);
            }
        }
    };
    tokio::time::timeout(ASK_TIME, exchange).await.ok()?
}

#[cfg(test)]
#[path = "../tests/unit/link.rs"]
mod tests;
