//! Authentication and authorisation of callers.

use crate::errors::ApiError;
use crate::view::{KnownCaller, View};
use brasspond_resource::Role;
use brasspond_types::GroupName;
use hyper::StatusCode;
use hyper::header::{AUTHORIZATION, HeaderMap};

/// Finds the caller by the digest of its bearer token.
///
/// # Errors
/// The token is missing or unknown.
pub(crate) fn authenticate(headers: &HeaderMap, view: &View) -> Result<KnownCaller, ApiError> {
    let unauthorized = || {
        ApiError::new(
            StatusCode::UNAUTHORIZED,
            "unauthorized",
            "a valid bearer token is required",
        )
    };
    let value = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let token = value
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(unauthorized)?;
    let digest = blake3::hash(token.trim().as_bytes()).to_hex().to_string();
    view.callers.get(&digest).cloned().ok_or_else(unauthorized)
}

/// Checks that the caller has one of the roles.
pub(crate) fn require_role(caller: &KnownCaller, roles: &[Role]) -> Result<(), ApiError> {
    if roles.contains(&caller.spec.role) {
        return Ok(());
    }
    Err(ApiError::forbidden("the caller's role does not allow this"))
}

/// Checks that the caller belongs to the group. The error is the same as for a missing group, so
/// that callers cannot find out which groups exist.
pub(crate) fn require_group(caller: &KnownCaller, group: &GroupName) -> Result<(), ApiError> {
    if caller.spec.group.as_ref() == Some(group) {
        return Ok(());
    }
    Err(ApiError::not_found(
        "the group does not exist or is not the caller's",
    ))
}
