//! One member of the group: its state, what others ask of it, and which part handles what.

use crate::currency::Currency;
use crate::log::Log;
use crate::message::{Appended, Entry, HardState, Member, MemberId, Message, Payload, ReplyTimes};
use crate::ready::{Persisted, Ready};
use crate::role::{Ballot, Role};
use crate::timing::Timing;
use brasspond_units::Millis;
use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// One member of the group. [`Ready`] gives the order of calls.
pub struct Consensus {
    pub(crate) id: MemberId,
    pub(crate) timing: Timing,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    /// Voters by the newest entry that names them.
    pub(crate) members: Vec<Member>,
    /// Index of the entry that names `members`.
    pub(crate) members_index: u64,
    /// Voters before the newest change, with the index of their entry, in case that change is
    /// truncated.
    pub(crate) members_before: Option<(u64, Vec<Member>)>,
    /// Members that a leader sends the log without a vote.
    pub(crate) learners: BTreeMap<MemberId, Member>,
    /// Members whose disks are known to be lost.
    pub(crate) lost: BTreeSet<MemberId>,
    /// Last committed index.
    pub(crate) commit: u64,
    /// Last index given out to be applied.
    pub(crate) applied: u64,
    /// Last index synced to disk.
    pub(crate) persisted: u64,
    pub(crate) role: Role,
    /// When this member becomes a candidate if it hears no leader.
    pub(crate) election_at: Millis,
    /// When this member, just started, next asks whether all voters just
    /// started; none once it has heard of a leader, or long enough.
    pub(crate) early_at: Option<Millis>,
    /// When it stops asking that.
    pub(crate) early_until: Millis,
    /// When a leader sends its next heartbeats.
    pub(crate) heartbeat_at: Millis,
    /// When a leader was last heard; none: not since the last election or start.
    pub(crate) leader_heard_at: Option<Millis>,
    /// When this member last asked for votes.
    pub(crate) votes_asked_at: Millis,
    /// What a follower knows of its own age.
    pub(crate) currency: Currency,
    /// Spreads election timeouts.
    pub(crate) random: ChaCha8Rng,
    /// What the caller must do, collected since it last asked.
    pub(crate) ready: Ready,
}

impl Consensus {
    /// A member as its disk describes it. `seed` spreads election timeouts.
    pub fn new(id: MemberId, kept: Persisted, timing: Timing, seed: u64, now: Millis) -> Self {
        let (index, term, members) = match &kept.snapshot {
            Some(snapshot) => (snapshot.index, snapshot.term, snapshot.members.clone()),
            None => (0, 0, Vec::new()),
        };
        let mut member = Self {
            id,
            timing,
            hard_state: kept.hard_state,
            log: Log::new(index, term),
            members,
            members_index: index,
            members_before: None,
            learners: BTreeMap::new(),
            lost: BTreeSet::new(),
            commit: index,
            applied: index,
            persisted: index,
            role: Role::Follower { leader: None },
            election_at: 0,
            early_at: None,
            early_until: now + timing.election,
            heartbeat_at: 0,
            leader_heard_at: None,
            votes_asked_at: now,
            currency: Currency::default(),
            random: ChaCha8Rng::seed_from_u64(seed ^ id),
            ready: Ready::default(),
        };
        for entry in kept.entries {
            member.append_to_memory(entry);
        }
        member.persisted = member.log.last_index();
        member.reset_election(now);
        member.early_at = Some(member.next_early(now));
        member
    }

    /// Begins a group of which this member is the only one.
    pub fn bootstrap(&mut self, member: Member, now: Millis) {
        let entry = Entry {
            term: 1,
            index: 1,
            payload: Payload::Members(vec![member]),
        };
        self.hard_state.term = 1;
        self.ready.hard_state = Some(self.hard_state);
        self.ready.entries.push(entry.clone());
        self.append_to_memory(entry);
        self.election_at = now;
    }

    /// This member's identity.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Newest term that this member knows.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Whether this member leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    /// Whether this member leads and has committed an entry of its own term, so
    /// that it knows all that was acknowledged before it.
    pub fn is_established(&self) -> bool {
        self.is_leader() && self.log.term_at(self.commit) == Some(self.term())
    }

