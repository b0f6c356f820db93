//! Claims on idempotency keys of non-repeatable requests. This node acts as coordinator of its
//! own claims, as voter on claims, and as the collector that updates the list of voters.

use crate::context::Context;
use crate::event::{Reply, RequestId, WriteOperation};
use brasspond_idempotency::{
    ClaimKey, ClaimToken, Coordinator, Decision, Message, Outcome, Voter, shard_of,
};
use brasspond_membership::{Member, MemberState};
use brasspond_protocol::{PeerMessage, Sender};
use brasspond_resource::{
    ClaimShard, ClaimShardsSpec, Kind, Metadata, Object, ObjectKey, Spec, VoterIdentity,
};
use brasspond_routing::rank_distinct_zones;
use brasspond_types::{Mutation, NodeName, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Name of the object that lists the voters.
const OBJECT_NAME: &str = "claims";
/// Time between two reviews of the voters, shorter than the detection of a failed node (2 to 4 s).
const REVIEW_PERIOD: Duration = Duration::from_secs(1);

/// Coordinators of this node's claims, and its state as a voter.
#[derive(Debug)]
pub(crate) struct Claims {
    voter: Voter,
    coordinators: BTreeMap<RequestId, Coordinator>,
    next_token: u64,
    next_review: Timestamp,
}

impl Claims {
    pub(crate) fn new(node_name: NodeName, instance: u64) -> Self {
        Self {
            voter: Voter::new(VoterIdentity {
                node: node_name,
                instance,
            }),
            coordinators: BTreeMap::new(),
            next_token: 1,
            next_review: Timestamp::ZERO,
        }
    }

    /// Whether no request with a claim waits for voters or runs.
    pub(crate) fn is_idle(&self) -> bool {
        self.coordinators.is_empty()
    }

    /// Number of claims that this node keeps as a voter.
    pub(crate) fn claim_count(&self) -> usize {
        self.voter.claim_count()
    }

    /// Shards in which this node votes, with their epochs.
    pub(crate) fn voting(&self, context: &Context<'_>) -> Vec<(u32, u64)> {
        let shards = shards(context).iter().enumerate();
        let voting =
            shards.filter(|(index, shard)| self.voter.is_active(*index as u32, shard.epoch));
        voting
            .map(|(index, shard)| (index as u32, shard.epoch))
            .collect()
    }

    /// Begins a claim on a key.
    pub(crate) fn begin(&mut self, request: RequestId, key: ClaimKey, context: &mut Context<'_>) {
        if context.parameters.mutations.is_on(Mutation::SkipClaims) {
            context.reply(request, Reply::Claim(Decision::Run));
            return;
        }
        let shards = shards(context);
        let index = shard_of(key, shards.len());
        let Some(config) = shards.get(index).cloned() else {
            context.reply(request, Reply::Claim(Decision::NotRun));
            return;
        };
        let token = ClaimToken {
            node: context.node_name.clone(),
            instance: context.instance,
            number: self.next_token,
        };
        self.next_token += 1;
        let mut coordinator = Coordinator::new(index as u32, config, key, token, context.now);
        send_all(coordinator.tick(context.now), context);
        self.coordinators.insert(request, coordinator);
        self.reply_decision(request, context);
    }

    /// Ends the claim of a request. `outcome` is `None` if the request was certainly not sent.
    pub(crate) fn finish(
        &mut self,
        request: RequestId,
        outcome: Option<Outcome>,
        context: &mut Context<'_>,
    ) {
        let Some(coordinator) = self.coordinators.remove(&request) else {
            return;
        };
        let messages = match outcome {
            Some(outcome) => coordinator.record(&outcome),
            None => coordinator.withdrawals(),
        };
        send_all(messages, context);
    }

    /// Handles a message from a voter or a coordinator.
    pub(crate) fn handle(&mut self, sender: &Sender, message: Message, context: &mut Context<'_>) {
        let from = VoterIdentity {
            node: sender.node.clone(),
            instance: sender.instance,
        };
        if let Message::Verdict {
            epoch,
            token,
            verdict,
            ..
        } = message
        {
            let found = self
                .coordinators
                .iter_mut()
                .find(|(_, claim)| *claim.token() == token);
            let Some((request, coordinator)) = found else {
                return;
            };
            if coordinator.decision().is_some() {
                return;
            }
            let request = *request;
            let messages = coordinator.handle_verdict(&from, epoch, verdict);
            send_all(messages, context);
            self.reply_decision(request, context);
            return;
        }
        let answer = self
            .voter
            .handle(&from, message, shards(context), context.now);
        if let Some(answer) = answer {
            context.send(&from.node, PeerMessage::Claim(answer));
        }
    }

    /// Replies with the decision, once it is made. The coordinator of a request that
    /// may run is kept until [`Self::finish`] removes it.
    fn reply_decision(&mut self, request: RequestId, context: &mut Context<'_>) {
        let decision = self
            .coordinators
            .get(&request)
            .and_then(Coordinator::decision);
        let Some(decision) = decision.cloned() else {
            return;
        };
        if decision != Decision::Run {
            self.coordinators.remove(&request);
        }
        context.reply(request, Reply::Claim(decision));
    }

    /// Resends the messages of undecided claims, and copies claims from previous voters if needed.
    pub(crate) fn tick(&mut self, context: &mut Context<'_>) {
        let messages = self.voter.tick(shards(context), context.now);
        send_all(messages, context);
        let undecided: Vec<RequestId> = self
            .coordinators
            .iter()
            .filter(|(_, coordinator)| coordinator.decision().is_none())
            .map(|(request, _)| *request)
            .collect();
        for request in undecided {
            if let Some(coordinator) = self.coordinators.get_mut(&request) {
                let messages = coordinator.tick(context.now);
                send_all(messages, context);
            }
            self.reply_decision(request, context);
        }
    }

    /// Returns the write that replaces failed voters, if one is needed. Runs at the
    /// collector. `voting` says whether a process votes in an epoch of a shard.
    pub(crate) fn review_voters(
        &mut self,
        voting: &dyn Fn(&VoterIdentity, u32, u64) -> bool,
        context: &Context<'_>,
    ) -> Option<WriteOperation> {
        if context.now < self.next_review {
            return None;
        }
        self.next_review = context.now + REVIEW_PERIOD;
        let key = ObjectKey {
            kind: Kind::ClaimShards,
            name: OBJECT_NAME.to_owned(),
        };
        let existing = context.catalogue.get(&key);
        let current = shards(context);
        let revised_shards = if current.is_empty() {
            initial_shards(context)
        } else {
            let shards = current.iter().enumerate();
            let revised_shards = shards.map(|(index, shard)| {
                let is_voting = |voter: &VoterIdentity| voting(voter, index as u32, shard.epoch);
                revise_shard(index, shard, &is_voting, context)
            });
            revised_shards.collect()
        };
        if revised_shards == current {
            return None;
        }
        let metadata = match existing {
            Some(object) => object.metadata.clone(),
            None => Metadata {
                name: OBJECT_NAME.to_owned(),
                ..Metadata::default()
            },
        };
        let spec = Spec::ClaimShards(ClaimShardsSpec {
            shards: revised_shards,
        });
        Some(WriteOperation::Put(Box::new(Object { metadata, spec })))
    }
}

/// Shards in the configuration in force, empty until the collector has written them.
fn shards<'a>(context: &Context<'a>) -> &'a [ClaimShard] {
    let spec = context.catalogue.claim_shards(OBJECT_NAME);
    spec.map_or(&[], |spec| spec.shards.as_slice())
}

