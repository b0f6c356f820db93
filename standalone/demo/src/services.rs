//! The lending and look-up services, and a caller that sends requests to them during the rollouts.

use crate::fleet::ANY_PORT;
use crate::tokens::token;
use brasspond_http::{Client, read_body, request};
use brasspond_standin::ServiceServer;
use hyper::Method;
use hyper::header::{AUTHORIZATION, HeaderValue};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Number of replicas per service.
const REPLICAS: usize = 3;
/// Delay between two requests.
const REQUEST_DELAY: Duration = Duration::from_millis(50);
/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest accepted answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// The replicas of a service, which stop when this value is dropped.
pub(crate) struct RunningService {
    pub(crate) servers: Vec<Arc<ServiceServer>>,
    pub(crate) addresses: Vec<SocketAddr>,
    _stop: watch::Sender<bool>,
}

/// Starts all replicas of a service.
pub(crate) async fn start(name: &str, latency: Duration) -> std::io::Result<RunningService> {
    let (stop, stopped) = watch::channel(false);
    let mut servers = Vec::new();
    let mut addresses = Vec::new();
    for index in 0..REPLICAS {
        let listener = TcpListener::bind(ANY_PORT).await?;
        addresses.push(listener.local_addr()?);
        let server = ServiceServer::new(&format!("{name}-{index}"), latency);
        tokio::spawn(Arc::clone(&server).run(listener, stopped.clone()));
        servers.push(server);
    }
    Ok(RunningService {
        servers,
        addresses,
        _stop: stop,
    })
}

/// Requests and results recorded by the caller of the services.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerRecord {
    pub(crate) sent: u64,
    pub(crate) answered: u64,
    /// Latencies of answered look-ups, in milliseconds.
    pub(crate) lookup_milliseconds: Vec<f64>,
    /// Idempotency keys of loans that were answered with success.
    pub(crate) successful_loans: Vec<String>,
}

/// Sends look-ups and loans until `stop` is set. Every fourth request is a loan, which is sent to
/// two nodes concurrently with the same idempotency key.
pub(crate) async fn call_services(
    nodes: Arc<RwLock<Vec<SocketAddr>>>,
    stop: watch::Receiver<bool>,
) -> CallerRecord {
    let client = Client::default();
    let mut record = CallerRecord::default();
    let mut number = 0u64;
    while !*stop.borrow() {
        number += 1;
        let addresses = nodes.read().unwrap_or_else(PoisonError::into_inner).clone();
        if addresses.is_empty() {
            tokio::time::sleep(REQUEST_DELAY).await;
            continue;
        }
        let node = addresses[number as usize % addresses.len()];
        let other = addresses[(number as usize + 1) % addresses.len()];
        record.sent += 1;
        if number.is_multiple_of(4) {
            let key = format!("loan-{number}");
            let (first, second) = tokio::join!(
                request_loan(&client, node, &key),
                request_loan(&client, other, &key)
            );
            if first || second {
                record.answered += 1;
                record.successful_loans.push(key);
            }
        } else {
            let begun = Instant::now();
            if look_up(&client, node).await {
                record.answered += 1;
                record
                    .lookup_milliseconds
                    .push(begun.elapsed().as_secs_f64() * 1e3);
            }
        }
        tokio::time::sleep(REQUEST_DELAY).await;
    }
    record
}

async fn look_up(client: &Client, node: SocketAddr) -> bool {
    let path = "/lookup?street=Br%C4%ABv%C4%ABbas&house=85&flat=12";
    send(client, request(Method::GET, node, path, None::<&()>), &[]).await
}

async fn request_loan(client: &Client, node: SocketAddr, key: &str) -> bool {
    let body = json!({ "title": "Cysgod y Mynydd", "patron": key });
    let request = request(Method::POST, node, "/loans", Some(&body));
    send(
        client,
        request,
        &[("idempotency-key", key), ("x-mark", key)],
    )
    .await
}

/// Sends a request with the application's token. Returns whether it succeeded within
/// [`REQUEST_TIMEOUT`].
async fn send(
    client: &Client,
    mut request: hyper::Request<brasspond_http::ResponseBody>,
    headers: &[(&'static str, &str)],
) -> bool {
    let bearer = format!("Bearer {}", token("library-app"));
    if let Ok(value) = HeaderValue::from_str(&bearer) {
        request.headers_mut().insert(AUTHORIZATION, value);
    }
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_str(value) {
            request.headers_mut().insert(*name, value);
        }
    }
    let exchange = async {
        let response = client.send(request).await.ok()?;
        let is_success = response.status().is_success();
        read_body(response.into_body(), MAX_ANSWER_BYTES)
            .await
            .ok()?;
        Some(is_success)
    };
    let answer = tokio::time::timeout(REQUEST_TIMEOUT, exchange).await;
    answer.ok().flatten().unwrap_or(false)
}
