//! Reads a bounded body into one buffer.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Reads a body of at most `max_bytes`; `None` if it is longer or breaks off. Pieces are copied into
/// one buffer, because keeping them would take a multiple of the content of small chunks.
pub(crate) async fn read_whole(mut body: Incoming, max_bytes: usize) -> Option<Bytes> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            if whole.len() + data.len() > max_bytes {
                return None;
            }
            whole.extend_from_slice(&data);
        }
    }
    Some(whole.freeze())
}
