//! Emulated inference engine over HTTP, with completions as server-sent events, reports,
//! fenced orders, and weight transfers to other engines.

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

const MAX_REQUEST_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of chunks buffered for a slow reader. The engine cancels a request whose
/// buffer overflows.
const MAX_BUFFERED_CHUNKS: usize = 4_096;
/// Time limit for the response of a source of weights.
const SOURCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Settings of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name of the engine.
    pub name: EngineName,
    /// Speed, capacity and failure rate of the engine.
    pub parameters: EngineParameters,
    /// Seed of random swap failures.
    pub seed: u64,
    /// Version of each model that the engine serves at the start.
    pub models: BTreeMap<ModelName, WeightVersion>,
    /// Address of the weight store.
    pub weight_store: SocketAddr,
    /// Maximum number of concurrent transfers to other engines.
    pub upload_slots: usize,
    /// Duration of a transfer to another engine.
    pub upload_time: Duration,
    /// Interval at which generated tokens are sent.
    pub tick: Duration,
    /// Faults to inject. The engine applies [`FaultKind::Down`] and [`FaultKind::Crash`].
    pub faults: FaultSchedule,
}

/// Record that an engine keeps of a request that it accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRecord {
    /// Text of the prompt.
    pub prompt: Arc<str>,
    /// Versions that generated the tokens on this engine, in order of generation.
    pub spans: Vec<VersionSpan>,
    /// Whether the completion is finished.
    pub finished: bool,
}

struct RunningRequest {
    prompt: Arc<str>,
    chunks: mpsc::Sender<Result<Bytes, std::io::Error>>,
    model: ModelName,
}

struct State {
    engine: Engine,
    running: HashMap<u64, RunningRequest>,
    records: BTreeMap<u64, EngineRecord>,
    uploads: WeightStore,
    next_id: u64,
    crashed: bool,
}

/// Stand-in for an inference engine.
pub struct EngineServer {
    settings: EngineSettings,
    state: Mutex<State>,
    started: Instant,
    client: Client,
}

impl EngineServer {
    /// Creates a stand-in that serves the models of its settings.
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
                next_id: 1,
                crashed: false,
            }),
            settings,
            started: Instant::now(),
            client: Client::default(),
        })
    }

    /// Returns the records of all requests that this engine accepted.
    pub fn records(&self) -> Vec<EngineRecord> {
        self.with_state(|state| state.records.values().cloned().collect())
    }

    /// Returns the number of running and waiting requests.
    pub fn load(&self) -> usize {
        self.with_state(|state| state.engine.load())
    }

    /// Marks the engine as about to stop in its reports.
    pub(crate) fn leave(&self) {
        let now = self.now();
        self.with_state(|state| {
            state.engine.leave(now);
        });
    }

    fn with_state<T>(&self, access: impl FnOnce(&mut State) -> T) -> T {
        access(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.started.elapsed().as_micros() as u64)
    }

    /// Serves requests until `stop` becomes true, and drains connections before it returns. A
    /// scheduled crash ends the server without draining.
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
                // The result does not matter, because the engine stops in both cases.
                let _ = tokio::time::timeout(after, serving).await;
            }
            None => serving.await,
        }
        ticker.abort();
        self.crash();
    }

    /// Simulates a crash. Ends the response streams of all running requests and leaves later
    /// requests without a response.
    pub fn crash(&self) {
        self.with_state(|state| {
            state.running.clear();
            state.crashed = true;
        });
    }

    fn is_crashed(&self) -> bool {
        self.with_state(|state| state.crashed)
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
        let disconnected = self.with_state(|state| {
            let events = state.engine.advance(now);
            let mut disconnected = Vec::new();
            for event in events {
                state.handle_event(event, &mut disconnected);
            }
            let closed = state
                .running
                .iter()
                .filter(|(_, running)| running.chunks.is_closed());
            disconnected.extend(closed.map(|(id, _)| *id));
            disconnected
        });
        self.with_state(|state| {
            for id in disconnected {
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
                let report = self.with_state(|state| state.engine.report(now));
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
        let body: CompletionRequest = match read_json(request.into_body(), MAX_REQUEST_BYTES).await
        {
            Ok(body) => body,
            Err(problem) => return refusal(StatusCode::BAD_REQUEST, &problem.to_string()),
        };
        let Some(call) = body.call() else {
            return refusal(StatusCode::BAD_REQUEST, "resume_bytes splits a character");
        };
        let prompt = Arc::clone(&call.prompt);
        let (chunks, response_body) = channel_body(MAX_BUFFERED_CHUNKS);
        let now = self.now();
        let submitted = self.with_state(|state| {
            let id = state.next_id;
            state.next_id += 1;
            state.engine.submit(id, call, now)?;
            let running = RunningRequest {
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
        let content_type = hyper::header::HeaderValue::from_static("text/event-stream");
        response
            .headers_mut()
            .insert(hyper::header::CONTENT_TYPE, content_type);
        response
    }

    async fn order(&self, request: Request) -> Response {
        let order: EngineOrder = match read_json(request.into_body(), MAX_REQUEST_BYTES).await {
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
        let outcome: OrderOutcome =
            self.with_state(|state| state.engine.order(&order, transfer, now));
        json_response(StatusCode::OK, &outcome)
    }

    /// Requests the weights from the source and returns the duration of the transfer, or the
    /// outcome of the order if the source cannot start the transfer.
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
            .call(Method::GET, address, &path, None::<&Value>, SOURCE_TIMEOUT)
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

    /// Starts a transfer of weights to another engine if this engine serves the requested version
    /// and has a free upload slot.
    fn upload(&self, path: &str) -> Response {
        let parts: Vec<&str> = path.split('/').collect();
        let [_, _, model, version] = parts.as_slice() else {
            return refusal(StatusCode::NOT_FOUND, "no such path");
        };
        let now = self.now();
        let version = version.parse().ok().map(WeightVersion);
        let transfer = self.with_state(|state| {
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
    /// Records an event and sends it to the reader of the request. Adds the request to
    /// `disconnected` if the reader has disconnected or its buffer is full.
    fn handle_event(&mut self, event: EngineEvent, disconnected: &mut Vec<u64>) {
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
                    disconnected.push(id);
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
                // The request is finished, so a failure to send needs no handling.
                let _ = running.chunks.try_send(Ok(sse_event(&last.to_string())));
                let _ = running.chunks.try_send(Ok(sse_event("[DONE]")));
            }
        }
    }
}
