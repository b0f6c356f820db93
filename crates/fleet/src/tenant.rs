//! Tenants and the API keys that identify them.

use crate::region::Regions;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// BLAKE3 digest of an API key. Views, messages, the log and disks contain digests only, never the
/// keys themselves.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest(#[serde(with = "serde_bytes")] [u8; 32]);

impl KeyDigest {
    /// Computes the digest of an API key, from the bytes that a caller or an operator sent.
    pub fn of(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }
}

/// Hides the digest, because a short key can be guessed from it.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// A group of callers that share API keys, usage counts and priority.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name of the tenant in requests to replicas and in usage reports.
    pub name: Arc<str>,
    /// Digests of the API keys. There are several during a key rotation.
    pub keys: Vec<KeyDigest>,
    /// Priority of the tenant's requests, where 0 is the most urgent; `None` for the priority of
    /// their route.
    pub priority: Option<u32>,
    /// Regions where the tenant's requests may be served and stored, if their route allows these
    /// regions as well.
    #[serde(default)]
    pub regions: Regions,
}

/// API keys that a call carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential {
    /// No key.
    Missing,
    /// One key.
    Key(KeyDigest),
    /// Several keys, which identify no tenant.
    Several,
}

/// Reason why a call is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The call needs a key and has none.
    KeyMissing,
    /// The call has more than one key.
    SeveralKeys,
    /// The key belongs to no tenant.
    KeyUnknown,
}

impl Denial {
    /// Returns the name of the reason in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::KeyMissing => "key_missing",
            Self::SeveralKeys => "several_keys",
            Self::KeyUnknown => "key_unknown",
        }
    }
}
