//! Stand-ins of the platform's store and of model replicas.

use crate::http::{Message, answer, serve};
use crate::json::Json;
use std::collections::{BTreeMap, HashMap};
use std::io::{Error, ErrorKind, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Bytes of a request's body that a plain service sends back.
const ECHO_BYTES: usize = 64;

/// A change: its revision, the kind, the object as JSON, and whether it is gone.
type Change = (u64, String, String, bool);

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: Json,
    status: Json,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    by_name: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
}

/// The platform's object store.
#[derive(Default)]
pub struct Store {
    objects: Mutex<Objects>,
    changed: Condvar,
    /// Whether calls get 503.
    pub down: AtomicBool,
}

fn text_of(name: &str, object: &Object) -> String {
    let name = Json::Text(name.to_string()).write();
    format!(
        "{{\"metadata\":{{\"name\":{name},\"revision\":{}}},\"spec\":{},\"status\":{}}}",
        object.revision,
        object.spec.write(),
        object.status.write()
    )
}

impl Store {
    pub fn start(address: &str) -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind(address).expect("an address for the store");
        let address = listener.local_addr().expect("an address");
        let store = Arc::new(Self::default());
        let served = Arc::clone(&store);
        serve(listener, Arc::default(), move |request, stream| {
            served.handle(&request, stream)
        });
        (store, address)
    }

    /// Writes an object's spec.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let spec = Json::read(spec).expect("a document");
        self.write(kind, name, Some(spec), None);
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut objects = self.objects.lock().expect("lock");
        let key = (kind.to_string(), name.to_string());
        if let Some(mut object) = objects.by_name.remove(&key) {
            objects.revision += 1;
            object.revision = objects.revision;
            let change = (
                object.revision,
                kind.to_string(),
                text_of(name, &object),
                true,
            );
            objects.changes.push(change);
            self.changed.notify_all();
        }
    }

    fn write(&self, kind: &str, name: &str, spec: Option<Json>, status: Option<Json>) -> String {
        let mut objects = self.objects.lock().expect("lock");
        objects.revision += 1;
        let revision = objects.revision;
        let key = (kind.to_string(), name.to_string());
        let object = objects.by_name.entry(key).or_insert(Object {
            revision,
            spec: Json::Null,
            status: Json::Null,
        });
        object.revision = revision;
        object.spec = spec.unwrap_or_else(|| object.spec.clone());
        object.status = status.unwrap_or_else(|| object.status.clone());
        let text = text_of(name, object);
        let change = (revision, kind.to_string(), text.clone(), false);
        objects.changes.push(change);
        self.changed.notify_all();
        text
    }

    fn revision_of(&self, kind: &str, name: &str) -> Option<u64> {
        let objects = self.objects.lock().expect("lock");
        let key = (kind.to_string(), name.to_string());
        objects.by_name.get(&key).map(|object| object.revision)
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> Result<()> {
        if self.down.load(Ordering::Relaxed) {
            return answer(stream, 503, &[], b"");
        }
        let (path, query) = request
            .word(1)
            .split_once('?')
            .unwrap_or((request.word(1), ""));
        let query: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let parts: Vec<&str> = path.trim_start_matches("/-/objects/").split('/').collect();
        let body = Json::read(&request.text()).unwrap_or(Json::Null);
        let revision = body.get("metadata").get("revision").number();
        let (status, text) = match (request.word(0), parts.as_slice()) {
            ("GET", [kind]) if query.contains_key("watch") => {
                let after = query["watch"].parse().unwrap_or(0);
                let wait = query.get("wait_ms").and_then(|wait| wait.parse().ok());
                (200, self.watch(kind, after, wait.unwrap_or(0)))
            }
            ("GET", [kind]) => (200, self.list(kind)),
            ("GET", [kind, name]) => {
                let objects = self.objects.lock().expect("lock");
                let key = (kind.to_string(), name.to_string());
                match objects.by_name.get(&key) {
                    Some(object) => (200, text_of(name, object)),
                    None => (404, String::new()),
                }
            }
            ("POST", [kind]) => {
                let name = body.get("metadata").get("name").text().to_string();
                match self.revision_of(kind, &name) {
                    Some(_) => (409, "{}".to_string()),
                    None => (
                        200,
                        self.write(kind, &name, Some(body.get("spec").clone()), None),
                    ),
                }
            }
            ("PUT", [kind, name]) => {
                if revision.is_some() && revision != self.revision_of(kind, name) {
                    (409, "{}".to_string())
                } else {
                    (
                        200,
                        self.write(kind, name, Some(body.get("spec").clone()), None),
                    )
                }
            }
            ("PUT", [kind, name, "status"]) => (
                200,
                self.write(kind, name, None, Some(body.get("status").clone())),
            ),
            _ => (400, String::new()),
        };
        answer(stream, status, &[], text.as_bytes())
    }

    fn list(&self, kind: &str) -> String {
        let objects = self.objects.lock().expect("lock");
        let of_kind = objects
            .by_name
            .iter()
            .filter(|((other, _), _)| other == kind);
        let texts: Vec<String> = of_kind.map(|((_, name), one)| text_of(name, one)).collect();
        let at = objects.revision;
        format!(
            "{{\"requests\":[{}],\"has_more\":false,\"at\":{at}}}",
            texts.join(",")
        )
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> String {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut objects = self.objects.lock().expect("lock");
        loop {
            let new = objects
                .changes
                .iter()
                .filter(|one| one.0 > after && one.1 == kind);
            let events: Vec<String> = new
                .map(|one| format!("{{\"object\":{},\"gone\":{}}}", one.2, one.3))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = objects.revision;
                return format!("{{\"events\":[{}],\"at\":{at}}}", events.join(","));
            }
            objects = self.changed.wait_timeout(objects, left).expect("lock").0;
        }
    }
}

