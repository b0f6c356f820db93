//! Server for HTTP/1.1 and HTTP/2 with limits on connections and headers.

use crate::{Request, Response};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of concurrent connections.
    pub connections: usize,
    /// Maximum size of the headers of a request, in bytes. Values below 8 KiB count as 8 KiB for
    /// HTTP/1.1.
    pub header_bytes: usize,
    /// Maximum time to receive the headers of an HTTP/1.1 request.
    pub header_time: Duration,
    /// Maximum time for which a stopping server waits for running requests.
    pub drain_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            header_bytes: 64 * 1024,
            header_time: Duration::from_secs(10),
            drain_time: Duration::from_secs(3_600),
        }
    }
}

/// Serves connections until `stop` becomes true. Then waits until the running requests finish, but
/// no longer than the drain time of `limits`.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: Limits,
    handler: H,
    mut stop: watch::Receiver<bool>,
) where
    H: Fn(Request, SocketAddr) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(limits.connections));
    let graceful = GracefulShutdown::new();
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_time)
        .max_buf_size(limits.header_bytes.max(8 * 1024));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(limits.header_bytes).unwrap_or(u32::MAX));
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &permits) => accepted,
            _ = stop.wait_for(|stopped| *stopped) => break,
        };
        let Some((stream, peer, permit)) = accepted else {
            continue;
        };
        let handler = handler.clone();
        let service = service_fn(move |request: Request| {
            let response = handler(request, peer);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let watched = graceful.watch(connection.into_owned());
        tokio::spawn(async move {
            if let Err(error) = watched.await {
                log::debug!("event=connection_ended peer={peer} error=\"{error}\"");
            }
            drop(permit);
        });
    }
    drop(listener);
    let _ = tokio::time::timeout(limits.drain_time, graceful.shutdown()).await;
}

/// Accepted connection, the address of its peer, and the permit that the connection holds.
type Accepted = (
    tokio::net::TcpStream,
    SocketAddr,
    tokio::sync::OwnedSemaphorePermit,
);

/// Waits for a free permit and accepts a connection. Sleeps after an error, so that a persistent
/// error does not cause a busy loop.
async fn accept(listener: &TcpListener, permits: &Arc<Semaphore>) -> Option<Accepted> {
    let permit = Arc::clone(permits).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, peer)) => {
            let _ = stream.set_nodelay(true);
            Some((stream, peer, permit))
        }
        Err(error) => {
            log::warn!("event=accept_failed error=\"{error}\"");
            tokio::time::sleep(Duration::from_millis(50)).await;
            None
        }
    }
}
