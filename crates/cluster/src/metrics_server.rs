//! Metrics over HTTP, on an address of their own.

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
const CONTENT: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves what `text` gives at the moment it is asked for. A process goes on
/// without metrics where the address cannot be had.
pub(crate) async fn serve(address: SocketAddr, text: Rc<dyn Fn() -> String>) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!("event=metrics_not_served address={address} error=\"{error}\"");
            return;
        }
    };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        let text = Rc::clone(&text);
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let response = answer(request.uri().path(), &*text);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            let _ = connection.await;
        });
    }
}

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
