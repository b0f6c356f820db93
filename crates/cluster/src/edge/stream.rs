//! Parses a replica's event stream for the run of an item.

use super::event_buffer::EventBuffer;
use crate::platform::WireFormat;
use brasspond_cluster_protocol::StreamEvent;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Why a stream has no more events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamEnd {
    /// The body ended regularly, after a complete event.
    Complete,
    /// The body was truncated or is malformed.
    Broken,
}

/// Reads events from a response body.
pub(super) struct EventReader {
    body: Incoming,
    buffer: EventBuffer,
    /// Version of the weights for the next event.
    version: u64,
}

impl EventReader {
    /// Reads `body`, whose first event has weights of `version`.
    pub fn new(body: Incoming, version: u64) -> Self {
        Self {
            body,
            buffer: EventBuffer::default(),
            version,
        }
    }

    /// Reads the next event.
    ///
    /// # Errors
    /// Why there is no further event.
    pub async fn next(&mut self, wire: &dyn WireFormat) -> Result<StreamEvent, StreamEnd> {
        loop {
            if let Some(raw) = self.buffer.take_event() {
                return self.parse(&raw, wire).ok_or(StreamEnd::Broken);
            }
            if self.buffer.is_too_long() {
                return Err(StreamEnd::Broken);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    // Trailer frames are ignored.
                    if let Ok(data) = frame.into_data() {
                        self.buffer.push(&data);
                    }
                }
                Some(Err(_)) => return Err(StreamEnd::Broken),
                None if self.buffer.is_empty() => return Err(StreamEnd::Complete),
                None => return Err(StreamEnd::Broken),
            }
        }
    }

    /// Parses an event; `None` without data or a numeric id.
    fn parse(&mut self, raw: &Bytes, wire: &dyn WireFormat) -> Option<StreamEvent> {
        let mut id = None;
        let mut data: Option<Bytes> = None;
        for line in raw.split(|byte| *byte == b'\n') {
            if let Some(value) = field(line, b"id:") {
                id = std::str::from_utf8(value).ok()?.trim().parse().ok();
            } else if let Some(value) = field(line, b"data:") {
                let value = raw.slice_ref(value);
                data = Some(match data {
                    None => value,
                    Some(before) => [before.as_ref(), b"\n", value.as_ref()].concat().into(),
                });
            } else if let Some(version) = wire.event_version(line) {
                self.version = version;
            }
        }
        Some(StreamEvent {
            id: id?,
            data: data?,
            version: self.version,
        })
    }
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
