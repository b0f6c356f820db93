//! The OpenAI-compatible interface to models.
//!
//! The object `brasspond` holds most fields that extend the interface: `priority`,
//! `deadline_milliseconds`, `minimum_version` and `group` in the request, `spans` in a JSON
//! response or in the last chunk of a stream. In addition, each chunk has a field `weight_version`.

use crate::auth::{authenticate, require_group, require_role};
use crate::errors::{ApiError, Execution};
use crate::handle::{Handle, Piece};
use crate::server::Server;
use crate::view::View;
use brasspond_control::{Event, GenerateRequest, Reply, RequestId};
use brasspond_fairness::Priority;
use brasspond_http::{Request, Response, channel_body, json_response, sse_event};
use brasspond_resource::Role;
use brasspond_types::{
    FinishReason, GroupName, ModelName, VersionSpan, WeightVersion, push_span, total_tokens,
};
use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use serde::Deserialize;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// Token limit of a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Chunks of a stream buffered for a slow caller.
const CHUNK_BUFFER: usize = 16;

/// Fields of a request that extend the OpenAI interface.
#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct Extension {
    priority: Priority,
    deadline_milliseconds: Option<u64>,
    minimum_version: u64,
    group: Option<GroupName>,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: String,
}

#[derive(Deserialize)]
struct Body {
    model: ModelName,
    prompt: Option<String>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    seed: Option<u64>,
    brasspond: Option<Extension>,
}

/// Format of the answer, by endpoint.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    Completion,
    Chat,
}

impl Format {
    fn chunk(self, id: &str, model: &ModelName, piece: &Piece) -> Value {
        let choice = match self {
            Self::Completion => {
                json!({ "index": 0, "text": piece.text, "finish_reason": piece.finish_reason })
            }
            Self::Chat => json!({
                "index": 0,
                "delta": { "content": piece.text },
                "finish_reason": piece.finish_reason,
            }),
        };
        let object = match self {
            Self::Completion => "text_completion",
            Self::Chat => "chat.completion.chunk",
        };
        json!({
            "id": id,
            "object": object,
            "model": model,
            "choices": [choice],
            "weight_version": piece.version,
        })
    }

    fn response_body(self, id: &str, model: &ModelName, answer: &Answer) -> Value {
        let choice = match self {
            Self::Completion => {
                json!({ "index": 0, "text": answer.text, "finish_reason": answer.finish_reason })
            }
            Self::Chat => json!({
                "index": 0,
                "message": { "role": "assistant", "content": answer.text },
                "finish_reason": answer.finish_reason,
            }),
        };
        let object = match self {
            Self::Completion => "text_completion",
            Self::Chat => "chat.completion",
        };
        json!({
            "id": id,
            "object": object,
            "model": model,
            "choices": [choice],
            "usage": { "completion_tokens": total_tokens(&answer.spans) },
            "brasspond": { "spans": answer.spans },
        })
    }
}

/// An answer assembled from its pieces.
#[derive(Default)]
struct Answer {
    text: String,
    spans: Vec<VersionSpan>,
    finish_reason: Option<FinishReason>,
}

impl Answer {
    fn add(&mut self, piece: &Piece) {
        self.text.push_str(&piece.text);
        push_span(&mut self.spans, WeightVersion(piece.version), piece.tokens);
        self.finish_reason = piece.finish_reason.or(self.finish_reason);
    }
}

/// Removes the channels of a request on drop. Unless its final reply has arrived, also reports that
/// the caller disconnected, which cancels the request. A missed deadline has the same effect.
struct DisconnectGuard {
    handle: Handle,
    request: RequestId,
    ended: bool,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        self.handle.unregister(self.request);
        if self.ended {
            return;
        }
        let handle = self.handle.clone();
        let request = self.request;
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { handle.send(Event::CallerDisconnected(request)).await });
        }
    }
}

