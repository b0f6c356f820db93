//! Serves the metrics of a process over HTTP, on a separate address.
//!
//! Owns the listener. A closure that the caller passes renders the text for each request.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Media type of the metrics.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Delay after a failed accept. Accepting fails while the process has no free file descriptor, so
/// an immediate retry would only waste CPU time.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves the text that `render` returns for each request. Returns only if it cannot listen on the
/// address; the process then runs without metrics.
pub(crate) async fn serve(address: SocketAddr, render: Rc<dyn Fn() -> String>) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!("event=metrics_not_served address={address} error=\"{error}\"");
            return;
        }
    };
    // Only the first of several consecutive failures is logged.
    let mut is_failing = false;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                if !is_failing {
                    log::warn!("event=metrics_accept_failed error=\"{error}\"");
                }
                is_failing = true;
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        is_failing = false;
        let render = Rc::clone(&render);
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let response = answer(request.uri().path(), &*render);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // Errors of a connection are ignored, because the scraper asks again.
            let _ = connection.await;
        });
    }
}

/// Answers with the metrics, or with 404 for any other path.
fn answer(path: &str, render: &dyn Fn() -> String) -> Response<Full<Bytes>> {
    if path != METRICS_PATH {
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let mut response = Response::new(Full::new(Bytes::from(render())));
    let content_type = HeaderValue::from_static(METRICS_CONTENT_TYPE);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
