//! Loans and look-ups beside the rollouts: the services, and a caller of them.

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

/// Replicas of each service.
const REPLICAS: usize = 3;
/// Time between two requests.
const PACE: Duration = Duration::from_millis(50);
/// Time for an answer to come.
const ANSWER_TIME: Duration = Duration::from_secs(5);
/// Longest answer read, in bytes.
const LONGEST_ANSWER: usize = 1024 * 1024;

/// A service and where it listens.
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

/// What the caller of the services noted.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerRecord {
    pub(crate) sent: u64,
    pub(crate) answered: u64,
    /// Answered look-ups, in milliseconds.
    pub(crate) lookup_milliseconds: Vec<f64>,
    /// Marks of loans answered with success.
    pub(crate) lent: Vec<String>,
}

/// Looks up and lends, each loan asked for twice at two nodes at once, until
/// ordered to stop.
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
            tokio::time::sleep(PACE).await;
            continue;
        }
        let node = addresses[number as usize % addresses.len()];
        let other = addresses[(number as usize + 1) % addresses.len()];
        record.sent += 1;
        if number.is_multiple_of(4) {
            let mark = format!("loan-{number}");
            let (first, second) =
                tokio::join!(lend(&client, node, &mark), lend(&client, other, &mark));
            if first || second {
                record.answered += 1;
                record.lent.push(mark);
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
        tokio::time::sleep(PACE).await;
    }
    record
}

async fn look_up(client: &Client, node: SocketAddr) -> bool {
    let path = "/lookup?street=Br%C4%ABv%C4%ABbas&house=85&flat=12";
    send(client, request(Method::GET, node, path, None::<&()>), &[]).await
}

async fn lend(client: &Client, node: SocketAddr, mark: &str) -> bool {
    let body = json!({ "title": "Cysgod y Mynydd", "patron": mark });
    let request = request(Method::POST, node, "/loans", Some(&body));
    send(
        client,
        request,
        &[("idempotency-key", mark), ("x-mark", mark)],
    )
    .await
}

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
        read_body(response.into_body(), LONGEST_ANSWER).await.ok()?;
        Some(is_success)
    };
    let answer = tokio::time::timeout(ANSWER_TIME, exchange).await;
    answer.ok().flatten().unwrap_or(false)
}
