//! Calls to the platform's object store.

use crate::handle::Handle;
use brasspond_control::{Event, PutResult, StoreCall, StoreEvent, WriteOperation};
use brasspond_dissemination::{Change, change_from_json};
use brasspond_http::{CallError, Client};
use brasspond_resource::{
    API_VERSION, Catalogue, ObjectKey, Revision, object_from_json, object_to_json,
};
use hyper::{Method, StatusCode};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Time limit for the store to answer a read or a write.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for the store to answer a watch. Equals twice the 5 s for which the stand-in holds a
/// watch open.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a call to the store and sends its result to the decisions thread.
pub(crate) async fn call(client: Client, handle: Handle, store: SocketAddr, call: StoreCall) {
    let event = match call {
        StoreCall::List => list(&client, store).await,
        StoreCall::Watch(from) => watch(&client, store, from).await,
        StoreCall::Write {
            write,
            operation,
            expected,
        } => {
            let result = put(&client, store, operation, expected).await;
            StoreEvent::Written { write, result }
        }
        StoreCall::Find { write, key } => {
            let object = find(&client, store, &key).await;
            StoreEvent::Found { write, object }
        }
    };
    handle.send(Event::Store(event)).await;
}

fn object_path(key: &ObjectKey) -> String {
    format!("/apis/{API_VERSION}/{key}")
}

async fn list(client: &Client, store: SocketAddr) -> StoreEvent {
    let path = format!("/apis/{API_VERSION}/objects");
    let answer: Result<Value, CallError> = client
        .call(Method::GET, store, &path, None::<&()>, CALL_TIMEOUT)
        .await;
    match answer.ok().and_then(|list| catalogue_from_json(&list)) {
        Some(catalogue) => StoreEvent::Listed(Box::new(catalogue)),
        None => StoreEvent::ReadFailed,
    }
}

fn catalogue_from_json(list: &Value) -> Option<Catalogue> {
    let mut catalogue = Catalogue::default();
    for item in list["items"].as_array()? {
        catalogue.put(object_from_json(item).ok()?);
    }
    catalogue.revision = Revision(list["resourceVersion"].as_str()?.parse().ok()?);
    Some(catalogue)
}

async fn watch(client: &Client, store: SocketAddr, from: Revision) -> StoreEvent {
    let path = format!("/apis/{API_VERSION}/objects?watch=true&resourceVersion={from}");
    let answer: Result<Value, CallError> = client
        .call(Method::GET, store, &path, None::<&()>, WATCH_TIMEOUT)
        .await;
    let changes = answer.ok().and_then(|answer| {
        let changes = answer["changes"].as_array()?.iter().map(change_from_json);
        changes.collect::<Option<Vec<Change>>>()
    });
    changes.map_or(StoreEvent::ReadFailed, StoreEvent::Changed)
}

/// Writes or removes an object. The result is `Lost` if the write may have taken effect.
async fn put(
    client: &Client,
    store: SocketAddr,
    operation: WriteOperation,
    expected: Option<Revision>,
) -> PutResult {
    let answer: Result<Value, CallError> = match operation {
        WriteOperation::Put(object) => {
            let mut body = object_to_json(&object);
            body["metadata"]["resourceVersion"] = match expected {
                Some(expected) => Value::String(expected.to_string()),
                None => Value::Null,
            };
            if let Some(metadata) = body["metadata"].as_object_mut() {
                metadata.retain(|_, value| !value.is_null());
            }
            let path = object_path(&object.key());
            client
                .call(Method::PUT, store, &path, Some(&body), CALL_TIMEOUT)
                .await
        }
        WriteOperation::Remove(key) => {
            let version = expected.map(|expected| format!("?resourceVersion={expected}"));
            let path = object_path(&key) + &version.unwrap_or_default();
            client
                .call(Method::DELETE, store, &path, None::<&()>, CALL_TIMEOUT)
                .await
        }
    };
    match answer {
        Ok(answer) => {
            let revision = answer["resourceVersion"]
                .as_str()
                .and_then(|text| text.parse().ok());
            revision.map_or(PutResult::Lost, |revision| {
                PutResult::Done(Revision(revision))
            })
        }
        Err(CallError::Status(StatusCode::CONFLICT | StatusCode::NOT_FOUND)) => PutResult::Conflict,
        Err(CallError::Status(StatusCode::SERVICE_UNAVAILABLE) | CallError::NotSent) => {
            PutResult::NotSent
        }
        Err(_) => PutResult::Lost,
    }
}

/// Reads an object: `Some(None)` if it does not exist, `None` if the read failed.
async fn find(
    client: &Client,
    store: SocketAddr,
    key: &ObjectKey,
) -> Option<Option<Box<brasspond_resource::Object>>> {
    let answer: Result<Value, CallError> = client
        .call(
            Method::GET,
            store,
            &object_path(key),
            None::<&()>,
            CALL_TIMEOUT,
        )
        .await;
    match answer {
        Ok(value) => object_from_json(&value)
            .ok()
            .map(|object| Some(Box::new(object))),
        Err(CallError::Status(StatusCode::NOT_FOUND)) => Some(None),
        Err(_) => None,
    }
}
