//! Emulated replica of a plain HTTP service.

use brasspond_http::{Limits, Request, Response, json_response, read_body, serve};
use hyper::{Method, StatusCode};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

const MAX_REQUEST_BYTES: usize = 16 * 1024 * 1024;

/// Record that a replica keeps of the requests that it runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceRecord {
    /// Number of runs of each write request, by the value of its `x-mark` header. A request
    /// counts as a write unless its method is GET or HEAD.
    pub runs: BTreeMap<String, u32>,
    /// Number of requests that received a response with status 200.
    pub answered: u64,
}

/// Stand-in for a replica of a plain service.
pub struct ServiceServer {
    name: String,
    latency: Duration,
    record: Mutex<ServiceRecord>,
}

impl ServiceServer {
    /// Creates a replica that delays each response by `latency`.
    pub fn new(name: &str, latency: Duration) -> Arc<Self> {
        Arc::new(Self {
            name: name.to_owned(),
            latency,
            record: Mutex::new(ServiceRecord::default()),
        })
    }

    /// Returns a copy of the record of this replica.
    pub fn record(&self) -> ServiceRecord {
        self.record
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Serves requests until `stop` becomes true.
    pub async fn run(self: Arc<Self>, listener: TcpListener, stop: watch::Receiver<bool>) {
        let handler = move |request, _peer: SocketAddr| {
            let server = Arc::clone(&self);
            async move { server.handle(request).await }
        };
        serve(listener, Limits::default(), handler, stop).await;
    }

    async fn handle(&self, request: Request) -> Response {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        let mark = request
            .headers()
            .get("x-mark")
            .and_then(|mark| mark.to_str().ok());
        let mark = mark.map(str::to_owned);
        let is_write = method != Method::GET && method != Method::HEAD;
        if let Some(mark) = mark.filter(|_| is_write) {
            let mut record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
            *record.runs.entry(mark).or_default() += 1;
        }
        let body = match read_body(request.into_body(), MAX_REQUEST_BYTES).await {
            Ok(body) => body,
            Err(_) => return json_response(StatusCode::BAD_REQUEST, &json!({ "error": "body" })),
        };
        tokio::time::sleep(self.latency).await;
        let mut record = self.record.lock().unwrap_or_else(PoisonError::into_inner);
        record.answered += 1;
        let answer = json!({
            "replica": self.name,
            "method": method.as_str(),
            "path": path,
            "bytes": body.len(),
        });
        json_response(StatusCode::OK, &answer)
    }
}
