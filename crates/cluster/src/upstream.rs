//! Connection pool for replicas, and probes whether a replica accepts connections.
//!
//! Owns the idle connections. To run a request or an item on a replica, a connection is taken with
//! a clearance. Calls of the cluster itself, such as reports and orders, need none.

use crate::body::read_whole;
use crate::clock::{Moment, within};
use crate::socket::set_options;
use brasspond_eligibility::Clearance;
use bytes::Bytes;
use displaydoc::Display;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Timeout to connect to a replica; allows for several round trips between regions, but not for the
/// retransmission of a lost packet.
const REPLICA_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle timeout of a connection if the replica announces none in `Keep-Alive`.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Time before the end of the replica's idle timeout in which a connection is not reused, because
/// the replica could close it while a request is in flight.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// Maximum number of idle connections to one replica; further ones are closed.
const MAX_IDLE_CONNECTIONS: usize = 24;

/// Maximum size of the answer to a call, in bytes.
const MAX_CALL_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Status, headers and body of an answer to a call.
pub(crate) type Answer = (StatusCode, hyper::HeaderMap, Bytes);

/// Error of a request to a replica.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum UpstreamError {
    /// connection failed, the request was not received
    NotSent,
    /// connection broke, the request may have been received
    Broken,
    /// the answer is not one of the protocol, the request may have been received
    Invalid,
}

/// A connection to a replica, used for one request at a time.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
    idle_until: Moment,
    /// Whether the connection carried an earlier request.
    pub reused: bool,
}

impl Connection {
    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    /// See [`UpstreamError`].
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, UpstreamError> {
        match self.sender.send_request(request).await {
            Ok(response) if !is_final(response.status()) => Err(UpstreamError::Invalid),
            Ok(response) => {
                self.apply_keep_alive(&response);
                Ok(response)
            }
            Err(error) if error.is_canceled() => Err(UpstreamError::NotSent),
            Err(_) => Err(UpstreamError::Broken),
        }
    }

    /// Applies the idle timeout that the replica announces. A header without a timeout in whole
    /// seconds is ignored.
    fn apply_keep_alive(&mut self, response: &Response<Incoming>) {
        let header = response.headers().get("keep-alive");
        let text = header.and_then(|value| value.to_str().ok()).unwrap_or("");
        let seconds = text
            .split(',')
            .filter_map(|part| part.trim().strip_prefix("timeout="))
            .find_map(|seconds| seconds.parse::<u64>().ok());
        let idle = seconds.map_or(DEFAULT_IDLE_TIMEOUT, Duration::from_secs);
        self.idle_until = Moment::now() + idle.saturating_sub(IDLE_MARGIN);
    }
}

/// Whether a status ends an exchange and has a meaning: 2xx to 5xx. The HTTP library also passes
/// 101 and 600 to 999 on.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Idle connections by address. The connections to a replica are closed when its restart is
/// observed.
#[derive(Clone, Default)]
pub(crate) struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Connection>>>>,
}

impl Pool {
    /// Returns an idle or a new connection for a request with a clearance.
    ///
    /// # Errors
    /// The replica cannot be reached: nothing was sent.
    pub(crate) async fn take(&self, clearance: &Clearance) -> Result<Connection, UpstreamError> {
        let address = clearance.address();
        if let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        connect(address).await
    }

    /// Makes an idempotent call, on an idle connection if there is one, and reads the complete
    /// answer.
    ///
    /// # Errors
    /// See [`UpstreamError`].
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Answer, UpstreamError> {
        if let Some(connection) = self.take_idle(address) {
            let answer = self.exchange(connection, request.clone(), limit).await;
            if answer.is_ok() {
                return answer;
            }
            // The replica may have closed the idle connection.
        }
        self.call_fresh_if(|| true, address, request, limit).await
    }

    /// Makes a call on a new connection and reads the complete answer. `may_send` is evaluated once
    /// the connection is open, because opening it takes time, especially after a suspension.
    ///
    /// # Errors
    /// See [`UpstreamError`]; [`UpstreamError::NotSent`] if `may_send` returns false.
    pub(crate) async fn call_fresh_if(
        &self,
        may_send: impl FnOnce() -> bool,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Answer, UpstreamError> {
        let connection = connect(address).await?;
        if !may_send() {
            return Err(UpstreamError::NotSent);
        }
        self.exchange(connection, request, limit).await
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Answer, UpstreamError> {
        let exchange = async {
            let response = connection.send(request).await?;
            let (head, body) = response.into_parts();
            let body = read_whole(body, MAX_CALL_ANSWER_BYTES).await;
            let body = body.ok_or(UpstreamError::Broken)?;
            Ok((head.status, head.headers, body))
        };
        let answer = match within(limit, exchange).await {
            Ok(answer) => answer?,
            Err(_) => {
                self.close_idle(connection.address);
                return Err(UpstreamError::Broken);
            }
        };
        self.release(connection);
        Ok(answer)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let now = Moment::now();
        while let Some(mut connection) = connections.pop() {
            let is_usable = connection.sender.is_ready() && connection.idle_until > now;
            if is_usable {
                connection.reused = true;
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its answer was read completely.
    pub(crate) fn release(&self, connection: Connection) {
        if connection.sender.is_closed() || connection.idle_until <= Moment::now() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
        }
    }

    /// Closes the idle connections to an address, after an answer timed out there or the replica
    /// restarted. They may be dead although new connections work, and each would cost a request its
    /// timeout.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes all idle connections, to release file descriptors.
    pub(crate) fn close_all_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections whose idle timeout has passed.
    pub(crate) fn close_expired(&self) {
        let now = Moment::now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|one| one.idle_until > now && !one.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

/// Opens a connection to a replica.
///
/// # Errors
/// The replica cannot be reached: nothing was sent.
pub(crate) async fn connect(address: SocketAddr) -> Result<Connection, UpstreamError> {
    let connecting = TcpStream::connect(address);
    let stream = match tokio::time::timeout(REPLICA_CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) | Err(_) => return Err(UpstreamError::NotSent),
    };
    set_options(&stream);
    let Ok((sender, driver)) = handshake(TokioIo::new(stream)).await else {
        return Err(UpstreamError::NotSent);
    };
    tokio::task::spawn_local(async move {
        // If the connection breaks, the request on it returns the error.
        let _ = driver.await;
    });
    Ok(Connection {
        sender,
        address,
        idle_until: Moment::now() + DEFAULT_IDLE_TIMEOUT,
        reused: false,
    })
}

/// Outcome of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeOutcome {
    /// A process listens at the address.
    Accepted,
    /// No process listens: it has ended.
    Refused,
    /// No answer: the machine or the route to it is down.
    Silent,
}

impl ProbeOutcome {
    /// Name for logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused => "refused",
            Self::Silent => "silent",
        }
    }
}

/// Probes whether a process listens at an address, without sending a request.
pub(crate) async fn probe(address: SocketAddr) -> ProbeOutcome {
    match tokio::time::timeout(REPLICA_CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => ProbeOutcome::Accepted,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            ProbeOutcome::Refused
        }
        Ok(Err(_)) | Err(_) => ProbeOutcome::Silent,
    }
}

#[cfg(test)]
#[path = "../tests/unit/upstream.rs"]
mod tests;