/// Serves a completion request, as a stream or as one JSON body.
pub(crate) async fn serve(
    server: &Server,
    request: Request,
    format: Format,
) -> Result<Response, ApiError> {
    let handle = &server.handle;
    let view = handle.view();
    let caller = authenticate(request.headers(), &view)?;
    require_role(&caller, &[Role::Application, Role::Trainer])?;
    let body: Body = server.read_json(request).await?;
    let generate = validate(&view, &caller, &body, server.limits.request_milliseconds)?;
    let time_limit = generate.time_limit;
    let id = handle.next_request();
    let reply = handle.register_reply(id);
    let pieces = handle.register_pieces(id);
    let guard = DisconnectGuard {
        handle: handle.clone(),
        request: id,
        ended: false,
    };
    let group = generate.group.clone();
    let event = Event::Generate {
        request: id,
        body: Box::new(generate),
    };
    if !handle.try_send(event) {
        return Err(ApiError::unavailable("the node is overloaded"));
    }
    log::debug!(
        "event=generate request={} group={group} model={}",
        id.0,
        body.model
    );
    let exchange = Exchange {
        guard,
        reply,
        pieces,
        model: body.model.clone(),
        format,
    };
    // The time limit covers a stream only until its first piece.
    let ended = if body.stream {
        tokio::time::timeout(time_limit, exchange.stream()).await
    } else {
        tokio::time::timeout(time_limit, exchange.collect()).await
    };
    match ended {
        Ok(result) => result,
        Err(_) => {
            let error = ApiError::new(
                StatusCode::GATEWAY_TIMEOUT,
                "deadline",
                "the deadline passed",
            );
            Err(error.with_execution(Execution::Unknown))
        }
    }
}

/// Validates a request against the configuration and the caller's group, and applies defaults.
fn validate(
    view: &View,
    caller: &crate::view::KnownCaller,
    body: &Body,
    max_time_limit_milliseconds: u64,
) -> Result<GenerateRequest, ApiError> {
    let unknown_model = || ApiError::not_found(format!("the model {} does not exist", body.model));
    let model = view
        .catalogue
        .model(body.model.as_str())
        .ok_or_else(unknown_model)?;
    let extension = body.brasspond.as_ref();
    // A caller that belongs to a group is not told whether other groups' models exist.
    if caller.spec.group.is_some() {
        require_group(caller, &model.group).map_err(|_| unknown_model())?;
    }
    let requested_group = extension.and_then(|extension| extension.group.as_ref());
    if requested_group.is_some_and(|group| *group != model.group) {
        return Err(ApiError::forbidden("the model belongs to another group"));
    }
    let prompt = match (&body.prompt, &body.messages) {
        (Some(prompt), None) => prompt.clone(),
        (None, Some(messages)) => {
            let lines = messages
                .iter()
                .map(|message| format!("{}: {}\n", message.role, message.content));
            lines.collect::<String>() + "assistant: "
        }
        _ => {
            return Err(ApiError::bad_request(
                "exactly one of prompt and messages is required",
            ));
        }
    };
    let max_tokens = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if max_tokens == 0 || max_tokens > model.max_tokens {
        let message = format!("max_tokens must be from 1 to {}", model.max_tokens);
        return Err(ApiError::bad_request(message));
    }
    let deadline = extension.and_then(|extension| extension.deadline_milliseconds);
    let time_limit = Duration::from_millis(
        deadline
            .unwrap_or(max_time_limit_milliseconds)
            .min(max_time_limit_milliseconds),
    );
    let minimum = extension.map_or(0, |extension| extension.minimum_version);
    let newest = view.newest.get(&body.model).copied().unwrap_or(0);
    if minimum > newest {
        return Err(ApiError::bad_request(format!(
            "minimum_version exceeds the newest version, {newest}"
        )));
    }
    let priority = match extension {
        Some(extension) => extension.priority,
        None => Priority::Interactive,
    };
    Ok(GenerateRequest {
        group: model.group.clone(),
        model: body.model.clone(),
        seed: body.seed.unwrap_or_else(rand::random),
        prompt: prompt.into(),
        max_tokens,
        priority,
        minimum_version: WeightVersion(minimum),
        time_limit,
    })
}

