//! Claims on idempotency keys and the messages about them.

use brasspond_types::{NodeName, stable_hash};
use serde::{Deserialize, Serialize};

/// Digest of who asked, of which service, with which idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey(pub u64, pub u64);

impl ClaimKey {
    /// Digests the parts of a key.
    pub fn new(caller: &str, service: &str, key: &str) -> Self {
        let parts = [caller.as_bytes(), service.as_bytes(), key.as_bytes()];
        let low = stable_hash(&parts);
        let high = stable_hash(&[&low.to_le_bytes(), parts[2], parts[1], parts[0]]);
        Self(low, high)
    }
}

/// Shard of a key.
pub fn shard_of(key: ClaimKey, shards: usize) -> usize {
    (key.0 % shards.max(1) as u64) as usize
}

/// Identity of one attempt to run; never used twice.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimToken {
    /// Node that wants to run the request.
    pub node: NodeName,
    /// Process on that node.
    pub instance: u64,
    /// Number of the attempt in that process.
    pub number: u64,
}

/// How the back end answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Body; empty where it was too long to keep.
    pub body: Vec<u8>,
    /// Whether the body was too long to keep.
    pub truncated: bool,
}

/// A voter's answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The key is claimed for this token.
    Accepted,
    /// Another token holds the key.
    Held {
        /// How that request ended, if the voter knows it.
        outcome: Option<Outcome>,
    },
    /// The voter is in another epoch.
    WrongEpoch,
}

/// Messages between coordinators and voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks a voter to accept a claim.
    Claim {
        /// Shard of the key.
        shard: u32,
        /// Epoch the coordinator knows.
        epoch: u64,
        /// Key to claim.
        key: ClaimKey,
        /// Attempt that wants to run.
        token: ClaimToken,
    },
    /// Answer to [`Message::Claim`].
    Verdict {
        /// Epoch the claim was made in.
        epoch: u64,
        /// Key claimed.
        key: ClaimKey,
        /// Attempt that asked.
        token: ClaimToken,
        /// The answer.
        verdict: Verdict,
    },
    /// Takes back a claim that was not run.
    Withdraw {
        /// Shard of the key.
        shard: u32,
        /// Key claimed.
        key: ClaimKey,
        /// Attempt that asked.
        token: ClaimToken,
    },
    /// Tells how a request ended.
    Record {
        /// Shard of the key.
        shard: u32,
        /// Key claimed.
        key: ClaimKey,
        /// Attempt that ran.
        token: ClaimToken,
        /// How it ended.
        outcome: Outcome,
    },
    /// A voter of a new epoch asks one of the epoch before for its claims.
    CopyRequest {
        /// Shard to copy.
        shard: u32,
        /// The new epoch.
        epoch: u64,
    },
    /// Answer to [`Message::CopyRequest`].
    CopyResponse {
        /// Shard copied.
        shard: u32,
        /// The new epoch.
        epoch: u64,
        /// All claims with their outcomes.
        claims: Vec<(ClaimKey, ClaimToken, Option<Outcome>)>,
    },
}
