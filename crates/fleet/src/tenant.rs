//! Tenants, and the API keys by which their callers name them.

use crate::region::Regions;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// The BLAKE3 digest of an API key. Keys themselves are kept nowhere: views, messages, the log and
/// disks have digests only.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest(#[serde(with = "serde_bytes")] [u8; 32]);

impl KeyDigest {
    /// The digest of a key as a caller or an operator sent it.
    pub fn of(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }
}

/// Shows no digest: a key may be short enough to be guessed from one.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// Callers that share keys, usage and priority.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name, as replicas and usage reports have it.
    pub name: Arc<str>,
    /// Digests of its keys; several while one replaces another.
    pub keys: Vec<KeyDigest>,
    /// Rank of its requests, in place of their route's; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Where its requests may be served and kept, as far as their route allows it too.
    #[serde(default)]
    pub regions: Regions,
}

/// The API keys that came with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential {
    /// None.
    Missing,
    /// One.
    Key(KeyDigest),
    /// Several, which name no tenant.
    Several,
}

/// Why a call is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It needs a key and has none.
    KeyMissing,
    /// It has more than one key.
    SeveralKeys,
    /// The key belongs to no tenant.
    KeyUnknown,
}

impl Denial {
    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::KeyMissing => "key_missing",
            Self::SeveralKeys => "several_keys",
            Self::KeyUnknown => "key_unknown",
        }
    }
}
