//! Reads the events of a replica's stream, for the run of an item.

use super::event_buffer::EventBuffer;
use crate::platform::WireFormat;
use brasspond_cluster_protocol::StreamEvent;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Why there are no more events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamEnd {
    /// The body ended as its framing says, after a whole event.
    Whole,
    /// It was cut, or its bytes make no sense.
    Broken,
}

/// Events out of a body.
pub(super) struct EventReader {
    body: Incoming,
    buffer: EventBuffer,
    /// Version of the weights that make the next event.
    version: u64,
}

impl EventReader {
    /// Reads `body`, made by weights of `version` to begin with.
    pub fn new(body: Incoming, version: u64) -> Self {
        Self {
            body,
            buffer: EventBuffer::default(),
            version,
        }
    }

    /// The next event with the version of the weights that made it.
    ///
    /// # Errors
    /// Why there is none.
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
                    // The other kind of frame, trailers, is no part of an event.
                    if let Ok(data) = frame.into_data() {
                        self.buffer.push(&data);
                    }
                }
                Some(Err(_)) => return Err(StreamEnd::Broken),
                None if self.buffer.is_empty() => return Err(StreamEnd::Whole),
                None => return Err(StreamEnd::Broken),
            }
        }
    }

    /// An event out of its lines; none without data or an id that is a number.
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
