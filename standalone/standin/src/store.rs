//! Emulated object store over HTTP.
//!
//! All paths are under `/apis/brasspond.dev/v1`:
//! - `GET objects` lists all objects.
//! - `GET objects?watch=true&resourceVersion=N` waits for changes after revision N.
//! - `GET`, `PUT` and `DELETE` of `{plural}/{name}` read, write and delete one object.
//!
//! A `PUT` with a `metadata.resourceVersion`, or a `DELETE` with a `resourceVersion` in its
//! query, returns 409 if the stored object has another version. In a `PUT`, version "0" means
//! that the object must not exist.

use crate::faults::{FaultKind, FaultSchedule};
use brasspond_dissemination::change_to_json;
use brasspond_emulator::{ObjectStore, StoreError};
use brasspond_http::{Limits, Request, Response, json_response, read_json, serve};
use brasspond_resource::{
    API_VERSION, Kind, Object, ObjectKey, Revision, object_from_json, object_to_json,
};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};

const MAX_MANIFEST_BYTES: usize = 4 * 1024 * 1024;
/// Maximum time for which a watch waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay of responses during [`FaultKind::Slow`].
const SLOW_RESPONSE_DELAY: Duration = Duration::from_millis(1_500);

/// Stand-in for the object store.
pub struct StoreServer {
    store: Mutex<ObjectStore>,
    changed: Notify,
    faults: FaultSchedule,
    started: Instant,
}

impl StoreServer {
    /// Creates an empty store with the faults to inject.
    pub fn new(faults: FaultSchedule) -> Arc<Self> {
        Arc::new(Self {
            store: Mutex::new(ObjectStore::default()),
            changed: Notify::new(),
            faults,
            started: Instant::now(),
        })
    }

    /// Writes an object without HTTP and returns the new revision. The platform writes its list
    /// of machines in this way.
    pub fn put(&self, object: Object) -> Revision {
        let result = self.with_store(|store| store.put(object, None));
        self.changed.notify_waiters();
        result.unwrap_or_default()
    }

    /// Deletes an object without HTTP.
    pub fn remove(&self, key: &ObjectKey) {
        // The only possible error is that the object does not exist.
        let _ = self.with_store(|store| store.remove(key, None));
        self.changed.notify_waiters();
    }

