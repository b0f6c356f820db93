//! One member of the group: its state, its public interface and the dispatch of messages.

use crate::freshness::Freshness;
use crate::log::Log;
use crate::message::{
    AppendBody, Entry, EntryId, HardState, Member, MemberId, Message, Payload, ReplyTimes,
};
use crate::ready::{Persisted, Ready};
use crate::role::{Campaign, Role};
use crate::timing::Timing;
use brasspond_units::Millis;
use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// One member of the group.
///
/// After each call that may produce work, the caller takes the [`Ready`] and processes it in the
/// order that is documented there.
pub struct Consensus {
    pub(crate) id: MemberId,
    pub(crate) timing: Timing,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    /// Voters as of the newest membership entry, committed or not.
    pub(crate) members: Vec<Member>,
    /// Index of the entry that set `members`.
    pub(crate) members_index: u64,
    /// Index and voters of the previous membership entry, restored if the newest one is truncated.
    pub(crate) previous_members: Option<(u64, Vec<Member>)>,
    /// Non-voting members that receive the log.
    pub(crate) learners: BTreeMap<MemberId, Member>,
    /// Members whose disks are lost for good.
    pub(crate) lost: BTreeSet<MemberId>,
    /// Last committed index.
    pub(crate) commit: u64,
    /// Last index handed to the caller to apply.
    pub(crate) applied: u64,
    /// Last index synced to disk.
    pub(crate) persisted: u64,
    pub(crate) role: Role,
    /// When this member starts an election unless it hears from a leader before.
    pub(crate) election_at: Millis,
    /// When this member next starts an early election after its own start; `None` once early
    /// elections are over.
    pub(crate) early_at: Option<Millis>,
    /// End of the period of early elections.
    pub(crate) early_until: Millis,
    /// When a leader sends its next heartbeats.
    pub(crate) heartbeat_at: Millis,
    /// When the last message of a leader arrived; `None` if there was none since this member
    /// started, began an election or learned that the leader's process ended.
    pub(crate) leader_heard_at: Option<Millis>,
    /// When this member last requested votes or pre-votes.
    pub(crate) campaigned_at: Millis,
    /// How up to date a follower's applied state is.
    pub(crate) freshness: Freshness,
    /// Source of the random election timeouts and of the intervals between early elections.
    pub(crate) rng: ChaCha8Rng,
    /// Work for the caller, collected since the last [`Consensus::take_ready`].
    pub(crate) ready: Ready,
}

impl Consensus {
    /// Restores a member from its disk. `seed` randomizes its election timeouts and early
    /// elections.
    pub fn new<S>(
        id: MemberId,
        persisted: Persisted<S>,
        timing: Timing,
        seed: u64,
        now: Millis,
    ) -> Self {
        let (index, term, members) = match &persisted.snapshot {
            Some(snapshot) => (snapshot.index, snapshot.term, snapshot.members.clone()),
            None => (0, 0, Vec::new()),
        };
        let (terms, memberships) = persisted.entries.into_parts();
        let mut member = Self {
            id,
            timing,
            hard_state: persisted.hard_state,
            log: Log::restore(index, term, terms),
            members,
            members_index: index,
            previous_members: None,
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
            campaigned_at: now,
            freshness: Freshness::default(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ id),
            ready: Ready::default(),
        };
        for membership in memberships {
            member.set_members(membership.index, membership.members);
        }
        member.persisted = member.log.last_index();
        member.reset_election_timer(now);
        member.early_at = Some(member.next_early_election(now));
        member
    }

    /// Creates a group with this member as its only voter.
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

    /// Identity of this member.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Newest term that this member knows.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Whether this member is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    /// Whether this member is the leader and has committed an entry of its own term. Its commit
    /// index then covers all entries that earlier leaders committed.
    pub fn is_established(&self) -> bool {
        self.is_leader() && self.log.term_at(self.commit) == Some(self.term())
    }

    /// Leader of the current term, if this member knows it.
    pub fn leader(&self) -> Option<MemberId> {
        match &self.role {
            Role::Follower { leader } => *leader,
            Role::Candidate { .. } => None,
            Role::Leader { .. } => Some(self.id),
        }
    }

    /// Voters as of the newest membership entry, committed or not.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Non-voting members that this leader sends the log to; empty on other members.
    pub fn learners(&self) -> impl Iterator<Item = &Member> {
        let is_leader = self.is_leader();
        self.learners.values().filter(move |_| is_leader)
    }

    /// Whether this member is a voter.
    pub fn is_voter(&self) -> bool {
        self.members.iter().any(|member| member.id == self.id)
    }

    /// Last committed index.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Last index returned by [`Consensus::take_committed`] or [`Consensus::take_stored`].
    pub fn applied_index(&self) -> u64 {
        self.applied
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Appends a command to the log and returns the identity of its entry; `None` if this member is
    /// not the leader.
    pub fn propose(&mut self, command: Bytes) -> Option<EntryId> {
        if !self.is_leader() {
            return None;
        }
        let index = self.append_as_leader(Payload::Command(command));
        Some(EntryId {
            term: self.term(),
            index,
        })
    }

    /// Handles timers: heartbeats on the leader, elections on other members.
    pub fn tick(&mut self, now: Millis) {
        if self.is_leader() {
            self.tick_leader(now);
        } else if now >= self.election_at {
            self.reset_election_timer(now);
            self.start_election(Campaign::PRE_VOTE, now);
        } else if self.early_at.is_some_and(|at| now >= at) {
            self.start_early_election(now);
        }
    }

    /// When [`Consensus::tick`] next has work.
    pub fn next_tick(&self) -> Millis {
        if self.is_leader() {
            self.heartbeat_at
        } else {
            let early = self.early_at.unwrap_or(self.election_at);
            self.election_at.min(early)
        }
    }

    /// Handles a message from another member.
    pub fn receive(&mut self, from: MemberId, message: Message, now: Millis) {
        if self.should_ignore(&message, now) {
            return;
        }
        self.adopt_newer_term(&message, now);
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
                let appended = AppendBody {
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

    /// Takes the work that was collected since the last call.
    pub fn take_ready(&mut self) -> Ready {
        std::mem::take(&mut self.ready)
    }

    /// Term and vote, as written to disk.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    pub(crate) fn append_as_leader(&mut self, payload: Payload) -> u64 {
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

    pub(crate) fn reset_election_timer(&mut self, now: Millis) {
        let jitter = self.rng.random_range(0..=self.timing.election);
        self.election_at = now + self.timing.election + jitter;
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

    pub(crate) fn become_follower(&mut self, term: u64, leader: Option<MemberId>) {
        if term > self.hard_state.term {
            self.set_hard_state(term, None);
        }
        self.role = Role::Follower { leader };
    }
}
