//! Server-sent events (WHATWG HTML, section 9.2), limited to the `data` field and to lines that
//! end with a line feed, which is the format that engines use.

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Maximum size of buffered data without a complete event, in bytes.
const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// Encodes one event. `data` must not contain line breaks.
pub fn sse_event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

/// Reads server-sent events from a response body.
pub struct EventStream {
    body: Incoming,
    buffer: BytesMut,
}

impl EventStream {
    /// Creates a reader of the events of `body`.
    pub fn new(body: Incoming) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
        }
    }

    /// Returns the data of the next event and skips events without data. Returns `None` if the
    /// body ends or fails, or if an event is too large.
    pub async fn next(&mut self) -> Option<String> {
        loop {
            if let Some(event) = self.take_event() {
                if let Some(data) = event_data(&event) {
                    return Some(data);
                }
                continue;
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return None;
            }
            let frame = self.body.frame().await?.ok()?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }

    /// Removes the next complete event from the buffer.
    fn take_event(&mut self) -> Option<Bytes> {
        const SEPARATOR: &[u8] = b"\n\n";
        let end = self
            .buffer
            .windows(SEPARATOR.len())
            .position(|window| window == SEPARATOR)?;
        let event = self.buffer.split_to(end).freeze();
        self.buffer.advance(SEPARATOR.len());
        Some(event)
    }
}

/// Returns the `data` lines of an event, joined by line feeds. Returns `None` if the event has no
/// `data` line or is not valid UTF-8.
fn event_data(event: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(event).ok()?;
    let lines = text.lines().filter_map(|line| line.strip_prefix("data:"));
    let data: Vec<&str> = lines
        .map(|line| line.strip_prefix(' ').unwrap_or(line))
        .collect();
    if data.is_empty() {
        None
    } else {
        Some(data.join("\n"))
    }
}
