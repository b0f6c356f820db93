//! Splits the bytes of an event stream into events, which are separated by an empty line.

use bytes::{Buf, Bytes, BytesMut};

/// Separator of events.
const SEPARATOR: &[u8] = b"\n\n";
/// Maximum size of an event, in bytes. A stream with a longer event counts as broken.
const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// Buffers the bytes of a stream until events are complete.
#[derive(Debug, Default)]
pub(super) struct EventBuffer {
    bytes: BytesMut,
}

impl EventBuffer {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Takes the first complete event, without its separator.
    pub fn take_event(&mut self) -> Option<Bytes> {
        let mut windows = self.bytes.windows(SEPARATOR.len());
        let end = windows.position(|window| window == SEPARATOR)?;
        let event = self.bytes.split_to(end).freeze();
        self.bytes.advance(SEPARATOR.len());
        Some(event)
    }

    /// Takes all complete events, with their separators.
    pub fn take_all_events(&mut self) -> Option<Bytes> {
        let mut windows = self.bytes.windows(SEPARATOR.len());
        let last = windows.rposition(|window| window == SEPARATOR)?;
        Some(self.bytes.split_to(last + SEPARATOR.len()).freeze())
    }

    /// Whether the buffer contains no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Whether the buffer holds more bytes than the maximum size of an event.
    pub fn is_too_long(&self) -> bool {
        self.bytes.len() > MAX_EVENT_BYTES
    }

    /// Discards all buffered bytes.
    pub fn clear(&mut self) {
        self.bytes.clear();
    }
}

#[cfg(test)]
#[path = "../../tests/unit/event_buffer.rs"]
mod tests;
