//! A model engine over HTTP: completions with server-sent events, reports,
//! fenced orders, and weights for other engines.

mod wire;

use self::wire::{CompletionRequest, chunk, refusal};
use crate::faults::{FaultKind, FaultSchedule};
use brasspond_emulator::{
    Engine, EngineEvent, EngineParameters, SubmitRefusal, Transfer, WeightStore, text_of,
};
use brasspond_engine_api::{Command, EngineOrder, OrderOutcome, WeightSource};
use brasspond_http::{
    CallError, Client, Limits, Request, Response, channel_body, json_response, read_json, serve,
    sse_event,
};
use brasspond_types::{EngineName, ModelName, Timestamp, VersionSpan, WeightVersion};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// Longest request accepted, in bytes; not measured.
const LONGEST_REQUEST: usize = 4 * 1024 * 1024;
/// Chunks buffered for a slow reader; not measured.
const CHUNKS_BUFFERED: usize = 4_096;
/// Time for a source of weights to answer; not measured.
const SOURCE_TIME: Duration = Duration::from_secs(1);

/// Settings of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name.
    pub name: EngineName,
    /// Model of the engine.
    pub parameters: EngineParameters,
    /// Seed of its own failures.
    pub seed: u64,
    /// Versions served at the start.
    pub models: BTreeMap<ModelName, WeightVersion>,
    /// Address of the weight store.
    pub weight_store: SocketAddr,
    /// Transfers to other engines at a time.
    pub upload_slots: usize,
    /// Time of a transfer to another engine.
    pub upload_time: Duration,
    /// Time between two ticks, at which what was generated is sent.
    pub tick: Duration,
    /// Faults.
    pub faults: FaultSchedule,
}

/// What the engine itself knows of a request it ran.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRecord {
    /// Prompt.
    pub prompt: Arc<str>,
    /// Versions that truly made the tokens, in order, of this engine only.
    pub spans: Vec<VersionSpan>,
    /// Whether the answer was made to its end.
    pub finished: bool,
}

struct Running {
    prompt: Arc<str>,
    chunks: mpsc::Sender<Result<Bytes, std::io::Error>>,
    model: ModelName,
}

struct State {
    engine: Engine,
    running: HashMap<u64, Running>,
    records: BTreeMap<u64, EngineRecord>,
    uploads: WeightStore,
    next: u64,
    crashed: bool,
}

/// An engine stand-in.
pub struct EngineServer {
    settings: EngineSettings,
    state: Mutex<State>,
    started: Instant,
    client: Client,
}

impl EngineServer {
    /// An engine that serves what its settings say.
    pub fn new(settings: EngineSettings) -> Arc<Self> {
        let engine = Engine::new(
            settings.name.clone(),
            settings.parameters.clone(),
            settings.models.clone(),
            settings.seed,
            Timestamp::ZERO,
        );
        let uploads = WeightStore::new(settings.upload_slots, settings.upload_time);
        Arc::new(Self {
            state: Mutex::new(State {
                engine,
                running: HashMap::new(),
                records: BTreeMap::new(),
                uploads,
                next: 1,
                crashed: false,
            }),
            settings,
            started: Instant::now(),
            client: Client::default(),
        })
    }

    /// Everything this engine ran.
    pub fn records(&self) -> Vec<EngineRecord> {
        self.locked(|state| state.records.values().cloned().collect())
    }

    /// Requests on the engine now.
    pub fn load(&self) -> usize {
        self.locked(|state| state.engine.load())
    }

    /// Announces a planned stop.
    pub(crate) fn leave(&self) {
        let now = self.now();
        self.locked(|state| {
            state.engine.leave(now);
        });
    }

    fn locked<T>(&self, look: impl FnOnce(&mut State) -> T) -> T {
        look(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.started.elapsed().as_micros() as u64)
    }

