//! Claims on idempotency keys and the messages about them.

use brasspond_types::{NodeName, stable_hash};
use serde::{Deserialize, Serialize};

/// Digest of the caller, the service and the idempotency key.
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

/// Index of the shard of a key.
pub fn shard_of(key: ClaimKey, shards: usize) -> usize {
    (key.0 % shards.max(1) as u64) as usize
}

/// Identity of one attempt to run a request, which is never reused.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimToken {
    /// Node that wants to run the request.
    pub node: NodeName,
    /// Process on that node.
    pub instance: u64,
    /// Number of the attempt in that process.
    pub number: u64,
}

/// Response of the back end to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Body; empty if it was too long to keep.
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
        /// Outcome of that request, if the voter knows it.
        outcome: Option<Outcome>,
    },
    /// The voter does not vote in the epoch of the claim, or the claim was withdrawn.
    WrongEpoch,
}

/// Messages between coordinators and voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks a voter to accept a claim.
    Claim {
        /// Shard of the key.
        shard: u32,
        /// Epoch known to the coordinator.
        epoch: u64,
        /// Key to claim.
        key: ClaimKey,
        /// Attempt that makes the claim.
        token: ClaimToken,
    },
    /// Answer to [`Message::Claim`].
    Verdict {
        /// Epoch of the claim.
        epoch: u64,
        /// Claimed key.
        key: ClaimKey,
        /// Attempt that made the claim.
        token: ClaimToken,
        /// The voter's answer.
        verdict: Verdict,
    },
    /// Withdraws the claim of a request that did not run.
    Withdraw {
        /// Shard of the key.
        shard: u32,
        /// Claimed key.
        key: ClaimKey,
        /// Attempt that made the claim.
        token: ClaimToken,
    },
    /// Records the outcome of a request.
    Record {
        /// Shard of the key.
        shard: u32,
        /// Claimed key.
        key: ClaimKey,
        /// Attempt that ran.
        token: ClaimToken,
        /// Its outcome.
        outcome: Outcome,
    },
    /// A voter of a new epoch asks a voter of the previous epoch for its claims.
    CopyRequest {
        /// Shard to copy.
        shard: u32,
        /// The new epoch.
        epoch: u64,
    },
    /// Answer to [`Message::CopyRequest`].
    CopyResponse {
        /// Copied shard.
        shard: u32,
        /// The new epoch.
        epoch: u64,
        /// All claims with their outcomes.
        claims: Vec<(ClaimKey, ClaimToken, Option<Outcome>)>,
    },
}
