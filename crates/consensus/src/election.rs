//! Elections: pre-votes, votes, leadership transfer, and stepping down.

use crate::message::{MemberId, Message, Payload};
use crate::node::Consensus;
use crate::role::{Campaign, Progress, Role};
use brasspond_units::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Range of the delay before an election when the leader's process is known to have ended. The
/// delay is random so that members rarely become candidates at the same time.
const LEADER_EXIT_DELAYS: std::ops::Range<Millis> = 10..120;

/// Range of the interval between early elections. The interval is random so that members rarely
/// become candidates at the same time, and leaves time to establish links after a start.
const EARLY_ELECTION_INTERVALS: std::ops::Range<Millis> = 60..180;

/// Extra delay of the first early election on members that let another member be the first
/// candidate.
const EARLY_HEAD_START: Millis = 220;

impl Consensus {
    /// Draws the time of the next early election.
    pub(crate) fn next_early_election(&mut self, now: Millis) -> Millis {
        now + rand::Rng::random_range(&mut self.rng, EARLY_ELECTION_INTERVALS)
    }

    /// Delays early elections so that another member becomes a candidate first. Call it before the
    /// first [`Consensus::tick`].
    pub fn delay_early_election(&mut self, now: Millis) {
        self.early_at = Some(self.next_early_election(now) + EARLY_HEAD_START);
    }

    /// Starts an early election: a pre-vote that all voters with intact disks must grant. A member
    /// repeats it within one election timeout after its start, until it hears from a leader. If all
    /// members restart, no leader holds a lease, so the group need not wait for the timeout.
    pub(crate) fn start_early_election(&mut self, now: Millis) {
        let is_over = now >= self.early_until || self.leader_heard_at.is_some();
        if is_over {
            self.early_at = None;
            return;
        }
        self.early_at = Some(self.next_early_election(now));
        let requests_votes =
            matches!(&self.role, Role::Candidate { campaign, .. } if !campaign.pre_vote);
        if !requests_votes {
            let campaign = Campaign {
                unanimous: true,
                ..Campaign::PRE_VOTE
            };
            self.start_election(campaign, now);
        }
    }

    /// Records that the leader's process ended: this member starts an election after a short
    /// random delay instead of an election timeout.
    pub fn leader_ended(&mut self, leader: MemberId, now: Millis) {
        if self.leader() == Some(leader) && !self.is_leader() {
            let delay = rand::Rng::random_range(&mut self.rng, LEADER_EXIT_DELAYS);
            self.leader_heard_at = None;
            self.election_at = self.election_at.min(now + delay);
        }
    }

    /// Asks a voter to start an election at once, so that it becomes leader: the one with the
    /// latest contact and, among equals, the longest matching log. Returns false if this member is
    /// not the leader or there is no other voter.
    pub fn transfer_leadership(&mut self) -> bool {
        let others = self.other_voters();
        self.transfer_leadership_to(&others)
    }

    /// Like [`Consensus::transfer_leadership`], but only to one of `successors`.
    pub fn transfer_leadership_to(&mut self, successors: &[MemberId]) -> bool {
        let Role::Leader { progress, .. } = &self.role else {
            return false;
        };
        let voters = self.members.iter().filter(|member| member.id != self.id);
        let voters = voters.filter(|member| successors.contains(&member.id));
        let successor = voters
            .filter_map(|member| Some((progress.get(&member.id)?, member.id)))
            .max_by_key(|(peer, _)| (peer.last_contact, peer.matched));
        let Some((_, target)) = successor else {
            return false;
        };
        let term = self.term();
        self.send(target, Message::Transfer { term });
        true
    }

    /// Whether a message is ignored: a vote request while this member is in contact with a leader,
    /// or a pre-vote while it leads and is in contact with a quorum. Members that were isolated or
    /// removed send these. A request for a leadership transfer is never ignored.
    pub(crate) fn should_ignore(&self, message: &Message, now: Millis) -> bool {
        let Message::Vote {
            probe, transfer, ..
        } = message
        else {
            return false;
        };
        if *transfer {
            return false;
        }
        let has_leader = self
            .leader_heard_at
            .is_some_and(|heard_at| now < heard_at + self.timing.election);
        let leads = self.is_leader() && self.has_quorum_contact(self.timing.election, now);
        has_leader || (*probe && leads)
    }

    /// Makes this member a follower in the term of a message if that is newer. Pre-votes carry the
    /// term of an election that may not happen, so they are skipped.
    pub(crate) fn adopt_newer_term(&mut self, message: &Message, now: Millis) {
        let is_pre_vote = matches!(
            message,
            Message::Vote { probe: true, .. }
                | Message::VoteReply {
                    probe: true,
                    granted: true,
                    ..
                }
        );
        if is_pre_vote || message.term() <= self.term() {
            return;
        }
        if self.is_leader() {
            self.reset_election_timer(now);
        }
        self.become_follower(message.term(), None);
    }

