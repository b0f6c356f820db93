//! HTTP interface for operators: resources that follow the Kubernetes object conventions.

use crate::auth::{authenticate, require_role};
use crate::errors::{ApiError, Execution};
use crate::server::{Server, query_value};
use crate::view::View;
use brasspond_control::{Event, Reply, WriteOperation, WriteReply};
use brasspond_http::{Request, Response, json_response};
use brasspond_resource::{
    Kind, Object, ObjectKey, Revision, Role, Spec, object_from_json, object_to_json,
};
use brasspond_types::GroupName;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use std::time::Duration;

/// Time limit for the control logic to report the outcome of a write. Longer than the 5 s after
/// which it reports an unknown outcome.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time that a watch waits, in milliseconds.
const MAX_WATCH_MILLISECONDS: u64 = 30_000;
/// Time between two checks of the revision during a watch.
const WATCH_POLL_PERIOD: Duration = Duration::from_millis(50);
/// Ratio of received to declared share above which a group counts as over its share.
const OVER_SHARE_RATIO: f64 = 1.03;

/// Serves `/apis/brasspond.dev/v1/{plural}` and `.../{name}`.
pub(crate) async fn serve(
    server: &Server,
    request: Request,
    rest: &str,
) -> Result<Response, ApiError> {
    let view = server.handle.view();
    let caller = authenticate(request.headers(), &view)?;
    let is_read = request.method() == Method::GET;
    let roles: &[Role] = if is_read {
        &[Role::Operator, Role::Viewer]
    } else {
        &[Role::Operator]
    };
    require_role(&caller, roles)?;
    let (plural, name) = rest
        .split_once('/')
        .map_or((rest, None), |(kind, name)| (kind, Some(name)));
    let kind = Kind::find(plural)
        .ok_or_else(|| ApiError::not_found("the resource kind does not exist"))?;
    let query = request.uri().query().unwrap_or("").to_owned();
    match (request.method(), name) {
        (&Method::GET, None) if query_value(&query, "watch") == Some("true") => {
            watch(server, kind, &query).await
        }
        (&Method::GET, None) => Ok(json_response(StatusCode::OK, &list(&view, kind))),
        (&Method::GET, Some(name)) => {
            let key = ObjectKey {
                kind,
                name: name.to_owned(),
            };
            let object = view.catalogue.get(&key);
            let object =
                object.ok_or_else(|| ApiError::not_found(format!("{key} does not exist")))?;
            Ok(json_response(StatusCode::OK, &with_status(object, &view)))
        }
        (&Method::PUT, Some(name)) => {
            let key = ObjectKey {
                kind,
                name: name.to_owned(),
            };
            put(server, request, key, &query).await
        }
        (&Method::DELETE, Some(name)) => {
            let key = ObjectKey {
                kind,
                name: name.to_owned(),
            };
            let expected = query_value(&query, "resourceVersion");
            let expected = expected.and_then(|text| text.parse().ok()).map(Revision);
            write(server, WriteOperation::Remove(key), expected).await
        }
        _ => {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            Err(ApiError::new(
                status,
                "method",
                "the allowed methods are GET, PUT and DELETE",
            ))
        }
    }
}

fn list(view: &View, kind: Kind) -> Value {
    let objects = view.catalogue.of_kind(kind);
    let items: Vec<Value> = objects.map(|object| with_status(object, view)).collect();
    json!({
        "apiVersion": brasspond_resource::API_VERSION,
        "kind": format!("{}List", kind.name()),
        "metadata": { "resourceVersion": view.catalogue.revision.to_string() },
        "items": items,
    })
}

/// Waits until the revision is newer than that of the query or the wait ends, then returns the
/// objects that changed since and the names of all objects of the kind.
async fn watch(server: &Server, kind: Kind, query: &str) -> Result<Response, ApiError> {
    let number = |key: &str| query_value(query, key).and_then(|text| text.parse::<u64>().ok());
    let from = Revision(number("resourceVersion").unwrap_or(0));
    let wait = number("timeoutMilliseconds")
        .unwrap_or(MAX_WATCH_MILLISECONDS)
        .min(MAX_WATCH_MILLISECONDS);
    let until = tokio::time::Instant::now() + Duration::from_millis(wait);
    let mut view = server.handle.view();
    while view.catalogue.revision <= from && tokio::time::Instant::now() < until {
        tokio::time::sleep(WATCH_POLL_PERIOD).await;
        view = server.handle.view();
    }
    let objects: Vec<&Object> = view.catalogue.of_kind(kind).collect();
    let changed = objects
        .iter()
        .filter(|object| object.metadata.resource_version > from);
    let items: Vec<Value> = changed.map(|object| with_status(object, &view)).collect();
    let names: Vec<&str> = objects
        .iter()
        .map(|object| object.metadata.name.as_str())
        .collect();
    let body = json!({
        "metadata": { "resourceVersion": view.catalogue.revision.to_string() },
        "items": items,
        "names": names,
    });
    Ok(json_response(StatusCode::OK, &body))
}

