//! A single run of an item at its replica: sends the request and reads the stream of events.
//!
//! The leader chooses the replica and decides whether the item runs again. Evacuation of the
//! replica's zone, the deadline of the clearance and the work lease are checked again right before
//! the request is sent.

use super::attempts::ITEM_HEAD_TIMEOUT;
use super::headers::header_number;
use super::process::Edge;
use super::runs::Progress;
use super::stream::{EventReader, StreamEnd};
use crate::clock::{Moment, within};
use crate::platform::HeaderNames;
use crate::upstream::{Connection, UpstreamError};
use brasspond_cluster_protocol::{RunEnd, RunSpec, StreamEvent};
use brasspond_eligibility::Clearance;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{Method, Request, Response, StatusCode};
use std::cell::RefCell;

/// Runs an item on its replica, adds the events to `progress` and returns how the run ended.
pub(super) async fn run_item(
    edge: &Edge,
    spec: &RunSpec,
    clearance: &Clearance,
    progress: &RefCell<Progress>,
) -> RunEnd {
    let end = run_to_end(edge, spec, clearance, progress).await;
    end.unwrap_or_else(|end| end)
}

/// Makes a run and returns [`RunEnd::Whole`] if the text is complete.
///
/// # Errors
/// How the run ended if the text is not complete.
async fn run_to_end(
    edge: &Edge,
    spec: &RunSpec,
    clearance: &Clearance,
    progress: &RefCell<Progress>,
) -> Result<RunEnd, RunEnd> {
    let request = build_request(edge, spec).ok_or(RunEnd::Impossible)?;
    // The replica may have become ineligible during the wait for the lease.
    if edge.await_work_lease().await && edge.authorize_run(spec).is_err() {
        // Nothing was sent and the replica is not at fault, so the item is queued again.
        return Err(RunEnd::Cancelled);
    }
    let mut connection = connect(edge, clearance).await?;
    let response = send(edge, spec, &mut connection, request).await?;
    let (head, body) = response.into_parts();
    let version = check_head(edge.platform.wire.names(), spec, &head)?;
    read_events(edge, spec, EventReader::new(body, version), progress).await?;
    edge.pool.release(connection);
    Ok(RunEnd::Whole)
}

/// Takes a connection and checks that the request may still be sent.
///
/// # Errors
/// How the run ends if there is no connection or the request must not be sent.
async fn connect(edge: &Edge, clearance: &Clearance) -> Result<Connection, RunEnd> {
    let connection = edge.pool.take(clearance).await;
    let connection = connection.map_err(|_| RunEnd::Unreachable)?;
    let end = if !edge.is_zone_in_service(clearance) {
        RunEnd::NotRun {
            other_replica: false,
        }
    } else if !clearance.is_in_time(edge.clock.now()) {
        RunEnd::Unsent
    } else if !edge.may_begin_work() {
        // The replica is not at fault, so the item is queued again.
        RunEnd::Cancelled
    } else {
        return Ok(connection);
    };
    edge.pool.release(connection);
    Err(end)
}

async fn send(
    edge: &Edge,
    spec: &RunSpec,
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, RunEnd> {
    match within(ITEM_HEAD_TIMEOUT, connection.send(request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(UpstreamError::NotSent)) => Err(RunEnd::Unreachable),
        Ok(Err(UpstreamError::Broken | UpstreamError::Invalid)) => Err(RunEnd::Broken),
        Err(_) => {
            edge.pool.close_idle(spec.address);
            Err(RunEnd::Broken)
        }
    }
}

/// Checks the response head and returns the version of the weights at the start of the response.
/// Without a version header the version is 0; the header may be missing only if the run continues
/// earlier events or the item has no minimum version.
///
/// # Errors
/// How the run ends if the head is not acceptable.
fn check_head(names: &HeaderNames, spec: &RunSpec, head: &response::Parts) -> Result<u64, RunEnd> {
    let belongs_to_item = head
        .headers
        .get(&names.request_id)
        .is_none_or(|id| id.as_bytes() == spec.item_id.as_bytes());
    if !belongs_to_item {
        return Err(RunEnd::Broken);
    }
    let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    if head.headers.contains_key(&names.not_run) || is_misdirected {
        return Err(RunEnd::NotRun {
            other_replica: is_misdirected,
        });
    }
    match head.status {
        StatusCode::OK => {}
        StatusCode::UNPROCESSABLE_ENTITY => return Err(RunEnd::Impossible),
        StatusCode::INTERNAL_SERVER_ERROR => return Err(RunEnd::Failed),
        _ => return Err(RunEnd::Broken),
    }
    if !head.headers.contains_key(&names.signature) {
        return Err(RunEnd::Broken);
    }
    match header_number(&head.headers, &names.version) {
        Some(version) if version < spec.min_version => Err(RunEnd::TooOld),
        Some(version) => Ok(version),
        // A response without further events has no version header.
        None if spec.events.is_empty() && spec.min_version > 0 => Err(RunEnd::TooOld),
        None => Ok(0),
    }
}

/// Reads events until the text is complete.
async fn read_events(
    edge: &Edge,
    spec: &RunSpec,
    mut reader: EventReader,
    progress: &RefCell<Progress>,
) -> Result<(), RunEnd> {
    loop {
        match reader.next(&*edge.platform.wire).await {
            Ok(event) => {
                let mut progress = progress.borrow_mut();
                check_event(spec, progress.events(), &event)?;
                progress.push(event, Moment::now());
            }
            Err(StreamEnd::Complete) => return Ok(()),
            Err(StreamEnd::Broken) => return Err(RunEnd::Broken),
        }
    }
}

/// Checks that an event has the next id and that the item allows its version of the weights.
///
/// # Errors
/// How the run ends if the event is not acceptable.
fn check_event(spec: &RunSpec, before: &[StreamEvent], event: &StreamEvent) -> Result<(), RunEnd> {
    if event.version < spec.min_version {
        return Err(RunEnd::TooOld);
    }
    let last = before.last().map_or(0, |last| last.id);
    if event.id != last + 1 {
        return Err(RunEnd::Broken);
    }
    let first = before.first().map(|first| first.version);
    if spec.single_version && first.is_some_and(|first| first != event.version) {
        return Err(RunEnd::Mixed);
    }
    Ok(())
}

fn build_request(edge: &Edge, spec: &RunSpec) -> Option<Request<Full<Bytes>>> {
    let names = edge.platform.wire.names();
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(&spec.path)
        .header(hyper::header::HOST, &spec.host)
        .header(&names.request_id, &spec.item_id)
        .header(&names.required_replica, &spec.replica);
    for (name, value) in &spec.headers {
        let is_reserved = names.credential.as_str().eq_ignore_ascii_case(name)
            || names.tenant.as_str().eq_ignore_ascii_case(name);
        if !is_reserved {
            builder = builder.header(name, value);
        }
    }
    if let Some(tenant) = &spec.tenant {
        builder = builder.header(&names.tenant, &**tenant);
    }
    if let Some(last) = spec.events.last() {
        builder = builder.header(&names.last_event_id, last.id);
    }
    builder.body(Full::new(spec.body.clone())).ok()
}

#[cfg(test)]
#[path = "../../tests/unit/item_run.rs"]
mod tests;
