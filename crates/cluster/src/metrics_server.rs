//! Serves a process's metrics over HTTP, on an address of their own.
//!
//! Owns the listener. The text is made by the caller's closure at each request.

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
const PATH: &str = "/metrics";
/// Media type of the metrics.
const CONTENT: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Pause after a failed accept. It fails while the process has no file descriptor left, so a
/// retry at once would only take the processor from requests. Not measured.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Serves what `text` returns at the time of a request. Does not return, except where the
/// address cannot be listened on: the process then runs without metrics.
pub(crate) async fn serve(address: SocketAddr, text: Rc<dyn Fn() -> String>) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!("event=metrics_not_served address={address} error=\"{error}\"");
            return;
        }
    };
    // Only the first failure of several in a row is logged.
    let mut is_failing = false;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                if !is_failing {
                    log::warn!("event=metrics_accept_failed error=\"{error}\"");
                }
                is_failing = true;
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        is_failing = false;
        let text = Rc::clone(&text);
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let response = answer(request.uri().path(), &*text);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // A scraper that goes away early asks again; there is nothing to do or to report.
            let _ = connection.await;
        });
    }
}

/// The metrics, or 404 for any other path.
fn answer(path: &str, text: &dyn Fn() -> String) -> Response<Full<Bytes>> {
    if path != PATH {
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let mut response = Response::new(Full::new(Bytes::from(text())));
    let content = HeaderValue::from_static(CONTENT);
    response.headers_mut().insert(CONTENT_TYPE, content);
    response
}