/// Validates and writes an object; with `dryRun` it only validates it and its expected revision.
async fn put(
    server: &Server,
    request: Request,
    key: ObjectKey,
    query: &str,
) -> Result<Response, ApiError> {
    let value: Value = server.read_json(request).await?;
    let object = object_from_json(&value).map_err(|findings| {
        let mut error = ApiError::new(
            StatusCode::UNPROCESSABLE_ENTITY,
            "invalid",
            "the resource is not valid",
        );
        error.findings = findings.iter().map(ToString::to_string).collect();
        error
    })?;
    if object.key() != key {
        return Err(ApiError::bad_request("kind or name differs from the path"));
    }
    let has_version = value["metadata"]["resourceVersion"].is_string();
    let expected = has_version.then_some(object.metadata.resource_version);
    if query_value(query, "dryRun").is_some() {
        let view = server.handle.view();
        let current = view.catalogue.get(&key);
        let current = current.map_or(Revision(0), |object| object.metadata.resource_version);
        if expected.is_some_and(|expected| expected != current) {
            return Err(conflict());
        }
        return Ok(json_response(StatusCode::OK, &object_to_json(&object)));
    }
    write(server, WriteOperation::Put(Box::new(object)), expected).await
}

fn conflict() -> ApiError {
    let message = "the resource has changed: read it again";
    ApiError::new(StatusCode::CONFLICT, "conflict", message)
}

async fn write(
    server: &Server,
    operation: WriteOperation,
    expected: Option<Revision>,
) -> Result<Response, ApiError> {
    let request = server.handle.next_request();
    let event = Event::Write {
        request,
        operation,
        expected,
    };
    let reply = server.handle.ask(request, event, WRITE_TIMEOUT).await;
    match reply {
        Some(Reply::Write(WriteReply::Accepted(revision))) => {
            let body = json!({ "resourceVersion": revision.to_string() });
            Ok(json_response(StatusCode::OK, &body))
        }
        Some(Reply::Write(WriteReply::Conflict)) => Err(conflict()),
        Some(Reply::Write(WriteReply::NotWritten)) => Err(ApiError::unavailable(
            "the store cannot be reached; nothing was written",
        )),
        _ => {
            let error = ApiError::unavailable("the store did not answer; read the resource again");
            Err(error.with_execution(Execution::Unknown))
        }
    }
}

/// The JSON of an object with its status: whether it is in force on all nodes and, for a group,
/// its declared and received share.
fn with_status(object: &Object, view: &View) -> Value {
    let mut value = object_to_json(object);
    let revision = object.metadata.resource_version;
    let in_force = view.fleet.revision_in_force >= revision;
    let condition = |kind: &str, holds: bool, message: String| json!({ "type": kind, "status": if holds { "True" } else { "False" }, "message": message });
    let message = format!(
        "oldest revision in force on {} nodes: {}",
        view.fleet.nodes, view.fleet.revision_in_force
    );
    let mut conditions = vec![condition("InForce", in_force, message)];
    let mut status = json!({
        "observedGeneration": if in_force { object.metadata.generation } else { 0 },
        "nodes": view.fleet.nodes,
        "revisionInForce": view.fleet.revision_in_force.to_string(),
    });
    if let Spec::ResearchGroup(spec) = &object.spec {
        let shares = view.catalogue.shares();
        let declared = spec.share / shares.values().sum::<f64>().max(f64::MIN_POSITIVE);
        let total: f64 = view.fleet.usage.values().sum();
        let name = GroupName::new(&object.metadata.name);
        let served = view.fleet.usage.get(&name).copied().unwrap_or(0.0);
        let received = if total > 0.0 { served / total } else { 0.0 };
        status["share"] =
            json!({ "declared": declared, "received": received, "servedTokens": served });
        let is_over = received > declared * OVER_SHARE_RATIO;
        let message = format!("received {received:.3} of the pool, declared {declared:.3}");
        conditions.push(condition("OverShare", is_over, message));
    }
    status["conditions"] = Value::Array(conditions);
    value["status"] = status;
    value
}
