//! Calls that submit jobs, read their results and bodies, and end them. Storage processes answer
//! these calls.

use super::body_reader::BodyError;
use super::forward::Admitted;
use super::front::deny;
use super::headers::host_of;
use super::process::Edge;
use super::questions::AskError;
use super::request_body::RequestBody;
use super::residency::RegionRefusal;
use super::responses::{Body, json, plain, unknown_outcome};
use super::retry_after::Missing;
use crate::clock::Moment;
use crate::platform::{Call, SubmissionCall};
use brasspond_cluster_protocol::{Answer, Question};
use bytes::Bytes;
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of a call that submits or ends a job.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Timeout of a read, in addition to the wait that the caller requests. Callers disconnect 1.5 s
/// after that wait.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time without a leader after which a read fails with 503, in ms, so that the caller tries another
/// edge.
const READ_LEADERLESS_LIMIT_MS: u64 = 400;
/// Time without a leader after which a call that submits or ends a job fails, in ms. It is longer
/// than most elections, so that large submissions are rarely repeated.
const CHANGE_LEADERLESS_LIMIT_MS: u64 = 1_500;
/// Maximum wait of a long poll for results, in ms, as the platform's protocol defines it.
const MAX_POLL_MS: u64 = 1_000;

/// Authenticates a call about a job and returns its tenant.
///
/// # Errors
/// The response that rejects the call.
pub(super) async fn admit_job_call(
    edge: &Edge,
    head: &Parts,
) -> Result<Option<Arc<str>>, Box<Response<Body>>> {
    let Some(index) = edge.known_index(&head.headers).await else {
        return Err(Box::new(edge.reject(Missing::Configuration, 0)));
    };
    let credential = edge.platform.wire.credential(&head.headers);
    let is_public = index.has_public_jobs(&host_of(head));
    match index.admit(credential, is_public) {
        Ok(tenant) => Ok(tenant.map(|tenant| Arc::clone(&tenant.name))),
        Err(denial) => {
            let version = index.configuration().version;
            Err(Box::new(deny(edge, head, denial, version)))
        }
    }
}

