//! Calls to engines: attempts, reports and orders.

use crate::handle::{Handle, Piece};
use brasspond_control::{AttemptId, Event, RequestId};
use brasspond_engine_api::{
    AttemptUpdate, EngineCall, EngineOrder, EngineReport, OrderOutcome, append_tokens,
};
use brasspond_http::{CallError, Client, EventStream, request};
use brasspond_types::{EngineName, FinishReason, Timestamp, WeightVersion, total_tokens};
use hyper::Method;
use serde::Deserialize;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// Time limit for an engine to answer a poll or an order. Equals the default of
/// `Parameters::report_age_limit`, the age of a report beyond which the engine gets no new work.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time limit for the headers of a response to arrive.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without an event on a stream after which the attempt fails.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
    #[serde(default)]
    weight_version: WeightVersion,
    #[serde(default)]
    tokens: u32,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    #[serde(default)]
    finish_reason: Option<FinishReason>,
    #[serde(default)]
    log_probabilities: Vec<f32>,
}

/// Polls an engine for its report and sends the result to the decisions thread.
pub(crate) async fn poll(
    client: Client,
    handle: Handle,
    engine: EngineName,
    address: SocketAddr,
    asked_at: Timestamp,
) {
    let answer: Result<EngineReport, CallError> = client
        .call(
            Method::GET,
            address,
            "/engine/report",
            None::<&()>,
            CONTROL_TIMEOUT,
        )
        .await;
    // An event without a report tells the owner that the engine is unreachable.
    let report = answer.ok().map(Box::new);
    handle
        .send(Event::EngineReport {
            engine,
            asked_at,
            report,
        })
        .await;
}

/// Sends an order to an engine and its outcome to the decisions thread.
pub(crate) async fn order(
    client: Client,
    handle: Handle,
    engine: EngineName,
    address: SocketAddr,
    order: EngineOrder,
) {
    let answer = client
        .call(
            Method::POST,
            address,
            "/engine/orders",
            Some(&order),
            CONTROL_TIMEOUT,
        )
        .await;
    let outcome = answer.unwrap_or(OrderOutcome::Unreachable);
    handle
        .send(Event::EngineOrdered {
            engine,
            order,
            outcome,
        })
        .await;
}

/// Runs an attempt on an engine, streams its output to the caller and reports progress and end.
pub(crate) async fn attempt(
    client: Client,
    handle: Handle,
    attempt: AttemptId,
    request: Option<RequestId>,
    address: SocketAddr,
    call: Box<EngineCall>,
) {
    let update = run(&client, &handle, attempt, request, address, &call).await;
    handle.report_attempt(attempt, update).await;
}

async fn run(
    client: &Client,
    handle: &Handle,
    attempt: AttemptId,
    caller: Option<RequestId>,
    address: SocketAddr,
    call: &EngineCall,
) -> AttemptUpdate {
    let mut generated = call.resume.clone();
    let response = match start(client, address, call).await {
        Ok(response) => response,
        Err(not_run) => return AttemptUpdate::Failed { generated, not_run },
    };
    let stream = caller.and_then(|caller| handle.stream(caller));
    let mut events = EventStream::new(response.into_body());
    let mut reported = None;
    while let Ok(Some(data)) = tokio::time::timeout(STREAM_IDLE_TIMEOUT, events.next()).await {
        let Ok(chunk) = serde_json::from_str::<Chunk>(&data) else {
            continue;
        };
        let (version, tokens) = (chunk.weight_version, chunk.tokens);
        let Some(choice) = chunk.choices.into_iter().next() else {
            continue;
        };
        if tokens > 0 && reported != Some(version) {
            reported = Some(version);
            let update = AttemptUpdate::Progress { oldest: version };
            handle.report_attempt(attempt, update).await;
        }
        append_tokens(&mut generated, version, tokens, &choice.text);
        let log_probabilities = &mut generated.log_probabilities;
        log_probabilities.extend(&choice.log_probabilities);
        let reason = choice.finish_reason;
        if let Some(stream) = &stream {
            let piece = Piece {
                text: choice.text,
                version: version.0,
                tokens,
                finish_reason: reason,
            };
            if stream.send(piece).await.is_err() {
                break;
            }
        }
        if let Some(reason) = reason {
            return AttemptUpdate::Finished { generated, reason };
        }
    }
    AttemptUpdate::Failed {
        generated,
        not_run: false,
    }
}

/// Sends a request to an engine and returns the response, whose body is the event stream.
///
/// # Errors
/// The call failed or was refused. The error is `true` if the engine certainly has not started the
/// request.
async fn start(
    client: &Client,
    address: SocketAddr,
    call: &EngineCall,
) -> Result<hyper::Response<hyper::body::Incoming>, bool> {
    let resumed = &call.resume;
    let body = json!({
        "model": call.model,
        "prompt": format!("{}{}", call.prompt, resumed.text),
        "max_tokens": call.max_tokens,
        "seed": call.seed,
        "priority": call.priority,
        "stream": true,
        "resume_tokens": total_tokens(&resumed.spans),
        "resume_bytes": resumed.text.len(),
    });
    let http_request = request(Method::POST, address, "/v1/completions", Some(&body));
    match tokio::time::timeout(HEADER_TIMEOUT, client.send(http_request)).await {
        Ok(Ok(response)) if response.status().is_success() => Ok(response),
        Ok(Ok(response)) => Err(is_not_started(response).await),
        Ok(Err(error)) => Err(error.is_not_sent()),
        Err(_elapsed) => Err(false),
    }
}

/// Whether an engine that refuses a request says that it did not start it.
async fn is_not_started(response: hyper::Response<hyper::body::Incoming>) -> bool {
    /// Longest refusal read, in bytes.
    const MAX_REFUSAL_BYTES: usize = 64 * 1024;
    let body: Result<serde_json::Value, _> =
        brasspond_http::read_json(response.into_body(), MAX_REFUSAL_BYTES).await;
    body.is_ok_and(|body| body["began"] == json!(false))
}
