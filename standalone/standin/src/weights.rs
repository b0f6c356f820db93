//! Emulated rate-limited weight store over HTTP.

use brasspond_emulator::{Transfer, WeightStore};
use brasspond_http::{Limits, Response, json_response, serve};
use brasspond_types::Timestamp;
use hyper::StatusCode;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Stand-in for the weight store, which returns the duration of a transfer instead of weights.
///
/// Every request, such as `GET /weights/{model}/{version}`, starts a transfer and returns 200
/// with `{"milliseconds": n}`, or returns 429 if all slots are in use.
pub struct WeightServer {
    store: Mutex<WeightStore>,
    started: Instant,
}

impl WeightServer {
    /// Creates a store with `slots` concurrent transfers, each of which takes `transfer`.
    pub fn new(slots: usize, transfer: Duration) -> Arc<Self> {
        Arc::new(Self {
            store: Mutex::new(WeightStore::new(slots, transfer)),
            started: Instant::now(),
        })
    }

    /// Serves requests until `stop` becomes true.
    pub async fn run(self: Arc<Self>, listener: TcpListener, stop: watch::Receiver<bool>) {
        let handler = move |_request, _peer: SocketAddr| {
            let response = self.transfer();
            async move { response }
        };
        serve(listener, Limits::default(), handler, stop).await;
    }

    fn transfer(&self) -> Response {
        let now = Timestamp::from_micros(self.started.elapsed().as_micros() as u64);
        let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        match store.begin(now) {
            Transfer::Begun(time) => {
                let milliseconds = time.as_millis() as u64;
                json_response(StatusCode::OK, &json!({ "milliseconds": milliseconds }))
            }
            Transfer::Busy => {
                json_response(StatusCode::TOO_MANY_REQUESTS, &json!({ "error": "busy" }))
            }
        }
    }
}