/// A request that waits for its pieces and its final reply.
struct Exchange {
    guard: DisconnectGuard,
    reply: oneshot::Receiver<Reply>,
    pieces: mpsc::Receiver<Piece>,
    model: ModelName,
    format: Format,
}

impl Exchange {
    fn id(&self) -> String {
        format!("cmpl-{}", self.guard.request.0)
    }

    /// Collects all pieces and returns one JSON response.
    async fn collect(mut self) -> Result<Response, ApiError> {
        let mut answer = Answer::default();
        while let Some(piece) = self.pieces.recv().await {
            answer.add(&piece);
        }
        self.end().await?;
        let body = self.format.response_body(&self.id(), &self.model, &answer);
        Ok(json_response(StatusCode::OK, &body))
    }

    /// Waits for the final reply to the request, which follows the last piece.
    async fn end(&mut self) -> Result<(), ApiError> {
        let reply = (&mut self.reply).await;
        self.guard.ended = true;
        match reply {
            Ok(Reply::Generated) => Ok(()),
            Ok(Reply::Refused(refusal)) => Err(refusal.into()),
            _ => Err(
                ApiError::unavailable("the request ended without a final reply")
                    .with_execution(Execution::Unknown),
            ),
        }
    }

    /// Returns the answer as an event stream, or an error response if the request fails before its
    /// first piece.
    async fn stream(mut self) -> Result<Response, ApiError> {
        let Some(first) = self.pieces.recv().await else {
            let ended = self.end().await;
            return Err(ended
                .err()
                .unwrap_or_else(|| ApiError::unavailable("the answer is empty")));
        };
        let (sender, body) = channel_body(CHUNK_BUFFER);
        tokio::spawn(self.forward(first, sender));
        let mut response = hyper::Response::new(body);
        let headers = response.headers_mut();
        let content_type = HeaderValue::from_static("text/event-stream");
        headers.insert(hyper::header::CONTENT_TYPE, content_type);
        headers.insert(
            hyper::header::CACHE_CONTROL,
            HeaderValue::from_static("no-store"),
        );
        Ok(response)
    }

    /// Sends the pieces without a finish reason to the caller, then a last chunk with the finish
    /// reason and the spans, or an error. The last chunk has no text.
    async fn forward(mut self, first: Piece, sender: mpsc::Sender<Result<Bytes, std::io::Error>>) {
        let id = self.id();
        let mut answer = Answer::default();
        let mut next = Some(first);
        while let Some(piece) = next {
            answer.add(&piece);
            if piece.finish_reason.is_none() {
                let chunk = self.format.chunk(&id, &self.model, &piece).to_string();
                if sender.send(Ok(sse_event(&chunk))).await.is_err() {
                    return;
                }
            }
            next = tokio::select! {
                piece = self.pieces.recv() => piece,
                () = sender.closed() => return,
            };
        }
        let last = match self.end().await {
            Ok(()) => {
                let piece = Piece {
                    text: String::new(),
                    version: answer.spans.last().map_or(0, |span| span.version.0),
                    tokens: 0,
                    finish_reason: answer.finish_reason,
                };
                let mut chunk = self.format.chunk(&id, &self.model, &piece);
                chunk["brasspond"] = json!({ "spans": answer.spans });
                chunk["usage"] = json!({ "completion_tokens": total_tokens(&answer.spans) });
                vec![chunk.to_string(), "[DONE]".to_owned()]
            }
            Err(error) => vec![error.body().to_string()],
        };
        for event in last {
            let _ = sender.send(Ok(sse_event(&event))).await;
        }
    }
}
