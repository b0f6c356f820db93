//! JSON encoding of changes.

use crate::replica::{Change, Operation};
use brasspond_resource::{Kind, ObjectKey, Revision, object_from_json, object_to_json};
use serde_json::{Value, json};

/// Encodes a change as JSON.
pub fn change_to_json(change: &Change) -> Value {
    let (kind, object) = match &change.operation {
        Operation::Put(object) => ("PUT", object_to_json(object)),
        Operation::Remove(key) => (
            "DELETE",
            json!({ "kind": key.kind.name(), "metadata": { "name": key.name } }),
        ),
    };
    json!({
        "previous": change.previous.0,
        "revision": change.revision.0,
        "type": kind,
        "object": object,
    })
}

/// Decodes a change. Returns `None` if the value is not a valid change.
pub fn change_from_json(value: &Value) -> Option<Change> {
    let object = &value["object"];
    let operation = match value["type"].as_str()? {
        "PUT" => Operation::Put(Box::new(object_from_json(object).ok()?)),
        "DELETE" => Operation::Remove(ObjectKey {
            kind: Kind::find(object["kind"].as_str()?)?,
            name: object["metadata"]["name"].as_str()?.to_owned(),
        }),
        _ => return None,
    };
    Some(Change {
        previous: Revision(value["previous"].as_u64()?),
        revision: Revision(value["revision"].as_u64()?),
        operation,
    })
}