    /// Serves until stopped; a scheduled crash ends it without any care.
    pub async fn run(self: Arc<Self>, listener: TcpListener, stop: watch::Receiver<bool>) {
        let ticker = tokio::spawn(Arc::clone(&self).tick_forever());
        let crash = self.settings.faults.crash_at();
        let server = Arc::clone(&self);
        let handler = move |request, _peer: SocketAddr| {
            let server = Arc::clone(&server);
            async move {
                if server.is_crashed() {
                    std::future::pending::<()>().await;
                }
                server.handle(request).await
            }
        };
        let serving = serve(listener, Limits::default(), handler, stop);
        match crash {
            Some(after) => {
                // Either end is the scheduled crash.
                let _ = tokio::time::timeout(after, serving).await;
            }
            None => serving.await,
        }
        ticker.abort();
        self.crash();
    }

    /// Breaks off everything under way and answers nothing from now on, as a
    /// crash does.
    pub fn crash(&self) {
        self.locked(|state| {
            state.running.clear();
            state.crashed = true;
        });
    }

    fn is_crashed(&self) -> bool {
        self.locked(|state| state.crashed)
    }

    async fn tick_forever(self: Arc<Self>) {
        let mut interval = tokio::time::interval(self.settings.tick);
        loop {
            interval.tick().await;
            self.tick();
        }
    }

    fn tick(&self) {
        let now = self.now();
        let gone = self.locked(|state| {
            let events = state.engine.advance(now);
            let mut gone = Vec::new();
            for event in events {
                state.report(event, &mut gone);
            }
            let closed = state
                .running
                .iter()
                .filter(|(_, running)| running.chunks.is_closed());
            gone.extend(closed.map(|(id, _)| *id));
            gone
        });
        self.locked(|state| {
            for id in gone {
                state.running.remove(&id);
                state.engine.cancel(id, now);
            }
        });
    }

