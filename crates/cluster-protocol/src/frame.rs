//! Frames on a connection: a length (4 bytes, big endian), a tag byte and the message in
//! MessagePack. The tag tells whether the message is compressed (`crates/compression`).
//!
//! Log entries are compressed individually, once for all members, so consensus messages are not
//! compressed again.

use crate::{Message, Peer};
use brasspond_compression::{PLAIN, UnpackError, pack, unpack};
use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;

/// Maximum size of a frame in bytes, both compressed and decompressed. A snapshot must fit.
const MAX_FRAME_BYTES: usize = 256 * 1024 * 1024;
const LENGTH_BYTES: usize = 4;

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
        let frame = unpack(frame, MAX_FRAME_BYTES).map_err(FrameError::Unpack)?;
        let message = rmp_serde::from_slice(&frame).map_err(FrameError::Decode)?;
        Ok(Some(message))
    }
}
