//! Connections between processes of the cluster.
//!
//! A link carries frames in both directions. The side that opens it introduces itself and reopens
//! it when it breaks. Received messages are sent as events through one bounded queue to the event
//! loop of the process.
//!
//! Each link is served by a task without state beyond the connection. [`crate::link_writer`] writes
//! to a link, and [`crate::link_context`] contains the state that all links of a process share.

use crate::clock::Moment;
use crate::link_writer::start_writer;
use crate::socket::set_options;
use brasspond_cluster_protocol::{FrameBuffer, Message, Peer};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

pub(crate) use crate::link_context::{LinkContext, TRAFFIC_LOG_INTERVAL_MS};
pub(crate) use crate::link_writer::{Writer, shared_frame};

/// Timeout to connect to a process of the cluster.
const LINK_CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay before a failed link is opened or accepted again.
const LINK_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Buffer space reserved for each read, in bytes. Each link keeps at least as much, and a storage
/// process has one to every edge; for a longer frame the rest of its length is reserved.
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// Id of a link, unique within a process.
pub(crate) type LinkId = u64;

/// How a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkEnd {
    /// The peer closed the connection, or its process ended.
    Closed,
    /// The connection was reset, for example since the peer's process ended with unread data.
    Reset,
    /// The peer's machine is silent.
    TimedOut,
    /// A frame could not be decoded.
    Unreadable,
    /// Reading failed for another reason.
    Failed,
}

impl LinkEnd {
    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Reset => "reset",
            Self::TimedOut => "timed_out",
            Self::Unreadable => "unreadable",
            Self::Failed => "failed",
        }
    }

    fn of(error: &std::io::Error) -> Self {
        match error.kind() {
            ErrorKind::ConnectionReset | ErrorKind::BrokenPipe => Self::Reset,
            ErrorKind::TimedOut | ErrorKind::HostUnreachable => Self::TimedOut,
            _ => Self::Failed,
        }
    }
}

/// Events of links.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    /// A link is up. If the peer opened it, the peer has introduced itself.
    Up {
        /// The link.
        link: LinkId,
        /// Writer of the link.
        writer: Writer,
        /// Peer that opened the link; `None` if this process did.
        peer: Option<Peer>,
        /// Address of the peer.
        address: SocketAddr,
    },
    /// A message arrived.
    Message {
        /// The link.
        link: LinkId,
        /// The message.
        message: Message,
    },
    /// The link is closed.
    Down {
        /// The link.
        link: LinkId,
        /// How it ended.
        end: LinkEnd,
    },
    /// The peer refused the connection, so no process listens there.
    Refused {
        /// Address of the peer.
        address: SocketAddr,
    },
}

/// Accepts links until the process ends.
pub(crate) async fn accept_links(
    listener: TcpListener,
    context: Rc<LinkContext>,
    events: mpsc::Sender<LinkEvent>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let link = context.next_link_id();
                let serving =
                    serve_link(stream, address, link, Rc::clone(&context), events.clone());
                tokio::task::spawn_local(serving);
            }
            Err(error) => {
                log::warn!("event=link_accept_failed error=\"{error}\"");
                tokio::time::sleep(LINK_RETRY_DELAY).await;
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
    set_options(&stream);
    let (mut reader, writer) = stream.into_split();
    let mut buffer = FrameBuffer::default();
    let Ok(Message::Hello(peer)) = read_message(&mut reader, &mut buffer).await else {
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
        let mut inbound = Inbound {
            reader,
            buffer,
            link,
        };
        let end = forward_messages(&mut inbound, &events, |_| {}).await;
        // Fails only if the event loop has ended.
        let _ = events.send(LinkEvent::Down { link, end }).await;
    }
}

/// Opens a link to `address`, and again whenever it is closed, until the task is aborted or the
/// event loop ends.
pub(crate) async fn dial(
    address: SocketAddr,
    hello: Peer,
    context: Rc<LinkContext>,
    events: mpsc::Sender<LinkEvent>,
) {
    loop {
        let started = Moment::now();
        match tokio::time::timeout(LINK_CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                let outbound = Outbound {
                    stream,
                    address,
                    link: context.next_link_id(),
                    round_trip: started.elapsed(),
                };
                let link = outbound.link;
                let end = run_outbound(outbound, &hello, &context, &events).await;
                if events.send(LinkEvent::Down { link, end }).await.is_err() {
                    return;
                }
            }
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                // Fails only if the event loop has ended.
                let _ = events.send(LinkEvent::Refused { address }).await;
            }
            // The machine or the route to it may be down temporarily, so the connection is retried.
            Ok(Err(_)) | Err(_) => {}
        }
        tokio::time::sleep(LINK_RETRY_DELAY).await;
    }
}

/// A connection opened by this process.
struct Outbound {
    stream: TcpStream,
    address: SocketAddr,
    link: LinkId,
    /// Time that opening the connection took. The peer's kernel accepts it without waiting for the
    /// process, so this is the round-trip time of the network.
    round_trip: Duration,
}

async fn run_outbound(
    outbound: Outbound,
    hello: &Peer,
    context: &Rc<LinkContext>,
    events: &mpsc::Sender<LinkEvent>,
) -> LinkEnd {
    let Outbound {
        stream,
        address,
        link,
        round_trip,
    } = outbound;
    set_options(&stream);
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
    if events.send(up).await.is_err() {
        return LinkEnd::Closed;
    }
    let mut inbound = Inbound {
        reader,
        buffer: FrameBuffer::default(),
        link,
    };
    let on_hello = |peer: &Peer| {
        let peer_distance = context.distance_of(peer);
        if distance.replace(Some(peer_distance)).is_none() {
            context.record_round_trip(peer_distance, round_trip);
        }
    };
    forward_messages(&mut inbound, events, on_hello).await
}

/// Receiving side of a link.
struct Inbound {
    reader: OwnedReadHalf,
    buffer: FrameBuffer,
    link: LinkId,
}

/// Forwards received messages as events until the link is closed, and returns how it ended.
async fn forward_messages(
    inbound: &mut Inbound,
    events: &mpsc::Sender<LinkEvent>,
    on_hello: impl Fn(&Peer),
) -> LinkEnd {
    let link = inbound.link;
    loop {
        let message = match read_message(&mut inbound.reader, &mut inbound.buffer).await {
            Ok(message) => message,
            Err(end) => return end,
        };
        if let Message::Hello(peer) = &message {
            on_hello(peer);
        }
        let event = LinkEvent::Message { link, message };
        if events.send(event).await.is_err() {
            return LinkEnd::Closed;
        }
    }
}

/// Reads the next message.
///
/// # Errors
/// The link ended, or received an invalid frame.
pub(crate) async fn read_message(
    reader: &mut OwnedReadHalf,
    buffer: &mut FrameBuffer,
) -> Result<Message, LinkEnd> {
    loop {
        match buffer.next_message() {
            Ok(Some(message)) => return Ok(message),
            Ok(None) => {}
            Err(error) => {
                log::warn!("event=link_frame_invalid error=\"{error}\"");
                return Err(LinkEnd::Unreadable);
            }
        }
        // The buffer already has the space for the rest of a longer frame.
        if buffer.bytes.len() < READ_BUFFER_BYTES {
            buffer.bytes.reserve(READ_BUFFER_BYTES);
        }
        match reader.read_buf(&mut buffer.bytes).await {
            Ok(0) => return Err(LinkEnd::Closed),
            Ok(_) => {}
            Err(error) => return Err(LinkEnd::of(&error)),
        }
    }
}
