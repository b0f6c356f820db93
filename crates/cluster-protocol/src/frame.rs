//! Frames on a connection: a length of 4 bytes, big endian, then the message in MessagePack, which
//! is compressed ("packed", `crates/compression`) where that makes it smaller.
//!
//! Entries of the log are packed by themselves, once for all members, so messages that carry them
//! are not packed again.

use crate::Message;
use brasspond_compression::{PLAIN, UnpackError, pack, unpack};
use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;

/// Longest frame accepted, in bytes, packed and unpacked: a snapshot fits. Not measured.
const LONGEST_FRAME: usize = 256 * 1024 * 1024;
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

/// Encodes a message as a frame, packed unless this process is busy.
pub fn encode(message: &Message) -> Bytes {
    let mut frame = vec![0; LENGTH_BYTES];
    frame.push(PLAIN);
    // Does not occur: every message type can be encoded, and writing to a vector does not fail. An
    // empty frame carries nothing.
    if rmp_serde::encode::write(&mut frame, message).is_err() {
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

/// Collects bytes and gives out whole messages.
#[derive(Debug, Default)]
pub struct FrameBuffer {
    /// Bytes received and not decoded yet; readers append here.
    pub bytes: BytesMut,
}

impl FrameBuffer {
    /// The next message; none: it has not arrived whole.
    ///
    /// # Errors
    /// The bytes are no message: where the next one begins is unknown, and the connection must be
    /// closed.
    pub fn next_message(&mut self) -> Result<Option<Message>, FrameError> {
        let Some(length) = self.bytes.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > LONGEST_FRAME {
            return Err(FrameError::TooLong(length));
        }
        if self.bytes.len() < LENGTH_BYTES + length {
            self.bytes.reserve(LENGTH_BYTES + length - self.bytes.len());
            return Ok(None);
        }
        self.bytes.advance(LENGTH_BYTES);
        let frame = self.bytes.split_to(length).freeze();
        let frame = unpack(frame, LONGEST_FRAME).map_err(FrameError::Unpack)?;
        let message = rmp_serde::from_slice(&frame).map_err(FrameError::Decode)?;
        Ok(Some(message))
    }
}
