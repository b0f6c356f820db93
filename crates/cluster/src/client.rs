//! Sequential HTTP calls to a service of the platform on a persistent connection.
//!
//! Owns the connection. The caller decides on timeouts and retries.

use crate::body::read_whole;
use crate::socket::set_options;
use bytes::Bytes;
use displaydoc::Display;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Timeout to connect to a service. It allows for a few round trips and one lost packet.
const SERVICE_CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum size of an answer, in bytes. A page of a list takes about 1 MB.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Error of a call.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CallError {
    /// connection failed, the call was not sent
    NotSent,
    /// no answer, the call may have taken effect
    Unanswered,
}

/// Client of one service. Clones share one idle connection.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    connection: Rc<RefCell<Option<SendRequest<Full<Bytes>>>>>,
}

impl Client {
    /// Creates a client, which connects at its first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: Rc::default(),
        }
    }

    /// Address of the service.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes a call with a JSON body and reads the complete answer within `limit`.
    ///
    /// # Errors
    /// See [`CallError`].
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let mut sender = self.take_connection().await?;
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(hyper::header::HOST, self.address.to_string())
            .header(hyper::header::CONTENT_TYPE, "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body));
        let request = request.map_err(|_| CallError::NotSent)?;
        let exchange = async {
            let response = sender.send_request(request).await;
            let response = response.map_err(|_| CallError::Unanswered)?;
            let status = response.status();
            let body = read_whole(response.into_body(), MAX_ANSWER_BYTES).await;
            Ok((status, body.ok_or(CallError::Unanswered)?))
        };
        let answer = tokio::time::timeout(limit, exchange)
            .await
            .map_err(|_| CallError::Unanswered)??;
        // The connection is reused only after a complete answer.
        if !sender.is_closed() {
            *self.connection.borrow_mut() = Some(sender);
        }
        Ok(answer)
    }

    async fn take_connection(&self) -> Result<SendRequest<Full<Bytes>>, CallError> {
        let idle = self.connection.borrow_mut().take();
        if let Some(idle) = idle
            && idle.is_ready()
        {
            return Ok(idle);
        }
        let connecting =
            tokio::time::timeout(SERVICE_CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let Ok(Ok(stream)) = connecting.await else {
            return Err(CallError::NotSent);
        };
        set_options(&stream);
        let connected = handshake(TokioIo::new(stream)).await;
        let (sender, driver) = connected.map_err(|_| CallError::NotSent)?;
        tokio::task::spawn_local(async move {
            // If the connection breaks, the call on it returns the error.
            let _ = driver.await;
        });
        Ok(sender)
    }
}

/// Percent-encodes a name for a path or a query, except unreserved characters and `:`.
pub fn percent_encode(name: &str) -> String {
    let mut encoded = String::with_capacity(name.len());
    for byte in name.bytes() {
        match byte {
            b'-' | b'.' | b'_' | b'~' | b':' => encoded.push(byte.into()),
            byte if byte.is_ascii_alphanumeric() => encoded.push(byte.into()),
            byte => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}
