//! Reads the events of a replica's stream.

use crate::platform::WireFormat;
use brasspond_cluster_protocol::StreamEvent;
use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Longest event, in bytes.
const LONGEST_EVENT: usize = 4 * 1024 * 1024;

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
    buffer: BytesMut,
    version: u64,
}

impl EventReader {
    /// Reads `body`, made by weights of `version` to begin with.
    pub fn new(body: Incoming, version: u64) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            version,
        }
    }

    /// The next event.
    pub async fn next(&mut self, wire: &dyn WireFormat) -> Result<StreamEvent, StreamEnd> {
        loop {
            if let Some(raw) = self.take_raw() {
                return self.parse(&raw, wire).ok_or(StreamEnd::Broken);
            }
            if self.buffer.len() > LONGEST_EVENT {
                return Err(StreamEnd::Broken);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(_)) => return Err(StreamEnd::Broken),
                None if self.buffer.is_empty() => return Err(StreamEnd::Whole),
                None => return Err(StreamEnd::Broken),
            }
        }
    }

    /// The next event with its version, as the bytes that stand for it.
    fn take_raw(&mut self) -> Option<Bytes> {
        const SEPARATOR: &[u8] = b"\n\n";
        let end = self
            .buffer
            .windows(SEPARATOR.len())
            .position(|window| window == SEPARATOR)?;
        let raw = self.buffer.split_to(end).freeze();
        self.buffer.advance(SEPARATOR.len());
        Some(raw)
    }

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
