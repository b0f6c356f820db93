//! Readiness, as the platform asks for it, and whether callers' connections can be accepted.
//!
//! Owns the time since when no connection could be accepted. Relies on the leader contact and
//! the view's source for whether this edge is isolated.

use super::process::Edge;
use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Time without a leader after which an edge that does not hear the view's source
/// either counts as isolated, in ms: longer than an election, and a second longer than
/// an edge waits before it asks the source.
const ISOLATED_AFTER_MS: u64 = 2_000;

/// Time without a new connection, though some wait, after which an edge is not ready, in ms:
/// two probes of the platform, which come each second, are to fail within the 3 s in which it
/// expects new connections to be accepted.
const STUCK_AFTER_MS: u64 = 300;
/// Pause before the next probe is accepted where one could not be. Not measured.
const PROBE_ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Pause between two times at which connections are closed to make room, in ms. Not measured.
const RELIEF_PAUSE_MS: u64 = 500;

/// Answers 200 while this edge takes new connections, else 503.
pub(super) async fn serve(edge: Rc<Edge>, listener: TcpListener) {
    loop {
        // A probe that cannot be accepted fails; why, the accept of callers' connections logs.
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(PROBE_ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        let edge = Rc::clone(&edge);
        tokio::task::spawn_local(async move {
            let service = service_fn(|_request| {
                let status = if edge.is_ready() {
                    StatusCode::OK
                } else {
                    StatusCode::SERVICE_UNAVAILABLE
                };
                let mut response = Response::new(Full::new(Bytes::new()));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let io = TokioIo::new(stream);
            // How a probe's connection ends says nothing of this edge.
            let _ = http1::Builder::new().serve_connection(io, service).await;
        });
    }
}

/// Whether connections of callers can be accepted.
#[derive(Debug, Default)]
pub(super) struct Accepting {
    /// Since when none could be, in ms.
    failing_since: Cell<Option<u64>>,
    /// When room was last made, in ms.
    relieved_at: Cell<u64>,
}

impl Accepting {
    /// A connection was accepted.
    pub fn succeeded(&self) {
        if self.failing_since.take().is_some() {
            log::info!("event=accept_regained");
        }
    }

    /// None could be accepted. Returns whether room is to be made: at first, and again each
    /// half second while that does not help.
    pub fn failed(&self, now: u64) -> bool {
        let is_first = self.failing_since.get().is_none();
        if is_first {
            self.failing_since.set(Some(now));
        }
        let is_due = is_first || now >= self.relieved_at.get() + RELIEF_PAUSE_MS;
        if is_due {
            self.relieved_at.set(now);
        }
        is_due
    }

    /// Whether none could be accepted for so long that callers should go elsewhere.
    pub fn is_stuck(&self, now: u64) -> bool {
        let since = self.failing_since.get();
        since.is_some_and(|since| now >= since + STUCK_AFTER_MS)
    }
}

impl Edge {
    /// Whether this edge can serve: it knows a configuration and which zones are evacuated,
    /// is not about to stop, accepts connections, and is not isolated. One that cannot accept
    /// connections must not be ready: callers would wait for nothing.
    pub(super) fn is_ready(&self) -> bool {
        let view = self.fleet.view.borrow();
        let knows = view.configuration.is_some() && view.knows_evacuated();
        let is_stuck = self.callers.accepting.is_stuck(self.clock.now());
        !self.callers.is_draining() && !is_stuck && knows && !self.is_isolated()
    }

    /// Whether neither a leader nor the view's source is heard: without a leader an
    /// edge asks the source by itself.
    pub(super) fn is_isolated(&self) -> bool {
        let leaderless_ms = self
            .storage
            .borrow_mut()
            .contact
            .leaderless_for(self.clock.now());
        let source_answers = self.platform.observed.borrow().reachable;
        leaderless_ms >= ISOLATED_AFTER_MS && !source_answers
    }
}
