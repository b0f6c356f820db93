//! The readiness probe, and the health of accepting callers' connections.

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

/// Time without a leader after which an edge that cannot reach the view's source either counts as
/// isolated, in ms. It is longer than an election, and a second longer than the time after which an
/// edge that had a leader watches the source.
const ISOLATED_AFTER_MS: u64 = 2_000;

/// Time after which an edge whose accepts fail is not ready, in ms. It must be short enough for two
/// of the platform's probes, one per second, to fail within 3 s.
const STUCK_AFTER_MS: u64 = 300;
/// Pause after a failed accept of a probe's connection.
const PROBE_ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Minimum time between two rounds of shedding connections, in ms.
const SHED_PAUSE_MS: u64 = 500;

/// Serves the readiness probe: 200 while this edge is ready, else 503.
pub(super) async fn serve(edge: Rc<Edge>, listener: TcpListener) {
    loop {
        // Not logged here: the accept loop for callers logs the same error.
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
            // Errors are ignored, because the next probe opens a new connection.
            let _ = http1::Builder::new().serve_connection(io, service).await;
        });
    }
}

/// Tracks whether callers' connections can be accepted.
#[derive(Debug, Default)]
pub(super) struct AcceptHealth {
    /// When accepts began to fail, in ms; `None` while they succeed.
    failing_since: Cell<Option<u64>>,
    /// When connections were last shed, in ms.
    shed_at: Cell<u64>,
}

impl AcceptHealth {
    /// Records a successful accept.
    pub fn succeeded(&self) {
        if self.failing_since.take().is_some() {
            log::info!("event=accept_regained");
        }
    }

    /// Records a failed accept. Returns whether connections must be shed: on the first failure, and
    /// every [`SHED_PAUSE_MS`] while accepts still fail.
    pub fn failed(&self, now: u64) -> bool {
        let is_first = self.failing_since.get().is_none();
        if is_first {
            self.failing_since.set(Some(now));
        }
        let is_due = is_first || now >= self.shed_at.get() + SHED_PAUSE_MS;
        if is_due {
            self.shed_at.set(now);
        }
        is_due
    }

    /// Whether accepts have failed for so long that callers should use another edge.
    pub fn is_stuck(&self, now: u64) -> bool {
        let since = self.failing_since.get();
        since.is_some_and(|since| now >= since + STUCK_AFTER_MS)
    }
}

impl Edge {
    /// Whether this edge can serve: it knows the configuration and the evacuated zones, is not
    /// draining, can accept connections, and is not isolated.
    pub(super) fn is_ready(&self) -> bool {
        let view = self.fleet.view.borrow();
        let knows = view.configuration.is_some() && view.knows_evacuations();
        let is_stuck = self.callers.accept_health.is_stuck(self.clock.now());
        !self.callers.is_draining() && !is_stuck && knows && !self.is_isolated()
    }

    /// Whether neither a leader nor the view's source is reachable.
    pub(super) fn is_isolated(&self) -> bool {
        let leaderless_ms = self
            .storage
            .borrow_mut()
            .contact
            .measure_leaderless(self.clock.now());
        let source_answers = self.platform.observed.borrow().reachable;
        leaderless_ms >= ISOLATED_AFTER_MS && !source_answers
    }
}
