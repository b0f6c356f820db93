//! HTTP interface for trainers: opens a step, fetches its samples and closes it.

use crate::auth::{authenticate, require_group, require_role};
use crate::errors::{ApiError, Execution};
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

/// Maximum number of samples in an answer if the request sets no `count`.
const DEFAULT_SAMPLE_COUNT: u32 = 64;
/// Longest wait for the first sample, in milliseconds.
const MAX_WAIT_MILLISECONDS: u32 = 30_000;
/// Time limit for the step's home to answer, to which the requested wait is added. Longer than the
/// 5 s for which a request is forwarded.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OpenBody {
    model: ModelName,
    prompts: Vec<String>,
    samples_per_prompt: u32,
    max_tokens: u32,
    /// Newest weight version that the trainer has published; 0 if it is not given.
    #[serde(default)]
    newest_version: WeightVersion,
}

/// Serves `/v1/groups/{group}/steps/{step}` and `.../samples`.
pub(crate) async fn serve(server: &Server, request: Request) -> Result<Response, ApiError> {
    let view = server.handle.view();
    let caller = authenticate(request.headers(), &view)?;
    require_role(&caller, &[Role::Trainer])?;
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.split('/').skip(3).collect();
    let (group, number, rest) = match parts.as_slice() {
        [group, "steps", number] => (*group, *number, None),
        [group, "steps", number, rest] => (*group, *number, Some(*rest)),
        _ => return Err(ApiError::not_found("the path does not exist")),
    };
    let group = GroupName::new(group);
    require_group(&caller, &group)?;
    let missing = || ApiError::not_found("the group does not exist or is not the caller's");
    let spec = view.catalogue.group(group.as_str()).ok_or_else(missing)?;
    if spec.trainer != caller.name {
        return Err(ApiError::forbidden("the caller is not the group's trainer"));
    }
    let step = number
        .parse()
        .map_err(|_| ApiError::bad_request("the step must be a whole number"))?;
    let id = StepId { group, step };
    let body = match (request.method(), rest) {
        (&Method::PUT, None) => {
            let body: OpenBody = server.read_json(request).await?;
            let newest_version = body.newest_version;
            let spec = Arc::new(step_spec(id.clone(), body, spec)?);
            StepRequest::Open {
                spec,
                newest_version,
            }
        }
        (&Method::GET, Some("samples")) => {
            fetch_request(id.clone(), request.uri().query().unwrap_or(""))?
        }
        (&Method::DELETE, None) => StepRequest::Close(id.clone()),
        _ => {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            return Err(ApiError::new(
                status,
                "method",
                "the allowed methods are PUT and DELETE of a step and GET of its samples",
            ));
        }
    };
    send(server, &id, body).await
}

/// Validates the body of an open request against the limits of the group.
fn step_spec(id: StepId, body: OpenBody, group: &ResearchGroupSpec) -> Result<StepSpec, ApiError> {
    let mut findings = Vec::new();
    if !group.models.contains(&body.model) {
        findings.push("model: must be one of the group's models".to_owned());
    }
    let slots = body.prompts.len() as u64 * u64::from(body.samples_per_prompt);
    let max = u64::from(group.limits.samples_per_step);
    if slots == 0 || slots > max {
        findings.push(format!(
            "prompts, samples_per_prompt: the step must have from 1 to {max} samples"
        ));
    }
    let max_tokens = group.limits.tokens_per_sample;
    if body.max_tokens == 0 || body.max_tokens > max_tokens {
        findings.push(format!("max_tokens: must be from 1 to {max_tokens}"));
    }
    if body.prompts.iter().any(String::is_empty) {
        findings.push("prompts: a prompt must not be empty".to_owned());
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

/// Parses the query of a request for samples.
fn fetch_request(step: StepId, query: &str) -> Result<StepRequest, ApiError> {
    let number = |key: &str, default: u64| match query_value(query, key) {
        None => Ok(default),
        Some(text) => text
            .parse::<u64>()
            .map_err(|_| ApiError::bad_request(format!("{key}: must be a whole number"))),
    };
    let clamp = |value: u64, max: u32| u32::try_from(value).unwrap_or(max).min(max);
    Ok(StepRequest::Fetch {
        step,
        cursor: query_value(query, "cursor").unwrap_or_default().to_owned(),
        newest_version: WeightVersion(number("newest_version", 0)?),
        count: clamp(number("count", u64::from(DEFAULT_SAMPLE_COUNT))?, u32::MAX),
        wait_milliseconds: clamp(number("wait_milliseconds", 0)?, MAX_WAIT_MILLISECONDS),
    })
}

/// Sends a request to the step's home and waits for the answer.
async fn send(server: &Server, id: &StepId, body: StepRequest) -> Result<Response, ApiError> {
    let wait = match &body {
        StepRequest::Fetch {
            wait_milliseconds, ..
        } => u64::from(*wait_milliseconds),
        _ => 0,
    };
    let limit = ANSWER_TIMEOUT + Duration::from_millis(wait);
    let request = server.handle.next_request();
    let event = Event::Step { request, body };
    let reply = server.handle.ask(request, event, limit).await;
    match reply {
        Some(Reply::Step(reply)) => answer(id, reply),
        Some(Reply::Refused(refusal)) => Err(refusal.into()),
        _ => Err(ApiError::unavailable("the step's home did not answer")
            .with_execution(Execution::Unknown)),
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
            let message = "the step is not open: open it again and continue with the cursor";
            Err(ApiError::new(
                StatusCode::NOT_FOUND,
                "unknown_step",
                message,
            ))
        }
        StepReply::Conflict => {
            let message = "the step is already open with other content";
            Err(ApiError::new(StatusCode::CONFLICT, "conflict", message))
        }
        StepReply::BadCursor => Err(ApiError::bad_request(
            "the cursor does not belong to this step",
        )),
        StepReply::TooManySteps => {
            let message = "the group has too many open steps";
            let mut error = ApiError::new(StatusCode::TOO_MANY_REQUESTS, "too_many_steps", message);
            error.retry_after = Some(Duration::from_secs(1));
            Err(error)
        }
    }
}

/// The JSON of a sample with its id, `{step}/{slot}`.
fn sample_json(step: &StepId, sample: &Sample) -> Value {
    let mut value = serde_json::to_value(sample).unwrap_or(Value::Null);
    value["id"] = json!(format!("{step}/{}", sample.slot));
    value
}