fn send_all(messages: Vec<(NodeName, Message)>, context: &mut Context<'_>) {
    for (to, message) in messages {
        context.send(&to, PeerMessage::Claim(message));
    }
}

fn identity(member: &Member) -> VoterIdentity {
    VoterIdentity {
        node: member.name.clone(),
        instance: member.instance.0,
    }
}

/// Voters that rendezvous hashing assigns to a shard, in distinct zones if possible.
fn candidates(index: usize, context: &Context<'_>) -> Vec<VoterIdentity> {
    let members = context.working.references();
    let count = context.parameters.claim_voters;
    let chosen = rank_distinct_zones(&format!("claims:{index}"), &members, count);
    chosen.into_iter().map(identity).collect()
}

/// Shards that the collector writes first, which have no previous voters.
fn initial_shards(context: &Context<'_>) -> Vec<ClaimShard> {
    let epoch = context.catalogue.revision.0 + 1;
    let shards = (0..context.parameters.claim_shards).map(|index| ClaimShard {
        epoch,
        voters: candidates(index, context),
        previous: Vec::new(),
    });
    shards.collect()
}

/// Replaces voters whose process has stopped. A majority of the voters must be active in the
/// current epoch, so that the new voters can copy its claims.
fn revise_shard(
    index: usize,
    shard: &ClaimShard,
    is_voting: &dyn Fn(&VoterIdentity) -> bool,
    context: &Context<'_>,
) -> ClaimShard {
    let is_running = |voter: &&VoterIdentity| {
        let member = context.membership.get(&voter.node);
        member.is_some_and(|member| {
            let stays = matches!(member.state, MemberState::Alive | MemberState::Suspect);
            member.instance.0 == voter.instance && stays
        })
    };
    let mut voters: Vec<VoterIdentity> = shard.voters.iter().filter(is_running).cloned().collect();
    let wanted = context.parameters.claim_voters;
    for candidate in candidates(index, context) {
        let is_new = voters.iter().all(|voter| voter.node != candidate.node);
        if voters.len() < wanted && is_new {
            voters.push(candidate);
        }
    }
    let active = shard.voters.iter().filter(|voter| is_voting(voter)).count();
    let has_majority = active * 2 > shard.voters.len();
    let is_change = voters != shard.voters && voters.len() >= shard.voters.len().min(2);
    if !has_majority || !is_change {
        return shard.clone();
    }
    ClaimShard {
        epoch: shard.epoch + 1,
        voters,
        previous: shard.voters.clone(),
    }
}