    /// Becomes a candidate and requests votes or pre-votes from all other voters; no effect on
    /// non-voters.
    pub(crate) fn start_election(&mut self, campaign: Campaign, now: Millis) {
        if !self.is_voter() {
            return;
        }
        let term = self.term() + 1;
        if !campaign.pre_vote {
            self.set_hard_state(term, Some(self.id));
        }
        self.leader_heard_at = None;
        self.campaigned_at = now;
        self.role = Role::Candidate {
            votes: BTreeSet::from([self.id]),
            campaign,
        };
        let message = Message::Vote {
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            probe: campaign.pre_vote,
            transfer: campaign.transfer,
        };
        for voter in self.other_voters() {
            self.send(voter, message.clone());
        }
        self.count_votes(now);
    }

    pub(crate) fn on_vote(
        &mut self,
        from: MemberId,
        term: u64,
        last: (u64, u64),
        is_pre_vote: bool,
        now: Millis,
    ) {
        let is_up_to_date = last >= (self.log.last_term(), self.log.last_index());
        let can_vote = self.hard_state.voted_for.is_none_or(|voted| voted == from);
        let granted = if is_pre_vote {
            term > self.term() && is_up_to_date
        } else {
            term == self.term() && is_up_to_date && can_vote && !self.is_leader()
        };
        if granted && !is_pre_vote {
            self.set_hard_state(term, Some(from));
            self.reset_election_timer(now);
        }
        let term = if granted && is_pre_vote {
            term
        } else {
            self.term()
        };
        self.send(
            from,
            Message::VoteReply {
                term,
                granted,
                probe: is_pre_vote,
            },
        );
    }

    pub(crate) fn on_vote_reply(
        &mut self,
        from: MemberId,
        term: u64,
        granted: bool,
        is_pre_vote: bool,
        now: Millis,
    ) {
        let current = self.term();
        let Role::Candidate { votes, campaign } = &mut self.role else {
            return;
        };
        let expected = if campaign.pre_vote {
            current + 1
        } else {
            current
        };
        if granted && campaign.pre_vote == is_pre_vote && term == expected {
            votes.insert(from);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Millis) {
        let Role::Candidate { votes, campaign } = &self.role else {
            return;
        };
        let campaign = *campaign;
        let voters = self.members.iter();
        let granted = voters.filter(|member| votes.contains(&member.id)).count();
        let missing = self.members.iter().filter(|member| {
            let is_lost = self.lost.contains(&member.id);
            !votes.contains(&member.id) && !is_lost
        });
        let is_decisive = !campaign.unanimous || missing.count() == 0;
        if granted < self.election_quorum() || !is_decisive {
            return;
        }
        if campaign.pre_vote {
            let campaign = Campaign {
                pre_vote: false,
                unanimous: false,
                ..campaign
            };
            self.start_election(campaign, now);
        } else {
            self.become_leader(now);
        }
    }

    fn become_leader(&mut self, now: Millis) {
        let mut progress = BTreeMap::new();
        for voter in self.other_voters() {
            // Votes may arrive long after they were granted, so contact counts from the request.
            let next = self.log.last_index() + 1;
            progress.insert(voter, Progress::new(next, self.campaigned_at));
        }
        self.learners.clear();
        self.role = Role::Leader {
            progress,
            since: now,
        };
        self.append_as_leader(Payload::Nothing);
        self.heartbeat_at = now;
        self.tick_leader(now);
    }

    pub(crate) fn on_transfer(&mut self, term: u64, now: Millis) {
        if term == self.term() && !self.is_leader() {
            let campaign = Campaign {
                pre_vote: false,
                transfer: true,
                unanimous: false,
            };
            self.start_election(campaign, now);
        }
    }

    /// Stops leading if no quorum answered for two election timeouts. Returns whether this member
    /// stepped down.
    pub(crate) fn step_down_without_quorum(&mut self, now: Millis) -> bool {
        let window = self.timing.election * 2;
        let Role::Leader { since, .. } = &self.role else {
            return false;
        };
        if now < *since + window || self.has_quorum_contact(window, now) {
            return false;
        }
        self.role = Role::Follower { leader: None };
        self.reset_election_timer(now);
        true
    }

    pub(crate) fn other_voters(&self) -> Vec<MemberId> {
        let ids = self.members.iter().map(|member| member.id);
        ids.filter(|id| *id != self.id).collect()
    }
}
