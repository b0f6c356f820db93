//! Bytes of an event stream, cut into whole events.
//!
//! Events are separated by an empty line. Owns the bytes that are not whole events yet.

use bytes::{Buf, Bytes, BytesMut};

/// Separates two events.
const SEPARATOR: &[u8] = b"\n\n";
/// Longest event, in bytes: a stream with a longer one counts as broken. Not measured.
const LONGEST_EVENT: usize = 4 * 1024 * 1024;

/// Collects the bytes of a stream.
#[derive(Debug, Default)]
pub(super) struct EventBuffer {
    bytes: BytesMut,
}

impl EventBuffer {
    /// Adds bytes that arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Takes the first whole event, without its separator.
    pub fn take_event(&mut self) -> Option<Bytes> {
        let mut windows = self.bytes.windows(SEPARATOR.len());
        let end = windows.position(|window| window == SEPARATOR)?;
        let event = self.bytes.split_to(end).freeze();
        self.bytes.advance(SEPARATOR.len());
        Some(event)
    }

    /// Takes all whole events with their separators.
    pub fn take_all_events(&mut self) -> Option<Bytes> {
        let mut windows = self.bytes.windows(SEPARATOR.len());
        let last = windows.rposition(|window| window == SEPARATOR)?;
        Some(self.bytes.split_to(last + SEPARATOR.len()).freeze())
    }

    /// Whether no part of an event is left.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Whether the event that is arriving is too long.
    pub fn is_too_long(&self) -> bool {
        self.bytes.len() > LONGEST_EVENT
    }

    /// Drops what arrived of an event that will not become whole.
    pub fn clear(&mut self) {
        self.bytes.clear();
    }
}

#[cfg(test)]
#[path = "../../tests/unit/event_buffer.rs"]
mod tests;
