//! The trainers' interface: open a step, fetch samples, close.

use crate::auth::{authenticate, require_group, require_role};
use crate::errors::{ApiError, Fate};
use crate::server::{Server, query_value};
use brasspond_control::{Event, Reply};
use brasspond_http::{Request, Response, json_response};
use brasspond_protocol::{StepReply, StepRequest};
use brasspond_resource::{ResearchGroupSpec, Role};
use brasspond_rollout::{Prompt, StepSpec};
use brasspond_types::{GroupName, ModelName, Sample, StepId, WeightVersion};
use hyper::{Method, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;

/// Samples in one answer without a limit of the trainer's own; a choice of the interface.
const DEFAULT_COUNT: u32 = 64;
/// Longest wait for the first sample, in milliseconds; a choice of the interface.
const LONGEST_WAIT: u32 = 30_000;
/// Time for the home to answer, beyond the trainer's wait: longer than a request is forwarded
/// (5 s).
const ANSWER_TIME: Duration = Duration::from_secs(10);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OpenBody {
    model: ModelName,
    prompts: Vec<String>,
    samples_per_prompt: u32,
    max_tokens: u32,
    /// Newest version the trainer has published; 0 where it says nothing.
    #[serde(default)]
    newest_version: WeightVersion,
}

/// Answers `/v1/groups/{group}/steps/{step}` and `.../samples`.
pub(crate) async fn serve(server: &Server, request: Request) -> Result<Response, ApiError> {
    let view = server.handle.view();
    let caller = authenticate(request.headers(), &view)?;
    require_role(&caller, &[Role::Trainer])?;
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.split('/').skip(3).collect();
    let (group, number, rest) = match parts.as_slice() {
        [group, "steps", number] => (*group, *number, None),
        [group, "steps", number, rest] => (*group, *number, Some(*rest)),
        _ => return Err(ApiError::not_found("no such path")),
    };
    let group = GroupName::new(group);
    require_group(&caller, &group)?;
    let missing = || ApiError::not_found("no such group, or not the caller's");
    let spec = view.catalogue.group(group.as_str()).ok_or_else(missing)?;
    if spec.trainer != caller.name {
        return Err(ApiError::forbidden("the caller is not the group's trainer"));
    }
    let step = number
        .parse()
        .map_err(|_| ApiError::bad_request("a step is a whole number"))?;
    let id = StepId { group, step };
    let body = match (request.method(), rest) {
        (&Method::PUT, None) => {
            let body: OpenBody = server.read_json(request).await?;
            let newest_version = body.newest_version;
            let spec = Arc::new(open(id.clone(), body, spec)?);
            StepRequest::Open {
                spec,
                newest_version,
            }
        }
        (&Method::GET, Some("samples")) => fetch(id.clone(), request.uri().query().unwrap_or(""))?,
        (&Method::DELETE, None) => StepRequest::Close(id.clone()),
        _ => {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            return Err(ApiError::new(
                status,
                "method",
                "PUT, DELETE, or GET of samples",
            ));
        }
    };
    ask(server, &id, body).await
}

fn open(id: StepId, body: OpenBody, group: &ResearchGroupSpec) -> Result<StepSpec, ApiError> {
    let mut findings = Vec::new();
    if !group.models.contains(&body.model) {
        findings.push("model: not one of the group's models".to_owned());
    }
    let slots = body.prompts.len() as u64 * u64::from(body.samples_per_prompt);
    let most = u64::from(group.limits.samples_per_step);
    if slots == 0 || slots > most {
        findings.push(format!(
            "prompts, samples_per_prompt: 1 to {most} samples in all"
        ));
    }
    let longest = group.limits.tokens_per_sample;
    if body.max_tokens == 0 || body.max_tokens > longest {
        findings.push(format!("max_tokens: from 1 to {longest}"));
    }
    if body.prompts.iter().any(String::is_empty) {
        findings.push("prompts: none may be empty".to_owned());
    }
    if !findings.is_empty() {
        let mut error = ApiError::bad_request("the step cannot be opened");
        error.findings = findings;
        return Err(error);
    }
    let prompts = body
        .prompts
        .into_iter()
        .map(|text| Prompt { text: text.into() });
    Ok(StepSpec {
        id,
        model: body.model,
        prompts: prompts.collect(),
        samples_per_prompt: body.samples_per_prompt,
        max_tokens: body.max_tokens,
    })
}

fn fetch(step: StepId, query: &str) -> Result<StepRequest, ApiError> {
    let number = |key: &str, default: u64| match query_value(query, key) {
        None => Ok(default),
        Some(text) => text
            .parse::<u64>()
            .map_err(|_| ApiError::bad_request(format!("{key}: not a whole number"))),
    };
    let clamp = |value: u64, most: u32| u32::try_from(value).unwrap_or(most).min(most);
    Ok(StepRequest::Fetch {
        step,
        cursor: query_value(query, "cursor").unwrap_or_default().to_owned(),
        newest_version: WeightVersion(number("newest_version", 0)?),
        count: clamp(number("count", u64::from(DEFAULT_COUNT))?, u32::MAX),
        wait_milliseconds: clamp(number("wait_milliseconds", 0)?, LONGEST_WAIT),
    })
}

async fn ask(server: &Server, id: &StepId, body: StepRequest) -> Result<Response, ApiError> {
    let wait = match &body {
        StepRequest::Fetch {
            wait_milliseconds, ..
        } => u64::from(*wait_milliseconds),
        _ => 0,
    };
    let limit = ANSWER_TIME + Duration::from_millis(wait);
    let request = server.handle.next_request();
    let event = Event::Step { request, body };
    let reply = server.handle.ask(request, event, limit).await;
    match reply {
        Some(Reply::Step(reply)) => answer(id, reply),
        Some(Reply::Refused(refusal)) => Err(refusal.into()),
        _ => Err(ApiError::unavailable("the step's home did not answer").with_fate(Fate::Unknown)),
    }
}

fn answer(id: &StepId, reply: StepReply) -> Result<Response, ApiError> {
    match reply {
        StepReply::Opened(summary) => {
            let body = json!({ "step": id, "summary": summary });
            Ok(json_response(StatusCode::OK, &body))
        }
        StepReply::Samples {
            samples,
            cursor,
            complete,
            summary,
        } => {
            let samples: Vec<Value> = samples
                .iter()
                .map(|sample| sample_json(id, sample))
                .collect();
            let body = json!({
                "samples": samples,
                "cursor": cursor,
                "complete": complete,
                "summary": summary,
            });
            Ok(json_response(StatusCode::OK, &body))
        }
        StepReply::Closed => Ok(json_response(StatusCode::OK, &json!({ "closed": id }))),
        StepReply::Unknown | StepReply::NotHome => {
            let message = "no such step is known here: open it again and go on with the cursor";
            Err(ApiError::new(
                StatusCode::NOT_FOUND,
                "unknown_step",
                message,
            ))
        }
        StepReply::Conflict => {
            let message = "the step is open with other content";
            Err(ApiError::new(StatusCode::CONFLICT, "conflict", message))
        }
        StepReply::BadCursor => Err(ApiError::bad_request("the cursor is not one of this step")),
        StepReply::TooManySteps => {
            let message = "the group has too many steps open";
            let mut error = ApiError::new(StatusCode::TOO_MANY_REQUESTS, "too_many_steps", message);
            error.retry_after = Some(Duration::from_secs(1));
            Err(error)
        }
    }
}

fn sample_json(step: &StepId, sample: &Sample) -> Value {
    let mut value = serde_json::to_value(sample).unwrap_or(Value::Null);
    value["id"] = json!(format!("{step}/{}", sample.slot));
    value
}
