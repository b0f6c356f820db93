//! The content of a request, and the digest that identifies it.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Length of a digest, in bytes. Accidental collisions of 128-bit digests are negligible.
const DIGEST_BYTES: usize = 16;
/// Length of the digest prefix shown in logs, in bytes.
const DISPLAYED_BYTES: usize = 8;

/// The parts of a request that stay the same in every retry. The request id and the headers are
/// excluded, because they differ from one attempt to the next.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// HTTP method, such as `POST`.
    pub method: &'a str,
    /// Requested host.
    pub host: &'a str,
    /// Requested path with its query.
    pub path: &'a str,
    /// Name of the tenant; `None` if callers need no API key.
    pub tenant: Option<&'a str>,
    /// Complete body.
    pub body: &'a [u8],
}

/// The BLAKE3 digest of a [`RequestContent`]. Cases and logs contain the digest in place of the
/// body.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(#[serde(with = "serde_bytes")] [u8; DIGEST_BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of a content.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let mut hasher = blake3::Hasher::new();
        let tenant = content.tenant.unwrap_or_default().as_bytes();
        let parts = [
            content.method.as_bytes(),
            content.host.as_bytes(),
            content.path.as_bytes(),
            tenant,
            content.body,
        ];
        for part in parts {
            // The length prefix distinguishes contents whose concatenated parts are equal.
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let mut digest = [0; DIGEST_BYTES];
        hasher.finalize_xof().fill(&mut digest);
        Self(digest)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in &self.0[..DISPLAYED_BYTES] {
            write!(formatter, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Fingerprint({self})")
    }
}
