//! Coordinator of one claim, at the node that received the request.

use crate::claim::{ClaimKey, ClaimToken, Message, Outcome, Verdict};
use crate::voter::is_majority;
use brasspond_resource::{ClaimShard, VoterIdentity};
use brasspond_types::{NodeName, Timestamp};
use std::collections::BTreeSet;
use std::time::Duration;

/// Time after which a claim is sent again to the voters that have not answered.
const CLAIM_RESEND_PERIOD: Duration = Duration::from_millis(150);
/// Time after which a claim without a majority is abandoned.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may run once.
    Run,
    /// The request did not run, so a retry is safe.
    NotRun,
    /// An earlier request with this key ran and ended with this outcome.
    Known(Outcome),
    /// A request with this key may be running or have run; its outcome is unknown.
    Unknown,
}

/// A claim on one key, which is kept until the claimed request ends.
#[derive(Debug)]
pub struct Coordinator {
    shard: u32,
    config: ClaimShard,
    key: ClaimKey,
    token: ClaimToken,
    accepted: BTreeSet<VoterIdentity>,
    refused: BTreeSet<VoterIdentity>,
    /// Whether a voter answered that another attempt holds the key and its outcome is unknown.
    key_held: bool,
    started: Timestamp,
    sent_at: Option<Timestamp>,
    decision: Option<Decision>,
}

impl Coordinator {
    /// Begins a claim on `key` in the shard with the configuration `config`.
    pub fn new(
        shard: u32,
        config: ClaimShard,
        key: ClaimKey,
        token: ClaimToken,
        now: Timestamp,
    ) -> Self {
        Self {
            shard,
            config,
            key,
            token,
            accepted: BTreeSet::new(),
            refused: BTreeSet::new(),
            key_held: false,
            started: now,
            sent_at: None,
            decision: None,
        }
    }

    /// The decision, if it has been made.
    pub fn decision(&self) -> Option<&Decision> {
        self.decision.as_ref()
    }

    /// Identity of the attempt that makes this claim.
    pub fn token(&self) -> &ClaimToken {
        &self.token
    }

    /// Sends the claim, when due, to the voters that have not answered. Abandons it after
    /// [`CLAIM_TIMEOUT`] or if the shard has no voters.
    pub fn tick(&mut self, now: Timestamp) -> Vec<(NodeName, Message)> {
        if self.decision.is_some() {
            return Vec::new();
        }
        if now.since(self.started) >= CLAIM_TIMEOUT || self.config.voters.is_empty() {
            return self.abandon();
        }
        if self
            .sent_at
            .is_some_and(|sent| now.since(sent) < CLAIM_RESEND_PERIOD)
        {
            return Vec::new();
        }
        self.sent_at = Some(now);
        let unanswered = self
            .config
            .voters
            .iter()
            .filter(|voter| !self.accepted.contains(*voter) && !self.refused.contains(*voter));
        let claim = Message::Claim {
            shard: self.shard,
            epoch: self.config.epoch,
            key: self.key,
            token: self.token.clone(),
        };
        unanswered
            .map(|voter| (voter.node.clone(), claim.clone()))
            .collect()
    }

    /// Handles the verdict of the voter `from`, and decides if the verdicts suffice.
    pub fn handle_verdict(
        &mut self,
        from: &VoterIdentity,
        epoch: u64,
        verdict: Verdict,
    ) -> Vec<(NodeName, Message)> {
        let is_voter = self.config.voters.contains(from);
        if self.decision.is_some() || epoch != self.config.epoch || !is_voter {
            return Vec::new();
        }
        match verdict {
            Verdict::Accepted => {
                self.accepted.insert(from.clone());
            }
            Verdict::Held {
                outcome: Some(outcome),
            } => {
                self.decision = Some(Decision::Known(outcome));
                return self.withdrawals();
            }
            Verdict::Held { outcome: None } => {
                self.key_held = true;
                self.refused.insert(from.clone());
            }
            Verdict::WrongEpoch => {
                self.refused.insert(from.clone());
            }
        }
        let voters = self.config.voters.len();
        if is_majority(self.accepted.len(), voters) {
            self.decision = Some(Decision::Run);
            return Vec::new();
        }
        if !is_majority(voters - self.refused.len(), voters) {
            return self.abandon();
        }
        Vec::new()
    }

    /// Messages that record the outcome of the request at all voters.
    pub fn record(&self, outcome: &Outcome) -> Vec<(NodeName, Message)> {
        self.broadcast(Message::Record {
            shard: self.shard,
            key: self.key,
            token: self.token.clone(),
            outcome: outcome.clone(),
        })
    }

    /// Messages that withdraw the claim, since the request certainly did not run.
    pub fn withdrawals(&self) -> Vec<(NodeName, Message)> {
        self.broadcast(Message::Withdraw {
            shard: self.shard,
            key: self.key,
            token: self.token.clone(),
        })
    }

    /// Decides without a majority and withdraws the claim.
    fn abandon(&mut self) -> Vec<(NodeName, Message)> {
        let decision = if self.key_held {
            Decision::Unknown
        } else {
            Decision::NotRun
        };
        self.decision = Some(decision);
        self.withdrawals()
    }

    /// The message, addressed to every voter.
    fn broadcast(&self, message: Message) -> Vec<(NodeName, Message)> {
        let voters = self.config.voters.iter();
        voters
            .map(|voter| (voter.node.clone(), message.clone()))
            .collect()
    }
}
