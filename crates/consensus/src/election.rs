//! Elections: probes, votes, the end of a leadership.

use crate::message::{MemberId, Message, Payload};
use crate::node::{Consensus, Role};
use crate::replication::Progress;
use brasspond_units::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Longest extra wait, in ms, of a member that saw its leader's process end.
const QUICK_ELECTION_SPREAD: Millis = 120;

/// Shortest pause before a member just started asks all others, in ms: links
/// are being made.
const EARLY_PAUSE: Millis = 60;

/// Extra pause of a member that would rather have another lead, in ms: long enough
/// for that one to ask twice.
const EARLY_COURTESY: Millis = 220;

/// How a member stands for election.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ballot {
    /// Only asks whether it could win.
    pub probe: bool,
    /// At the wish of the leader before.
    pub transfer: bool,
    /// Wins only if every voter agrees.
    pub unanimous: bool,
}

impl Ballot {
    /// Asks whether it could win.
    pub const PROBE: Self = Self {
        probe: true,
        transfer: false,
        unanimous: false,
    };
}

impl Consensus {
    /// When to ask early next.
    pub(crate) fn next_early(&mut self, now: Millis) -> Millis {
        now + rand::Rng::random_range(&mut self.random, EARLY_PAUSE..3 * EARLY_PAUSE)
    }

    /// Lets another member ask first after all processes ended at once: one whose
    /// lead is worth more. Call before time passes.
    pub fn wait_for_another(&mut self, now: Millis) {
        self.early_at = Some(self.next_early(now) + EARLY_COURTESY);
    }

    /// After all processes ended at once nobody can lead, and waiting for a
    /// silence is waiting for nothing. A member that just started asks whether
    /// every voter agrees, again and again for the length of an election.
    pub(crate) fn stand_early(&mut self, now: Millis) {
        let is_over = now >= self.early_until || self.leader_heard_at.is_some();
        if is_over {
            self.early_at = None;
            return;
        }
        self.early_at = Some(self.next_early(now));
        let is_standing = matches!(self.role, Role::Candidate { probe: false, .. });
        if !is_standing {
            let ballot = Ballot {
                unanimous: true,
                ..Ballot::PROBE
            };
            self.stand(ballot, now);
        }
    }

    /// Tells that the leader's process is known to have ended: the member stands
    /// soon, without waiting for a whole silence.
    pub fn leader_ended(&mut self, leader: MemberId, now: Millis) {
        if self.leader() == Some(leader) && !self.is_leader() {
            let spread = rand::Rng::random_range(&mut self.random, 10..QUICK_ELECTION_SPREAD);
            self.leader_heard_at = None;
            self.election_at = self.election_at.min(now + spread);
        }
    }

    /// Hands leadership to the voter that is furthest along; false where there
    /// is none.
    pub fn transfer_leadership(&mut self) -> bool {
        let others = self.other_voters();
        self.transfer_leadership_to(&others)
    }

    /// The same to one of these voters.
    pub fn transfer_leadership_to(&mut self, successors: &[MemberId]) -> bool {
        let Role::Leader { progress, .. } = &self.role else {
            return false;
        };
        let voters = self.members.iter().filter(|member| member.id != self.id);
        let voters = voters.filter(|member| successors.contains(&member.id));
        let best = voters
            .filter_map(|member| Some((progress.get(&member.id)?, member.id)))
            .max_by_key(|(peer, _)| (peer.heard_at, peer.matched));
        let Some((_, target)) = best else {
            return false;
        };
        let term = self.term();
        self.send(target, Message::Transfer { term });
        true
    }

    /// A member with a live leader does not let itself be disturbed by one that
    /// was cut off or removed.
    pub(crate) fn ignores(&self, message: &Message, now: Millis) -> bool {
        let Message::Vote {
            probe, transfer, ..
        } = message
        else {
            return false;
        };
        if *transfer {
            return false;
        }
        let hears_leader = self
            .leader_heard_at
            .is_some_and(|heard| now < heard + self.timing.election);
        let leads = self.is_leader() && self.has_quorum_contact(self.timing.election, now);
        hears_leader || (*probe && leads)
    }

