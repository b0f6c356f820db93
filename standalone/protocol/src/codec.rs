//! Encoding and authentication of envelopes.
//!
//! A sealed message consists of a seal and the envelope in MessagePack. The seal is a keyed
//! BLAKE3 digest of the encoded envelope, truncated to 16 bytes.

use crate::envelope::{Envelope, PROTOCOL_VERSION};
use displaydoc::Display;

/// Length of a key, in bytes.
pub const KEY_BYTES: usize = 32;
/// Length of the seal, in bytes.
const SEAL_BYTES: usize = 16;
/// Maximum size of a message sent as a datagram, in bytes. A datagram of this size fits into one
/// Ethernet frame together with the IPv6 and UDP headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Maximum size of an accepted message, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Secret key that all nodes share.
pub type Key = [u8; KEY_BYTES];

/// Why a message cannot be sealed or opened.
#[derive(Debug, Display)]
pub enum CodecError {
    /// the message is too short or too long
    Length,
    /// no key matches the seal, or no key is configured
    Seal,
    /// the message cannot be decoded: {0}
    Decode(rmp_serde::decode::Error),
    /// the message cannot be encoded: {0}
    Encode(rmp_serde::encode::Error),
    /// protocol version {0} is not supported
    Version(u16),
}

impl std::error::Error for CodecError {}

/// Seals messages with its first key and opens messages sealed with any of its keys.
///
/// Keys can therefore be rotated without downtime in three steps: append the new key, move it to
/// the front, and remove the old key. Each step must reach all nodes before the next one starts.
#[derive(Clone)]
pub struct Sealer {
    keys: Vec<Key>,
}

impl Sealer {
    /// Creates a sealer. If `keys` is empty, sealing and opening always fail.
    pub fn new(keys: Vec<Key>) -> Self {
        Self { keys }
    }

    /// Encodes and seals an envelope.
    ///
    /// # Errors
    /// The envelope cannot be encoded, or the sealer has no keys.
    pub fn seal(&self, envelope: &Envelope) -> Result<Vec<u8>, CodecError> {
        let key = self.keys.first().ok_or(CodecError::Seal)?;
        let mut bytes = vec![0; SEAL_BYTES];
        rmp_serde::encode::write(&mut bytes, envelope).map_err(CodecError::Encode)?;
        let digest = blake3::keyed_hash(key, &bytes[SEAL_BYTES..]);
        bytes[..SEAL_BYTES].copy_from_slice(&digest.as_bytes()[..SEAL_BYTES]);
        Ok(bytes)
    }

    /// Verifies the seal of a message and decodes it.
    ///
    /// # Errors
    /// The length, the seal, the encoding or the protocol version is invalid.
    pub fn open(&self, bytes: &[u8]) -> Result<Envelope, CodecError> {
        if bytes.len() <= SEAL_BYTES || bytes.len() > MAX_FRAME_BYTES {
            return Err(CodecError::Length);
        }
        let (seal, body) = bytes.split_at(SEAL_BYTES);
        let matches_seal = |key: &Key| {
            let digest = blake3::keyed_hash(key, body);
            constant_time_equal(&digest.as_bytes()[..SEAL_BYTES], seal)
        };
        if !self.keys.iter().any(matches_seal) {
            return Err(CodecError::Seal);
        }
        let envelope: Envelope = rmp_serde::from_slice(body).map_err(CodecError::Decode)?;
        let is_supported = envelope.version.abs_diff(PROTOCOL_VERSION) <= 1;
        if is_supported {
            Ok(envelope)
        } else {
            Err(CodecError::Version(envelope.version))
        }
    }
}

/// Compares two slices in a time that does not depend on their contents.
fn constant_time_equal(left: &[u8], right: &[u8]) -> bool {
    let difference = left
        .iter()
        .zip(right)
        .fold(0, |bits, (left, right)| bits | (left ^ right));
    left.len() == right.len() && difference == 0
}