    /// Leader of the term as far as this member knows.
    pub fn leader(&self) -> Option<MemberId> {
        match &self.role {
            Role::Follower { leader } => *leader,
            Role::Candidate { .. } => None,
            Role::Leader { .. } => Some(self.id),
        }
    }

    /// Voters by the newest entry that names them, committed or not.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Members that this leader sends the log without a vote.
    pub fn learners(&self) -> impl Iterator<Item = &Member> {
        let is_leader = self.is_leader();
        self.learners.values().filter(move |_| is_leader)
    }

    /// Whether this member votes.
    pub fn is_voter(&self) -> bool {
        self.members.iter().any(|member| member.id == self.id)
    }

    /// Last committed index.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Last index given out by [`Consensus::take_committed`].
    pub fn applied_index(&self) -> u64 {
        self.applied
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Adds a command to the log; none where this member does not lead.
    pub fn propose(&mut self, command: Bytes) -> Option<u64> {
        if !self.is_leader() {
            return None;
        }
        let index = self.append_own(Payload::Command(command));
        Some(index)
    }

    /// Lets time pass: heartbeats of a leader, elections of the others.
    pub fn tick(&mut self, now: Millis) {
        if self.is_leader() {
            self.tick_leader(now);
        } else if now >= self.election_at {
            self.reset_election(now);
            self.start_election(Ballot::PROBE, now);
        } else if self.early_at.is_some_and(|at| now >= at) {
            self.start_early_election(now);
        }
    }

    /// When [`Consensus::tick`] next has something to do.
    pub fn next_tick(&self) -> Millis {
        if self.is_leader() {
            self.heartbeat_at
        } else {
            let early = self.early_at.unwrap_or(self.election_at);
            self.election_at.min(early)
        }
    }

    /// Handles a message of a member.
    pub fn receive(&mut self, from: MemberId, message: Message, now: Millis) {
        if self.ignores(&message, now) {
            return;
        }
        self.follow_newer_term(&message, now);
        match message {
            Message::Vote {
                term,
                last_index,
                last_term,
                probe,
                ..
            } => self.on_vote(from, term, (last_term, last_index), probe, now),
            Message::VoteReply {
                term,
                granted,
                probe,
            } => self.on_vote_reply(from, term, granted, probe, now),
            Message::Append {
                term,
                previous_index,
                previous_term,
                entries,
                commit,
                read_index,
                sent_at,
            } => {
                let appended = Appended {
                    previous: (previous_index, previous_term),
                    entries,
                    commit,
                    read_index,
                    sent_at,
                };
                self.on_append(from, term, appended, now);
            }
            Message::AppendReply {
                term,
                matched,
                index,
                sent_at,
            } => {
                let times = ReplyTimes { sent_at, now };
                self.on_append_reply(from, term, matched, index, times);
            }
            Message::Install {
                term,
                snapshot,
                sent_at,
            } => self.on_install(from, term, snapshot, sent_at, now),
            Message::Transfer { term } => self.on_transfer(term, now),
        }
    }

    /// What there is to do since the last call.
    pub fn take_ready(&mut self) -> Ready {
        std::mem::take(&mut self.ready)
    }

    /// Term and vote, as they are to be kept.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    pub(crate) fn append_own(&mut self, payload: Payload) -> u64 {
        let entry = Entry {
            term: self.term(),
            index: self.log.last_index() + 1,
            payload,
        };
        let index = entry.index;
        self.ready.entries.push(entry.clone());
        self.append_to_memory(entry);
        index
    }

    pub(crate) fn reset_election(&mut self, now: Millis) {
        let spread = self.random.random_range(0..=self.timing.election);
        self.election_at = now + self.timing.election + spread;
    }

    pub(crate) fn send(&mut self, to: MemberId, message: Message) {
        self.ready.messages.push((to, message));
    }

    pub(crate) fn set_hard_state(&mut self, term: u64, voted_for: Option<MemberId>) {
        let state = HardState { term, voted_for };
        if state != self.hard_state {
            self.hard_state = state;
            self.ready.hard_state = Some(state);
        }
    }

    pub(crate) fn follow(&mut self, term: u64, leader: Option<MemberId>) {
        if term > self.hard_state.term {
            self.set_hard_state(term, None);
        }
        self.role = Role::Follower { leader };
    }
}
