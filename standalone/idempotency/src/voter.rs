//! Voter: accepts at most one claim per key.

use crate::claim::{ClaimKey, ClaimToken, Message, Outcome, Verdict};
use brasspond_resource::{ClaimShard, VoterIdentity};
use brasspond_types::{NodeName, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time after which unanswered requests to copy a shard are sent again.
const COPY_RETRY_PERIOD: Duration = Duration::from_millis(500);
/// Time for which a claim is kept, so that repeated requests with its key are recognised.
const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// A claim that this voter accepted or copied.
#[derive(Debug)]
struct Claim {
    token: ClaimToken,
    outcome: Option<Outcome>,
    claimed_at: Timestamp,
}

/// State of one shard at one voter.
///
/// Invariant: `claims` contains every claim that a majority accepted in any
/// epoch up to `complete_epoch`, unless it was withdrawn or has expired.
#[derive(Debug, Default)]
struct Shard {
    /// Epoch up to which the claims are complete.
    complete_epoch: Option<u64>,
    /// Whether the claims have been copied for a later epoch, which ends voting in the current one.
    sealed: bool,
    /// Newest epoch for which this voter copies or has copied claims.
    target_epoch: u64,
    /// Previous voters whose claims have been copied.
    copied_from: BTreeSet<VoterIdentity>,
    copy_due: Timestamp,
    claims: BTreeMap<ClaimKey, Claim>,
    /// Withdrawn attempts, whose delayed claims are rejected.
    withdrawn: BTreeSet<ClaimToken>,
}

/// The state of one process as a voter, by shard.
#[derive(Debug)]
pub struct Voter {
    identity: VoterIdentity,
    shards: BTreeMap<u32, Shard>,
}

/// Whether `count` is a majority of `all` voters.
pub(crate) fn is_majority(count: usize, all: usize) -> bool {
    count * 2 > all
}

impl Voter {
    /// Creates a voter without claims.
    pub fn new(identity: VoterIdentity) -> Self {
        Self {
            identity,
            shards: BTreeMap::new(),
        }
    }

    /// Number of claims that this voter keeps.
    pub fn claim_count(&self) -> usize {
        self.shards.values().map(|shard| shard.claims.len()).sum()
    }

    /// Whether this voter votes in the given epoch of the shard.
    pub fn is_active(&self, index: u32, epoch: u64) -> bool {
        let shard = self.shards.get(&index);
        shard.is_some_and(|shard| shard.votes_in(epoch))
    }

    /// Requests copies of the claims that a new epoch needs, and drops expired claims.
    pub fn tick(&mut self, shards: &[ClaimShard], now: Timestamp) -> Vec<(NodeName, Message)> {
        let mut messages = Vec::new();
        for (index, shard) in shards.iter().enumerate() {
            if shard.voters.contains(&self.identity) {
                self.prepare_epoch(index as u32, shard, now, &mut messages);
            }
        }
        for shard in self.shards.values_mut() {
            shard
                .claims
                .retain(|_, claim| now.since(claim.claimed_at) < CLAIM_RETENTION);
        }
        messages
    }

    /// Prepares this voter for the epoch in `config`: requests the claims of the previous voters
    /// until enough are copied.
    fn prepare_epoch(
        &mut self,
        index: u32,
        config: &ClaimShard,
        now: Timestamp,
        messages: &mut Vec<(NodeName, Message)>,
    ) {
        let shard = self.shards.entry(index).or_default();
        if shard
            .complete_epoch
            .is_some_and(|complete_epoch| complete_epoch >= config.epoch)
        {
            return;
        }
        if shard.target_epoch < config.epoch {
            shard.target_epoch = config.epoch;
            shard.copy_due = now;
            shard.copied_from.clear();
        }
        let has_previous = shard.has_previous_epoch(config.epoch);
        if has_previous && config.previous.contains(&self.identity) {
            shard.sealed = true;
            shard.copied_from.insert(self.identity.clone());
        }
        if shard.try_activate(config) || now < shard.copy_due {
            return;
        }
        shard.copy_due = now + COPY_RETRY_PERIOD;
        for voter in &config.previous {
            if !shard.copied_from.contains(voter) {
                let epoch = config.epoch;
                let request = Message::CopyRequest {
                    shard: index,
                    epoch,
                };
                messages.push((voter.node.clone(), request));
            }
        }
    }

    /// Handles a message from the process `from`. Returns the reply, if any.
    pub fn handle(
        &mut self,
        from: &VoterIdentity,
        message: Message,
        shards: &[ClaimShard],
        now: Timestamp,
    ) -> Option<Message> {
        match message {
            Message::Claim {
                shard,
                epoch,
                key,
                token,
            } => {
                let verdict = self.claim(shard, epoch, key, &token, now);
                Some(Message::Verdict {
                    epoch,
                    key,
                    token,
                    verdict,
                })
            }
            Message::Withdraw { shard, key, token } => {
                let shard = self.shards.entry(shard).or_default();
                if shard
                    .claims
                    .get(&key)
                    .is_some_and(|claim| claim.token == token)
                {
                    shard.claims.remove(&key);
                }
                shard.withdrawn.insert(token);
                None
            }
            Message::Record {
                shard,
                key,
                token,
                outcome,
            } => {
                let shard = self.shards.get_mut(&shard)?;
                let claim = shard.claims.get_mut(&key)?;
                if claim.token == token {
                    claim.outcome = Some(outcome);
                }
                None
            }
            Message::CopyRequest { shard, epoch } => self.answer_copy(shard, epoch),
            Message::CopyResponse {
                shard,
                epoch,
                claims,
            } => {
                let config = shards.get(shard as usize)?;
                self.merge_copy(from, shard, epoch, claims, config, now);
                None
            }
            Message::Verdict { .. } => None,
        }
    }

    /// Decides on a claim and keeps it if it is accepted.
    fn claim(
        &mut self,
        index: u32,
        epoch: u64,
        key: ClaimKey,
        token: &ClaimToken,
        now: Timestamp,
    ) -> Verdict {
        let Some(shard) = self.shards.get_mut(&index) else {
            return Verdict::WrongEpoch;
        };
        if !shard.votes_in(epoch) || shard.withdrawn.contains(token) {
            return Verdict::WrongEpoch;
        }
        match shard.claims.get(&key) {
            Some(claim) if claim.token == *token => Verdict::Accepted,
            Some(claim) => Verdict::Held {
                outcome: claim.outcome.clone(),
            },
            None => {
                let claim = Claim {
                    token: token.clone(),
                    outcome: None,
                    claimed_at: now,
                };
                shard.claims.insert(key, claim);
                Verdict::Accepted
            }
        }
    }

    /// Returns all claims to a voter of a later epoch and stops voting, so that this voter accepts
    /// no claim in the old epoch after the copy.
    fn answer_copy(&mut self, index: u32, epoch: u64) -> Option<Message> {
        let shard = self.shards.get_mut(&index)?;
        if !shard.has_previous_epoch(epoch) {
            return None;
        }
        if shard
            .complete_epoch
            .is_some_and(|complete_epoch| complete_epoch < epoch)
        {
            shard.sealed = true;
        }
        let claims = shard.claims.iter().map(|(key, claim)| {
            let outcome = claim.outcome.clone();
            (*key, claim.token.clone(), outcome)
        });
        let claims = claims.collect();
        Some(Message::CopyResponse {
            shard: index,
            epoch,
            claims,
        })
    }

    /// Adds the claims that a previous voter returned. Begins to vote if they complete the copy.
    fn merge_copy(
        &mut self,
        from: &VoterIdentity,
        index: u32,
        epoch: u64,
        claims: Vec<(ClaimKey, ClaimToken, Option<Outcome>)>,
        config: &ClaimShard,
        now: Timestamp,
    ) {
        let Some(shard) = self.shards.get_mut(&index) else {
            return;
        };
        let is_complete = shard
            .complete_epoch
            .is_some_and(|complete_epoch| complete_epoch >= epoch);
        if is_complete || shard.target_epoch != epoch || config.epoch != epoch {
            return;
        }
        for (key, token, outcome) in claims {
            let claimed_at = now;
            let claim = shard.claims.entry(key).or_insert(Claim {
                token,
                outcome: None,
                claimed_at,
            });
            if claim.outcome.is_none() {
                claim.outcome = outcome;
            }
        }
        shard.copied_from.insert(from.clone());
        shard.try_activate(config);
    }
}

impl Shard {
    /// Whether this voter votes in the epoch.
    fn votes_in(&self, epoch: u64) -> bool {
        self.complete_epoch == Some(epoch) && !self.sealed
    }

    /// Whether the claims are complete up to the epoch before `epoch`, or up to a later one.
    fn has_previous_epoch(&self, epoch: u64) -> bool {
        self.complete_epoch
            .is_some_and(|complete_epoch| complete_epoch + 1 >= epoch)
    }

    /// Begins to vote if the claims of a majority of the previous voters are copied. Returns
    /// whether it does.
    fn try_activate(&mut self, config: &ClaimShard) -> bool {
        let previous = &config.previous;
        let copied = self
            .copied_from
            .iter()
            .filter(|voter| previous.contains(voter));
        let has_majority = is_majority(copied.count(), previous.len());
        if !previous.is_empty() && !has_majority {
            return false;
        }
        self.complete_epoch = Some(config.epoch);
        self.sealed = false;
        true
    }
}
