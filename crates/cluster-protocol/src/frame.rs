//! Frames on a connection: a length (4 bytes, big endian), a tag byte and the message in
//! MessagePack. The tag tells whether the message is compressed (`crates/compression`).
//!
//! Log entries are compressed individually, once for all members, so consensus messages are not
//! compressed again.

use crate::{Message, Peer};
use brasspond_compression::{PLAIN, UnpackError, pack, unpack};
use brasspond_consensus::{MemberId, Message as LogMessage, Snapshot};
use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;
use serde::Deserialize;

/// Maximum size of a frame in bytes, both compressed and decompressed. A snapshot must fit.
const MAX_FRAME_BYTES: usize = 256 * 1024 * 1024;
const LENGTH_BYTES: usize = 4;
/// Minimum size in bytes of a frame whose memory is not reused, and whose snapshot is not copied out
/// of it.
const LARGE_FRAME_BYTES: usize = 64 * 1024;
/// Length of an empty `bin` in MessagePack.
const EMPTY_BIN_BYTES: usize = 2;

/// Why a frame cannot be read.
#[derive(Debug, Display)]
pub enum FrameError {
    /// a frame of {0} bytes is longer than allowed
    TooLong(usize),
    /// the content cannot be unpacked: {0}
    Unpack(UnpackError),
    /// the content cannot be decoded: {0}
    Decode(rmp_serde::decode::Error),
}

impl std::error::Error for FrameError {}

/// Encodes a message as a frame. Messages other than consensus messages are compressed if that
/// makes them smaller and compression is not paused.
pub fn encode(message: &Message) -> Bytes {
    let mut frame = vec![0; LENGTH_BYTES];
    frame.push(PLAIN);
    // Every message can be encoded and writing to a vector cannot fail, so this is unreachable. An
    // empty frame sends nothing.
    if write(&mut frame, message).is_err() {
        return Bytes::new();
    }
    if !matches!(message, Message::Consensus { .. }) {
        let packed = pack(&frame[LENGTH_BYTES + 1..]);
        if packed[0] != PLAIN {
            frame.truncate(LENGTH_BYTES);
            frame.extend_from_slice(&packed);
        }
    }
    let length = u32::try_from(frame.len() - LENGTH_BYTES).unwrap_or(u32::MAX);
    frame[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    frame.into()
}

/// Encodes a message as parts whose concatenation is the frame of [`encode`]. The state of a
/// snapshot is a part of its own and not copied, because it may take most of a process's memory.
pub fn encode_parts(message: &Message) -> Vec<Bytes> {
    install_parts(message).unwrap_or_else(|| vec![encode(message)])
}

/// Precedes a packed message in two parts by the length of the frame.
pub(crate) fn frame_of_parts(first: Vec<u8>, second: Bytes) -> Vec<Bytes> {
    let length = first.len() + second.len();
    let length = u32::try_from(length).unwrap_or(u32::MAX);
    let mut head = length.to_be_bytes().to_vec();
    head.extend(first);
    vec![head.into(), second]
}

/// Splits the frame of a snapshot before and after its state; `None` for other messages.
fn install_parts(message: &Message) -> Option<Vec<Bytes>> {
    let Message::Consensus { from, to, message } = message else {
        return None;
    };
    let LogMessage::Install {
        term,
        snapshot,
        sent_at,
    } = message
    else {
        return None;
    };
    let without_state = Message::Consensus {
        from: *from,
        to: *to,
        message: LogMessage::Install {
            term: *term,
            snapshot: Snapshot {
                index: snapshot.index,
                term: snapshot.term,
                members: snapshot.members.clone(),
                state: Bytes::new(),
            },
            sent_at: *sent_at,
        },
    };
    // Only the time of sending follows the state.
    let tail = rmp_serde::to_vec(sent_at).ok()?;
    let mut head = encode(&without_state).to_vec();
    let head_bytes = head.len().checked_sub(tail.len() + EMPTY_BIN_BYTES)?;
    head.truncate(head_bytes);
    push_bin_header(&mut head, snapshot.state.len());
    let length = head.len() - LENGTH_BYTES + snapshot.state.len() + tail.len();
    let length = u32::try_from(length).unwrap_or(u32::MAX);
    head[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Some(vec![head.into(), snapshot.state.clone(), tail.into()])
}

/// Appends the shortest header of a MessagePack `bin`. Lengths above 32 bits do not fit in a frame.
fn push_bin_header(buffer: &mut Vec<u8>, length: usize) {
    if let Ok(length) = u8::try_from(length) {
        buffer.extend([0xc4, length]);
    } else if let Ok(length) = u16::try_from(length) {
        buffer.push(0xc5);
        buffer.extend(length.to_be_bytes());
    } else {
        buffer.push(0xc6);
        buffer.extend(u32::try_from(length).unwrap_or(u32::MAX).to_be_bytes());
    }
}

/// Encodes a message without its frame. Builds that lack a field of an edge's hello could not
/// decode it by position.
fn write(frame: &mut Vec<u8>, message: &Message) -> Result<(), rmp_serde::encode::Error> {
    match message {
        Message::Hello(Peer::Edge { .. }) => rmp_serde::encode::write_named(frame, message),
        _ => rmp_serde::encode::write(frame, message),
    }
}

/// Buffers received bytes and decodes complete messages.
#[derive(Debug, Default)]
pub struct FrameBuffer {
    /// Received bytes that are not decoded yet; the caller appends to them.
    pub bytes: BytesMut,
}

impl FrameBuffer {
    /// Decodes the next message; `None` if it is incomplete.
    ///
    /// # Errors
    /// The frame is too long or not a valid message. The connection must be closed, since the start
    /// of the next message may be unknown.
    pub fn next_message(&mut self) -> Result<Option<Message>, FrameError> {
        let Some(length) = self.bytes.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(length));
        }
        if self.bytes.len() < LENGTH_BYTES + length {
            self.bytes.reserve(LENGTH_BYTES + length - self.bytes.len());
            return Ok(None);
        }
        self.bytes.advance(LENGTH_BYTES);
        let frame = self.bytes.split_to(length).freeze();
        if length >= LARGE_FRAME_BYTES {
            // Otherwise this buffer would keep the memory of the frame.
            self.bytes = BytesMut::from(&self.bytes[..]);
        }
        let frame = unpack(frame, MAX_FRAME_BYTES).map_err(FrameError::Unpack)?;
        decode(&frame).map(Some).map_err(FrameError::Decode)
    }
}

