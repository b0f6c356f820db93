//! Readiness, as the platform asks for it.

use super::process::Edge;
use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use tokio::net::TcpListener;

/// Time without a leader after which an edge that does not hear the view's source
/// either counts as cut off, in ms: longer than an election, and a second longer than
/// an edge waits before it asks the source.
const CUT_OFF_TIME: u64 = 2_000;

/// Answers 200 while this edge takes new connections, else 503.
pub(super) async fn serve(edge: Rc<Edge>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
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
            let _ = http1::Builder::new().serve_connection(io, service).await;
        });
    }
}

impl Edge {
    /// Whether this edge can serve: it knows a configuration, is not about to stop,
    /// and is not cut off from all others.
    pub(super) fn is_ready(&self) -> bool {
        let has_configuration = self.view.borrow().configuration.is_some();
        !self.draining.get() && has_configuration && !self.is_cut_off()
    }

    /// Whether neither a leader nor the view's source is heard: without a leader an
    /// edge asks the source by itself.
    pub(super) fn is_cut_off(&self) -> bool {
        let alone = self.cluster.borrow_mut().alone_for(self.clock.now());
        let source_answers = self.outside.observed.borrow().reachable;
        alone >= CUT_OFF_TIME && !source_answers
    }
}
