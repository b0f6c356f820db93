//! Calls to engines: answers, reports, orders.

use crate::handle::{Handle, Piece};
use brasspond_control::{AttemptId, Event, RequestId};
use brasspond_engine_api::{
    AttemptUpdate, EngineCall, EngineOrder, EngineReport, OrderOutcome, extend,
};
use brasspond_http::{CallError, Client, EventStream, request};
use brasspond_types::{EngineName, FinishReason, Timestamp, WeightVersion, total_tokens};
use hyper::Method;
use serde::Deserialize;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for an engine to answer a poll or an order.
const CONTROL_TIME: Duration = Duration::from_millis(1_500);
/// Time for the headers of an answer to arrive.
const HEADER_TIME: Duration = Duration::from_secs(10);
/// Silence on a stream after which the engine is given up on.
const SILENCE: Duration = Duration::from_secs(60);

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

/// Asks an engine for its report.
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
            CONTROL_TIME,
        )
        .await;
    let report = answer.ok().map(Box::new);
    handle
        .send(Event::EngineReport {
            engine,
            asked_at,
            report,
        })
        .await;
}

/// Gives an engine an order.
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
            CONTROL_TIME,
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

/// Runs one request on an engine and reports how it goes.
pub(crate) async fn attempt(
    client: Client,
    handle: Handle,
    attempt: AttemptId,
    request: Option<RequestId>,
    address: SocketAddr,
    call: Box<EngineCall>,
) {
    let update = run(&client, &handle, attempt, request, address, &call).await;
    handle.attempt(attempt, update).await;
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
    let body = json!({
        "model": call.model,
        "prompt": format!("{}{}", call.prompt, generated.text),
        "max_tokens": call.max_tokens,
        "seed": call.seed,
        "priority": call.priority,
        "stream": true,
        "resume_tokens": total_tokens(&generated.spans),
        "resume_bytes": generated.text.len(),
    });
    let http_request = request(Method::POST, address, "/v1/completions", Some(&body));
    let response = tokio::time::timeout(HEADER_TIME, client.send(http_request)).await;
    let response = match response {
        Ok(Ok(response)) if response.status().is_success() => response,
        Ok(Ok(response)) => {
            let not_run = is_not_begun(response).await;
            return AttemptUpdate::Failed { generated, not_run };
        }
        Ok(Err(error)) => {
            let not_run = error.is_not_sent();
            return AttemptUpdate::Failed { generated, not_run };
        }
        Err(_) => {
            return AttemptUpdate::Failed {
                generated,
                not_run: false,
            };
        }
    };
    let stream = caller.and_then(|caller| handle.stream(caller));
    let mut events = EventStream::new(response.into_body());
    let mut reported = None;
    while let Ok(Some(data)) = tokio::time::timeout(SILENCE, events.next()).await {
        let Ok(chunk) = serde_json::from_str::<Chunk>(&data) else {
            continue;
        };
        let Some(choice) = chunk.choices.into_iter().next() else {
            continue;
        };
        if chunk.tokens > 0 && reported != Some(chunk.weight_version) {
            reported = Some(chunk.weight_version);
            let oldest = chunk.weight_version;
            handle
                .attempt(attempt, AttemptUpdate::Progress { oldest })
                .await;
        }
        extend(
            &mut generated,
            chunk.weight_version,
            chunk.tokens,
            &choice.text,
        );
        generated
            .log_probabilities
            .extend(&choice.log_probabilities);
        if let Some(stream) = &stream {
            let piece = Piece {
                text: choice.text,
                version: chunk.weight_version.0,
                tokens: chunk.tokens,
                finish_reason: choice.finish_reason,
            };
            if stream.send(piece).await.is_err() {
                return AttemptUpdate::Failed {
                    generated,
                    not_run: false,
                };
            }
        }
        if let Some(reason) = choice.finish_reason {
            return AttemptUpdate::Finished { generated, reason };
        }
    }
    AttemptUpdate::Failed {
        generated,
        not_run: false,
    }
}

/// Whether a refusing engine says that it did not begin.
async fn is_not_begun(response: hyper::Response<hyper::body::Incoming>) -> bool {
    const LONGEST_REFUSAL: usize = 64 * 1024;
    let body: Result<serde_json::Value, _> =
        brasspond_http::read_json(response.into_body(), LONGEST_REFUSAL).await;
    body.is_ok_and(|body| body["began"] == json!(false))
}