/// Decodes a message. The state of a large snapshot shares the memory of `frame`.
fn decode(frame: &Bytes) -> Result<Message, rmp_serde::decode::Error> {
    if frame.len() >= LARGE_FRAME_BYTES
        && let Ok(install) = rmp_serde::from_slice::<BorrowedMessage<'_>>(frame)
    {
        return Ok(install.into_message(frame));
    }
    rmp_serde::from_slice(frame)
}

/// A [`Message`] with a snapshot whose state is a slice of the frame. Other messages do not decode.
#[derive(Deserialize)]
enum BorrowedMessage<'a> {
    Consensus {
        from: MemberId,
        to: MemberId,
        #[serde(borrow)]
        message: BorrowedInstall<'a>,
    },
}

#[derive(Deserialize)]
enum BorrowedInstall<'a> {
    Install {
        term: u64,
        #[serde(borrow)]
        snapshot: Snapshot<&'a [u8]>,
        #[serde(default)]
        sent_at: u64,
    },
}

impl BorrowedMessage<'_> {
    fn into_message(self, frame: &Bytes) -> Message {
        let Self::Consensus { from, to, message } = self;
        let BorrowedInstall::Install {
            term,
            snapshot,
            sent_at,
        } = message;
        let snapshot = Snapshot {
            index: snapshot.index,
            term: snapshot.term,
            members: snapshot.members,
            state: frame.slice_ref(snapshot.state),
        };
        let message = LogMessage::Install {
            term,
            snapshot,
            sent_at,
        };
        Message::Consensus { from, to, message }
    }
}