    async fn handle(self: Arc<Self>, request: Request) -> Response {
        let path = request.uri().path().to_owned();
        if self
            .settings
            .faults
            .is_on(FaultKind::Down, self.started.elapsed())
        {
            return refusal(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/completions") => self.complete(request).await,
            (&Method::GET, "/engine/report") => {
                let now = self.now();
                let report = self.locked(|state| state.engine.report(now));
                json_response(StatusCode::OK, &report)
            }
            (&Method::POST, "/engine/orders") => self.order(request).await,
            (&Method::POST, "/engine/leave") => {
                self.leave();
                json_response(StatusCode::OK, &json!({ "leaving": true }))
            }
            (&Method::GET, _) if path.starts_with("/weights/") => self.upload(&path),
            _ => refusal(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn complete(&self, request: Request) -> Response {
        let body: CompletionRequest = match read_json(request.into_body(), LONGEST_REQUEST).await {
            Ok(body) => body,
            Err(problem) => return refusal(StatusCode::BAD_REQUEST, &problem.to_string()),
        };
        let Some(call) = body.call() else {
            return refusal(StatusCode::BAD_REQUEST, "resume_bytes splits a character");
        };
        let prompt = Arc::clone(&call.prompt);
        let (chunks, response_body) = channel_body(CHUNKS_BUFFERED);
        let now = self.now();
        let submitted = self.locked(|state| {
            let id = state.next;
            state.next += 1;
            state.engine.submit(id, call, now)?;
            let running = Running {
                prompt: Arc::clone(&prompt),
                chunks,
                model: body.model,
            };
            state.running.insert(id, running);
            let spans = Vec::new();
            let record = EngineRecord {
                prompt,
                spans,
                finished: false,
            };
            state.records.insert(id, record);
            Ok::<u64, SubmitRefusal>(id)
        });
        if let Err(problem) = submitted {
            return refusal(StatusCode::SERVICE_UNAVAILABLE, &problem.to_string());
        }
        let mut response = hyper::Response::new(response_body);
        let kind = hyper::header::HeaderValue::from_static("text/event-stream");
        response
            .headers_mut()
            .insert(hyper::header::CONTENT_TYPE, kind);
        response
    }

    async fn order(&self, request: Request) -> Response {
        let order: EngineOrder = match read_json(request.into_body(), LONGEST_REQUEST).await {
            Ok(order) => order,
            Err(problem) => return refusal(StatusCode::BAD_REQUEST, &problem.to_string()),
        };
        let transfer = match &order.command {
            Command::Claim => Ok(Duration::ZERO),
            Command::Load {
                model,
                version,
                source,
                ..
            } => self.begin_transfer(model, *version, source).await,
        };
        let now = self.now();
        let outcome: OrderOutcome = self.locked(|state| state.engine.order(&order, transfer, now));
        json_response(StatusCode::OK, &outcome)
    }

    /// Asks the source for the weights.
    async fn begin_transfer(
        &self,
        model: &ModelName,
        version: WeightVersion,
        source: &WeightSource,
    ) -> Result<Duration, OrderOutcome> {
        let address = match source {
            WeightSource::Store => self.settings.weight_store,
            WeightSource::Peer { address, .. } => *address,
        };
        let path = format!("/weights/{model}/{version}");
        let answer: Result<Value, CallError> = self
            .client
            .call(Method::GET, address, &path, None::<&Value>, SOURCE_TIME)
            .await;
        match answer {
            Ok(answer) => {
                let milliseconds = answer["milliseconds"].as_u64();
                let milliseconds = milliseconds.ok_or(OrderOutcome::SourceGone)?;
                Ok(Duration::from_millis(milliseconds))
            }
            Err(CallError::Status(_)) => Err(OrderOutcome::SourceBusy),
            Err(_) => Err(OrderOutcome::SourceGone),
        }
    }

    /// Gives weights to another engine, if it has them and a slot is free.
    fn upload(&self, path: &str) -> Response {
        let parts: Vec<&str> = path.split('/').collect();
        let [_, _, model, version] = parts.as_slice() else {
            return refusal(StatusCode::NOT_FOUND, "no such path");
        };
        let now = self.now();
        let version = version.parse().ok().map(WeightVersion);
        let transfer = self.locked(|state| {
            let served = state.engine.models().get(&ModelName::new(model)).copied();
            if served.is_none() || served != version {
                return None;
            }
            Some(state.uploads.begin(now))
        });
        match transfer {
            None => refusal(StatusCode::NOT_FOUND, "version not here"),
            Some(Transfer::Busy) => refusal(StatusCode::TOO_MANY_REQUESTS, "busy"),
            Some(Transfer::Begun(time)) => {
                let milliseconds = time.as_millis() as u64;
                json_response(StatusCode::OK, &json!({ "milliseconds": milliseconds }))
            }
        }
    }
}

impl State {
    /// Sends what happened to the reader; collects readers that are gone.
    fn report(&mut self, event: EngineEvent, gone: &mut Vec<u64>) {
        match event {
            EngineEvent::Tokens {
                id,
                start,
                count,
                version,
            } => {
                if let Some(record) = self.records.get_mut(&id) {
                    brasspond_types::push_span(&mut record.spans, version, count);
                }
                let Some(running) = self.running.get(&id) else {
                    return;
                };
                let text = text_of(&running.prompt, start, count, version);
                let chunk = chunk(&running.model, &text, count, version, None);
                if running
                    .chunks
                    .try_send(Ok(sse_event(&chunk.to_string())))
                    .is_err()
                {
                    gone.push(id);
                }
            }
            EngineEvent::Finished { id, reason } => {
                if let Some(record) = self.records.get_mut(&id) {
                    record.finished = true;
                }
                let Some(running) = self.running.remove(&id) else {
                    return;
                };
                let version = self.engine.models().get(&running.model).copied();
                let last = chunk(
                    &running.model,
                    "",
                    0,
                    version.unwrap_or_default(),
                    Some(reason),
                );
                // A reader that is gone misses the end as well.
                let _ = running.chunks.try_send(Ok(sse_event(&last.to_string())));
                let _ = running.chunks.try_send(Ok(sse_event("[DONE]")));
            }
        }
    }
}