/// What a replica did for one request id.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    pub begun: u64,
    pub finished: u64,
}

/// A model replica: streams events for items, and echoes other requests.
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    /// Number of events of a stream.
    pub events: u64,
    /// Size of an event's data in bytes.
    pub event_bytes: usize,
    /// Time per event, and of the work on other requests, in ms.
    pub event_ms: u64,
    /// Whether its process has crashed.
    crashed: Arc<AtomicBool>,
    version: AtomicU64,
    orders: AtomicU64,
    pub runs: Mutex<HashMap<String, Runs>>,
}

/// Data of an event, as the check expects it.
pub fn event_data(id: &str, number: u64, bytes: usize) -> String {
    let mut data = format!("{id}-{number}-");
    let mut state = number
        ^ id.bytes()
            .fold(7, |sum: u64, one| sum.wrapping_mul(31) + u64::from(one));
    while data.len() < bytes {
        state = state
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        data.push_str(&format!("{:016x}", state));
    }
    data.truncate(bytes.max(id.len() + 24));
    data
}

impl Replica {
    pub fn start(id: &str, ip: &str, events: u64, event_bytes: usize, event_ms: u64) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("an address for a replica");
        let replica = Arc::new(Self {
            id: id.to_string(),
            address: listener.local_addr().expect("an address"),
            events,
            event_bytes,
            event_ms,
            crashed: Arc::default(),
            version: AtomicU64::new(1),
            orders: AtomicU64::new(0),
            runs: Mutex::default(),
        });
        let served = Arc::clone(&replica);
        serve(
            listener,
            Arc::clone(&replica.crashed),
            move |request, stream| served.handle(&request, stream),
        );
        replica
    }

    /// Ends like a crashed process: connections close and new ones are refused.
    pub fn crash(&self) {
        self.crashed.store(true, Ordering::Relaxed);
        // Wakes the loop that accepts, which then closes its socket.
        drop(TcpStream::connect(self.address));
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> Result<()> {
        if self.crashed.load(Ordering::Relaxed) {
            return Err(Error::new(ErrorKind::Other, "crashed"));
        }
        let expected = request.header("x-brasspond-expect-instance");
        if !expected.is_empty() && expected != self.id {
            let not_run = [("x-brasspond-not-executed", "1".to_string())];
            return answer(stream, 421, &not_run, b"");
        }
        let path = request.word(1);
        if path == "/-/report" {
            let version = self.version.load(Ordering::Relaxed);
            let orders = self.orders.load(Ordering::Relaxed);
            let text = format!(
                "{{\"phase\":\"both\",\"model_list\":[{{\"name\":\"m0\",\"version\":{version},\"adapter_list\":[]}}],\"utilization\":false,\"sequence\":{orders},\"queued\":0,\"active\":0,\"kv_in_use\":0,\"kv_capacity_total\":90000,\"handles\":0}}"
            );
            return answer(stream, 200, &[], text.as_bytes());
        }
        if path == "/-/order" {
            let order = Json::read(&request.text()).unwrap_or(Json::Null);
            let expected = order.get("expected_count").number();
            if expected.is_some_and(|count| count != self.orders.load(Ordering::Relaxed)) {
                return answer(stream, 409, &[], b"");
            }
            self.orders.fetch_add(1, Ordering::Relaxed);
            let version = order.get("version").number().unwrap_or(1);
            self.version.store(version, Ordering::Relaxed);
            return answer(stream, 202, &[], b"");
        }
        let id = request.header("x-brasspond-request-id").to_string();
        self.runs
            .lock()
            .expect("lock")
            .entry(id.clone())
            .or_default()
            .begun += 1;
        let stamp = (
            "x-brasspond-server-stamp",
            format!("stamp.{}.{id}", self.id),
        );
        let own = ("x-brasspond-request-id", id.clone());
        if !path.starts_with("/jobs/") {
            std::thread::sleep(Duration::from_millis(self.event_ms));
            self.runs
                .lock()
                .expect("lock")
                .entry(id)
                .or_default()
                .finished += 1;
            let echoed = request.body.len().min(ECHO_BYTES);
            return answer(stream, 200, &[own, stamp], &request.body[..echoed]);
        }
        self.stream(request, &id, &[own, stamp], stream)
    }

    fn stream(
        &self,
        request: &Message,
        id: &str,
        headers: &[(&str, String)],
        stream: &mut TcpStream,
    ) -> Result<()> {
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let mut head = String::from(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n",
        );
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        let version = self.version.load(Ordering::Relaxed);
        head.push_str(&format!("x-brasspond-weight-versions: {version}\r\n\r\n"));
        stream.write_all(head.as_bytes())?;
        for number in after + 1..=self.events {
            std::thread::sleep(Duration::from_millis(self.event_ms));
            let data = event_data(id, number, self.event_bytes);
            let event = format!("id: {number}\ndata: {data}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        self.runs
            .lock()
            .expect("lock")
            .entry(id.to_string())
            .or_default()
            .finished += 1;
        if request.header("connection").eq_ignore_ascii_case("close") {
            return Err(Error::new(ErrorKind::Other, "asked to close"));
        }
        Ok(())
    }
}
