//! Guards against a call that is sent though it is no longer allowed once its connection is open, and
//! against answers to calls that are cut or exceed their bound.

use super::{MAX_CALL_ANSWER_BYTES, Pool, UpstreamError};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rstest::rstest;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

#[rstest]
#[tokio::test(flavor = "current_thread")]
async fn a_call_that_is_no_longer_allowed_sends_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
    let address = listener.local_addr().expect("address");
    let calling = async {
        let request = Request::new(Full::new(Bytes::from_static(b"order")));
        let limit = Duration::from_millis(400);
        let pool = Pool::default();
        pool.call_fresh_if(|| false, address, request, limit).await
    };
    let serving = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.expect("closed");
        bytes
    };
    let local = tokio::task::LocalSet::new();
    let (answer, bytes) = local
        .run_until(async { tokio::join!(calling, serving) })
        .await;
    assert_eq!(answer, Err(UpstreamError::NotSent));
    assert!(bytes.is_empty());
}

/// An answer in chunks of one byte is whole, and one byte too many ends the call.
#[rstest]
#[case::whole(4_000, 1, true)]
#[case::at_the_bound(MAX_CALL_ANSWER_BYTES, 64 * 1024, true)]
#[case::beyond_the_bound(MAX_CALL_ANSWER_BYTES + 1, 64 * 1024, false)]
#[tokio::test(flavor = "current_thread")]
async fn the_answer_to_a_call_is_read_up_to_its_bound(
    #[case] bytes: usize,
    #[case] chunk: usize,
    #[case] is_read: bool,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
    let address = listener.local_addr().expect("address");
    let calling = async {
        let request = Request::new(Full::new(Bytes::new()));
        let limit = Duration::from_secs(20);
        Pool::default()
            .call_fresh_if(|| true, address, request, limit)
            .await
    };
    let serving = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut answer = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
        for start in (0..bytes).step_by(chunk) {
            let length = chunk.min(bytes - start);
            answer.extend(format!("{length:x}\r\n").bytes());
            answer.extend(std::iter::repeat_n(b'x', length));
            answer.extend(b"\r\n");
        }
        answer.extend(b"0\r\n\r\n");
        // A call that ends early closes the connection.
        let _ = stream.write_all(&answer).await;
        stream
    };
    let local = tokio::task::LocalSet::new();
    let (answer, _stream) = local
        .run_until(async { tokio::join!(calling, serving) })
        .await;
    match answer {
        Ok((_, _, body)) => assert!(is_read && body.len() == bytes, "{}", body.len()),
        Err(error) => assert!(!is_read && error == UpstreamError::Broken, "{error:?}"),
    }
}