    /// Runs `access` on the store under its lock.
    pub(crate) fn with_store<T>(&self, access: impl FnOnce(&mut ObjectStore) -> T) -> T {
        access(&mut self.store.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Serves requests until `stop` becomes true.
    pub async fn run(self: Arc<Self>, listener: TcpListener, stop: watch::Receiver<bool>) {
        let handler = move |request, _peer: SocketAddr| {
            let server = Arc::clone(&self);
            async move { server.handle(request).await }
        };
        serve(listener, Limits::default(), handler, stop).await;
    }

    fn is_on(&self, kind: FaultKind) -> bool {
        self.faults.is_on(kind, self.started.elapsed())
    }

    async fn handle(&self, request: Request) -> Response {
        if self.is_on(FaultKind::Slow) {
            tokio::time::sleep(SLOW_RESPONSE_DELAY).await;
        }
        if self.is_on(FaultKind::Down) {
            return error_response(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        let is_write = request.method() != Method::GET;
        let response = self.serve_request(request).await;
        if is_write && self.is_on(FaultKind::LostAnswers) {
            return aborted_response();
        }
        response
    }

    async fn serve_request(&self, request: Request) -> Response {
        let prefix = format!("/apis/{API_VERSION}/");
        let path = request.uri().path().to_owned();
        let Some(rest) = path.strip_prefix(&prefix) else {
            return error_response(StatusCode::NOT_FOUND, "no such path");
        };
        if rest == "objects" {
            return self
                .list_or_watch(request.uri().query().unwrap_or(""))
                .await;
        }
        let Some((plural, name)) = rest.split_once('/') else {
            return error_response(StatusCode::NOT_FOUND, "no such path");
        };
        let Some(kind) = Kind::find(plural) else {
            return error_response(StatusCode::NOT_FOUND, "no such kind");
        };
        let key = ObjectKey {
            kind,
            name: name.to_owned(),
        };
        match *request.method() {
            Method::GET => match self.with_store(|store| store.get(&key).map(object_to_json)) {
                Some(object) => json_response(StatusCode::OK, &object),
                None => error_response(StatusCode::NOT_FOUND, "no such object"),
            },
            Method::PUT => self.put_request(request).await,
            Method::DELETE => {
                let expected = query_number(request.uri().query(), "resourceVersion");
                let result = self.with_store(|store| store.remove(&key, expected.map(Revision)));
                self.write_response(result)
            }
            _ => error_response(StatusCode::METHOD_NOT_ALLOWED, "GET, PUT, DELETE"),
        }
    }

    async fn put_request(&self, request: Request) -> Response {
        let body: Value = match read_json(request.into_body(), MAX_MANIFEST_BYTES).await {
            Ok(body) => body,
            Err(problem) => return error_response(StatusCode::BAD_REQUEST, &problem.to_string()),
        };
        let object = match object_from_json(&body) {
            Ok(object) => object,
            Err(findings) => {
                let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
                return error_response(StatusCode::UNPROCESSABLE_ENTITY, &findings.join("; "));
            }
        };
        let has_version = body["metadata"]["resourceVersion"].is_string();
        let expected = has_version.then_some(object.metadata.resource_version);
        let result = self.with_store(|store| store.put(object, expected));
        self.write_response(result)
    }

    fn write_response(&self, result: Result<Revision, StoreError>) -> Response {
        match result {
            Ok(revision) => {
                self.changed.notify_waiters();
                let body = json!({ "resourceVersion": revision.to_string() });
                json_response(StatusCode::OK, &body)
            }
            Err(StoreError::Conflict) => error_response(StatusCode::CONFLICT, "conflict"),
            Err(StoreError::NotFound) => error_response(StatusCode::NOT_FOUND, "no such object"),
        }
    }

    /// Lists all objects. If the query has `watch=true`, returns the changes after a revision
    /// instead, and waits for the first one for at most [`WATCH_TIMEOUT`].
    async fn list_or_watch(&self, query: &str) -> Response {
        if !query.contains("watch=true") {
            let list = self.with_store(|store| {
                let items: Vec<Value> = store.catalogue().iter().map(object_to_json).collect();
                json!({ "resourceVersion": store.revision().to_string(), "items": items })
            });
            return json_response(StatusCode::OK, &list);
        }
        let from = Revision(query_number(Some(query), "resourceVersion").unwrap_or(0));
        let changed = self.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        let mut changes = self.with_store(|store| store.changes_after(from));
        if changes.is_empty() {
            let _ = tokio::time::timeout(WATCH_TIMEOUT, changed).await;
            changes = self.with_store(|store| store.changes_after(from));
        }
        let changes: Vec<Value> = changes.iter().map(change_to_json).collect();
        json_response(StatusCode::OK, &json!({ "changes": changes }))
    }
}

fn error_response(status: StatusCode, message: &str) -> Response {
    json_response(status, &json!({ "error": message }))
}

/// Builds a response that aborts the connection, so that the client receives no result.
fn aborted_response() -> Response {
    let broken =
        futures::stream::once(async { Err(std::io::Error::other("response aborted by a fault")) });
    let mut response = hyper::Response::new(brasspond_http::stream_body(broken));
    *response.status_mut() = StatusCode::OK;
    response
}

/// Returns the value of a query parameter; `None` if it is missing or not a number.
fn query_number(query: Option<&str>, key: &str) -> Option<u64> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs
        .filter(|(name, _)| *name == key)
        .map(|(_, value)| value)
        .next()?;
    value.parse().ok()
}