    /// A newer term ends whatever this member was; a probe does not count.
    pub(crate) fn heed_term(&mut self, message: &Message, now: Millis) {
        let is_probe = matches!(
            message,
            Message::Vote { probe: true, .. }
                | Message::VoteReply {
                    probe: true,
                    granted: true,
                    ..
                }
        );
        if is_probe || message.term() <= self.term() {
            return;
        }
        if self.is_leader() {
            self.reset_election(now);
        }
        self.follow(message.term(), None);
    }

    pub(crate) fn stand(&mut self, ballot: Ballot, now: Millis) {
        let Ballot {
            probe,
            transfer,
            unanimous,
        } = ballot;
        if !self.is_voter() {
            return;
        }
        let mut term = self.term();
        if probe {
            term += 1;
        } else {
            term += 1;
            self.set_hard_state(term, Some(self.id));
        }
        self.leader_heard_at = None;
        self.stood_at = now;
        self.role = Role::Candidate {
            votes: BTreeSet::from([self.id]),
            probe,
            transfer,
            unanimous,
        };
        let message = Message::Vote {
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            probe,
            transfer,
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
        probe: bool,
        now: Millis,
    ) {
        let is_current = last >= (self.log.last_term(), self.log.last_index());
        let is_free = self.hard_state.voted_for.is_none_or(|voted| voted == from);
        let granted = if probe {
            term > self.term() && is_current
        } else {
            term == self.term() && is_current && is_free && !self.is_leader()
        };
        if granted && !probe {
            self.set_hard_state(term, Some(from));
            self.reset_election(now);
        }
        let term = if granted && probe { term } else { self.term() };
        self.send(
            from,
            Message::VoteReply {
                term,
                granted,
                probe,
            },
        );
    }

    pub(crate) fn on_vote_reply(
        &mut self,
        from: MemberId,
        term: u64,
        granted: bool,
        is_probe: bool,
        now: Millis,
    ) {
        let current = self.term();
        let Role::Candidate { votes, probe, .. } = &mut self.role else {
            return;
        };
        let asked = if *probe { current + 1 } else { current };
        if granted && *probe == is_probe && term == asked {
            votes.insert(from);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Millis) {
        let Role::Candidate {
            votes,
            probe,
            transfer,
            unanimous,
        } = &self.role
        else {
            return;
        };
        let (probe, transfer) = (*probe, *transfer);
        let voters = self.members.iter();
        let yes = voters.filter(|member| votes.contains(&member.id)).count();
        let silent = self.members.iter().filter(|member| {
            let is_lost = self.lost.contains(&member.id);
            !votes.contains(&member.id) && !is_lost
        });
        let is_agreed = !*unanimous || silent.count() == 0;
        if yes < self.election_quorum() || !is_agreed {
            return;
        }
        if probe {
            let ballot = Ballot {
                probe: false,
                transfer,
                unanimous: false,
            };
            self.stand(ballot, now);
        } else {
            self.begin_to_lead(now);
        }
    }

    fn begin_to_lead(&mut self, now: Millis) {
        let mut progress = BTreeMap::new();
        for voter in self.other_voters() {
            // Votes may be read long after they were given.
            let next = self.log.last_index() + 1;
            progress.insert(voter, Progress::new(next, self.stood_at));
        }
        self.learners.clear();
        self.role = Role::Leader {
            progress,
            since: now,
        };
        self.append_own(Payload::Nothing);
        self.heartbeat_at = now;
        self.lead(now);
    }

    pub(crate) fn on_transfer(&mut self, term: u64, now: Millis) {
        if term == self.term() && !self.is_leader() {
            let ballot = Ballot {
                probe: false,
                transfer: true,
                unanimous: false,
            };
            self.stand(ballot, now);
        }
    }

    /// A leader that no quorum answers stops, so that it answers no reads.
    pub(crate) fn step_down_without_quorum(&mut self, now: Millis) -> bool {
        let window = self.timing.election * 2;
        let Role::Leader { since, .. } = &self.role else {
            return false;
        };
        if now < *since + window || self.has_quorum_contact(window, now) {
            return false;
        }
        self.role = Role::Follower { leader: None };
        self.reset_election(now);
        true
    }

    pub(crate) fn other_voters(&self) -> Vec<MemberId> {
        let ids = self.members.iter().map(|member| member.id);
        ids.filter(|id| *id != self.id).collect()
    }
}
