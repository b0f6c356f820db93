//! Bearer tokens of the demonstration's callers, and their resources.

use brasspond_resource::{CallerSpec, Metadata, Object, Role, Spec};
use brasspond_types::GroupName;

/// Token of a caller of the demonstration.
pub(crate) fn token(caller: &str) -> String {
    format!("demo-token-of-{caller}")
}

/// An object of a kind with a name.
pub(crate) fn object(name: &str, spec: Spec) -> Object {
    let metadata = Metadata {
        name: name.to_owned(),
        ..Metadata::default()
    };
    Object { metadata, spec }
}

/// A caller with the demonstration's token.
pub(crate) fn caller(name: &str, role: Role, group: Option<&str>) -> Object {
    let spec = CallerSpec {
        token_digest: blake3::hash(token(name).as_bytes()).to_hex().to_string(),
        role,
        group: group.map(GroupName::new),
    };
    object(name, Spec::Caller(spec))
}