/// Handles a call about a job.
pub(super) async fn job_call(
    edge: &Rc<Edge>,
    call: Call,
    tenant: Option<Arc<str>>,
) -> Response<Body> {
    match call {
        Call::Results {
            job,
            since,
            wait_ms,
        } => {
            let wait_ms = wait_ms.min(MAX_POLL_MS);
            let question = Question::Results {
                job,
                since,
                wait_ms,
                tenant,
            };
            results(edge, question, wait_ms).await
        }
        Call::Body { job, item } => item_body(edge, Question::Body { job, item, tenant }).await,
        Call::End { job } => end(edge, Question::End { job, tenant }).await,
        Call::Unknown | Call::Request => plain(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

/// Name and job of a call, for logs and metrics.
pub(super) struct JobCall {
    name: &'static str,
    job: String,
}

impl JobCall {
    /// Returns `None` if the call is not about a job.
    pub fn of(call: &Call) -> Option<Self> {
        let (name, job) = match call {
            Call::Results { job, .. } => ("results", job),
            Call::Body { job, .. } => ("body", job),
            Call::End { job } => ("end", job),
            Call::Unknown | Call::Request => return None,
        };
        Some(Self {
            name,
            job: job.clone(),
        })
    }

    /// Records the call in the metrics and, unless it is a successful read, in the log.
    pub fn log(&self, edge: &Edge, status: StatusCode, started: Moment) {
        let elapsed = started.elapsed();
        let code = status.as_u16();
        edge.metrics
            .job_call(self.name, &code.to_string(), elapsed.as_secs_f64());
        if !status.is_success() || self.name == "end" {
            log::info!(
                "event=job_call call={} job={} status={code} elapsed_ms={} leader_known={}",
                self.name,
                self.job,
                elapsed.as_millis(),
                edge.storage.borrow().contact.leader().is_some()
            );
        }
    }
}

/// Submits a job; responds 202 once a quorum has stored it.
pub(super) async fn submit(
    edge: &Rc<Edge>,
    head: &Parts,
    admitted: &Admitted<'_>,
    body: RequestBody,
    arrived: Moment,
) -> Response<Body> {
    let names = edge.platform.wire.names();
    let id = head.headers.get(&names.request_id);
    let Some(id) = id.and_then(|id| id.to_str().ok()) else {
        return plain(StatusCode::BAD_REQUEST, Bytes::new());
    };
    // What is sent to the leader is at most as long as the body.
    if !body.claim_more(body.bytes.len() as u64, edge.clock.now()) {
        edge.metrics.body_refused(BodyError::NoRoom.name());
        log::info!("event=job_refused job={id} reason=no_room");
        return edge.reject(Missing::Memory, admitted.route.priority);
    }
    let call = SubmissionCall {
        id,
        host: &host_of(head),
        path: head.uri.path(),
        tenant: admitted.tenant.map(|tenant| Arc::clone(&tenant.name)),
    };
    let submission = match edge.platform.wire.submission(call, &body.bytes) {
        Ok(submission) => submission,
        Err(problem) => {
            log::info!("event=job_refused job={id} problem=\"{problem}\"");
            return plain(StatusCode::BAD_REQUEST, Bytes::from(problem));
        }
    };
    if let Err(refusal) = edge.check_submission(admitted.route, &submission) {
        return edge.refuse_for_regions(id, admitted.route, refusal);
    }
    // The body is not needed while the leader is asked.
    let _reservation = body.replace(submission.encoded_bytes() as u64);
    let deadline = arrived + CHANGE_TIMEOUT;
    let answer = edge
        .ask(
            &submission,
            Duration::ZERO,
            deadline,
            CHANGE_LEADERLESS_LIMIT_MS,
        )
        .await;
    let (outcome, response) = submit_response(edge, id, admitted, answer);
    let elapsed = arrived.elapsed();
    log::info!(
        "event=job_call call=submit job={id} outcome={outcome} status={} elapsed_ms={}",
        response.status().as_u16(),
        elapsed.as_millis()
    );
    edge.metrics
        .job_call("submit", outcome, elapsed.as_secs_f64());
    response
}

/// Outcome of a submission for logs and metrics, and the response to the caller.
fn submit_response(
    edge: &Edge,
    id: &str,
    admitted: &Admitted<'_>,
    answer: Result<Answer, AskError>,
) -> (&'static str, Response<Body>) {
    match answer {
        Ok(Answer::Done) => ("taken", plain(StatusCode::ACCEPTED, Bytes::new())),
        Ok(Answer::Taken) => ("other_tenant", plain(StatusCode::CONFLICT, Bytes::new())),
        Ok(Answer::Evacuated) => ("evacuated", edge.reject(Missing::Zone, 0)),
        Ok(Answer::NoMemory) => ("no_memory", edge.reject(Missing::JobMemory, 0)),
        Ok(Answer::OutsideRegions) => (
            "outside_regions",
            edge.refuse_for_regions(id, admitted.route, RegionRefusal::Members),
        ),
        Err(AskError::NotAsked) => ("no_leader", edge.reject(Missing::Leader, 0)),
        Ok(_) | Err(AskError::Uncertain) => {
            ("unknown", unknown_outcome(StatusCode::GATEWAY_TIMEOUT))
        }
    }
}

async fn results(edge: &Rc<Edge>, question: Question, wait_ms: u64) -> Response<Body> {
    let wait = Duration::from_millis(wait_ms);
    let deadline = Moment::now() + wait + READ_TIMEOUT;
    let answer = edge.ask_results(question, wait, deadline, READ_LEADERLESS_LIMIT_MS);
    match answer.await {
        Ok(Answer::Page(Some(page))) => json(edge.platform.wire.page(&page)),
        Ok(Answer::Page(None)) => plain(StatusCode::NOT_FOUND, Bytes::new()),
        Ok(_) | Err(_) => edge.reject(Missing::Answer, 0),
    }
}

async fn item_body(edge: &Rc<Edge>, question: Question) -> Response<Body> {
    let deadline = Moment::now() + READ_TIMEOUT;
    let answer = edge.ask(
        &question,
        Duration::ZERO,
        deadline,
        READ_LEADERLESS_LIMIT_MS,
    );
    match answer.await {
        Ok(Answer::Body(Ok(body))) => plain(StatusCode::OK, body),
        Ok(Answer::Body(Err(_))) => plain(StatusCode::NOT_FOUND, Bytes::new()),
        Ok(_) | Err(_) => edge.reject(Missing::Answer, 0),
    }
}

async fn end(edge: &Rc<Edge>, question: Question) -> Response<Body> {
    let deadline = Moment::now() + CHANGE_TIMEOUT;
    let answer = edge.ask(
        &question,
        Duration::ZERO,
        deadline,
        CHANGE_LEADERLESS_LIMIT_MS,
    );
    match answer.await {
        Ok(Answer::Done) => plain(StatusCode::OK, Bytes::new()),
        Ok(Answer::Page(None)) => plain(StatusCode::NOT_FOUND, Bytes::new()),
        Ok(_) | Err(_) => edge.reject(Missing::Answer, 0),
    }
}
