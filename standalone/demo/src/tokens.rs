//! Bearer tokens and resources of the demonstration's callers.

use brasspond_resource::{CallerSpec, Metadata, Object, Role, Spec};
use brasspond_types::GroupName;

/// Bearer token of a caller.
pub(crate) fn token(caller: &str) -> String {
    format!("demo-token-of-{caller}")
}

/// Builds a resource with default metadata and the given name.
pub(crate) fn object(name: &str, spec: Spec) -> Object {
    let metadata = Metadata {
        name: name.to_owned(),
        ..Metadata::default()
    };
    Object { metadata, spec }
}

/// Builds a caller resource that accepts the bearer token of [`token`].
pub(crate) fn caller(name: &str, role: Role, group: Option<&str>) -> Object {
    let spec = CallerSpec {
        token_digest: blake3::hash(token(name).as_bytes()).to_hex().to_string(),
        role,
        group: group.map(GroupName::new),
    };
    object(name, Spec::Caller(spec))
}
