//! Server-sent events (WHATWG HTML, section 9.2), as far as engines use them.

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Longest event read, in bytes; not measured.
const LONGEST_EVENT: usize = 4 * 1024 * 1024;

/// One event with `data` as its content.
pub fn sse_event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

/// Reads the data of events out of a body.
pub struct EventStream {
    body: Incoming,
    buffer: BytesMut,
}

impl EventStream {
    /// Reads events from `body`.
    pub fn new(body: Incoming) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
        }
    }

    /// Data of the next event; `None` when the body ended, or broke.
    pub async fn next(&mut self) -> Option<String> {
        loop {
            if let Some(event) = self.take_event() {
                if let Some(data) = data_of(&event) {
                    return Some(data);
                }
                continue;
            }
            if self.buffer.len() > LONGEST_EVENT {
                return None;
            }
            let frame = self.body.frame().await?.ok()?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }

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

fn data_of(event: &[u8]) -> Option<String> {
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
