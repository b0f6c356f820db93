//! Bodies of HTTP requests and responses.

use bytes::Bytes;
use displaydoc::Display;
use futures::StreamExt;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::StatusCode;
use hyper::body::Frame;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

/// Body of a response.
pub type ResponseBody = BoxBody<Bytes, std::io::Error>;

/// Why a body cannot be read or parsed.
#[derive(Debug, Display)]
pub enum BodyError {
    /// the body is longer than {0} bytes
    TooLong(usize),
    /// the body was cut off
    CutOff,
    /// the body is not what is expected: {0}
    Malformed(serde_json::Error),
}

impl std::error::Error for BodyError {}

/// Creates a body from bytes that are already in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Creates an empty body.
pub fn empty_body() -> ResponseBody {
    full_body(Bytes::new())
}

/// Creates a body from a stream of chunks. An error of the stream aborts the connection.
pub fn stream_body(
    stream: impl futures::Stream<Item = Result<Bytes, std::io::Error>> + Send + Sync + 'static,
) -> ResponseBody {
    BodyExt::boxed(StreamBody::new(stream.map(|chunk| chunk.map(Frame::data))))
}

/// Creates a body that receives its chunks from a channel of `capacity` chunks. Sending waits
/// while the channel is full, so that a slow reader applies backpressure.
pub fn channel_body(
    capacity: usize,
) -> (mpsc::Sender<Result<Bytes, std::io::Error>>, ResponseBody) {
    let (sender, receiver) = mpsc::channel(capacity);
    let stream = futures::stream::unfold(receiver, |mut receiver| async move {
        let item = receiver.recv().await?;
        Some((item, receiver))
    });
    (sender, stream_body(stream))
}

/// Creates a JSON response.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> crate::Response {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = hyper::Response::new(full_body(bytes));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    response
}

/// Reads a complete body of at most `limit` bytes.
pub async fn read_body<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(BodyError::TooLong(limit))
        }
        Err(_) => Err(BodyError::CutOff),
    }
}

/// Reads and parses a JSON body of at most `limit` bytes.
pub async fn read_json<T, B>(body: B, limit: usize) -> Result<T, BodyError>
where
    T: DeserializeOwned,
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let bytes = read_body(body, limit).await?;
    serde_json::from_slice(&bytes).map_err(BodyError::Malformed)
}
