//! One member: its state, and what it wants done.

use crate::currency::Currency;
use crate::election::Ballot;
use crate::log::Log;
use crate::message::{Entry, HardState, Member, MemberId, Message, Payload, Snapshot};
use crate::replication::{Appended, Progress, ReplyTimes};
use brasspond_units::Millis;
use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Periods of a group.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Pause between heartbeats of a leader, in ms.
    pub heartbeat: Millis,
    /// Shortest silence of a leader after which another is sought, in ms; the
    /// longest is twice that.
    pub election: Millis,
    /// Pause after which an unanswered append is sent again, in ms.
    pub resend: Millis,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: 150,
            election: 600,
            resend: 400,
        }
    }
}

/// What a member kept on its disk.
#[derive(Clone, Debug, Default)]
pub struct Persisted {
    /// Elections.
    pub hard_state: HardState,
    /// Newest snapshot; none where the log is whole.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// What the caller must do, in this order: write and sync `hard_state`,
/// `snapshot`, `truncate_from` and `entries`; call [`Consensus::persisted`];
/// send `messages`; send the history wanted.
#[derive(Debug, Default)]
pub struct Ready {
    /// To be written where it changed.
    pub hard_state: Option<HardState>,
    /// Takes the place of state machine and log.
    pub snapshot: Option<Snapshot>,
    /// Entries from here on are void.
    pub truncate_from: Option<u64>,
    /// Entries to be appended to the log on disk.
    pub entries: Vec<Entry>,
    /// Messages to members, to be sent after the sync.
    pub messages: Vec<(MemberId, Message)>,
    /// Members that need entries no longer in memory, from this index on:
    /// [`Consensus::send_stored`], or else [`Consensus::send_snapshot`].
    pub history_wanted: Vec<(MemberId, u64)>,
}

impl Ready {
    /// Whether something must be synced before messages may go.
    pub fn must_sync(&self) -> bool {
        self.hard_state.is_some()
            || self.snapshot.is_some()
            || self.truncate_from.is_some()
            || !self.entries.is_empty()
    }
}

/// What a member is at present.
#[derive(Clone, Debug)]
pub enum Role {
    /// Follows a leader, or waits to hear of one.
    Follower {
        /// Leader of the term, once heard of.
        leader: Option<MemberId>,
    },
    /// Stands for election.
    Candidate {
        /// Members that said yes.
        votes: BTreeSet<MemberId>,
        /// Only asks whether it could win.
        probe: bool,
        /// At the wish of the leader before.
        transfer: bool,
        /// Wins only if every voter agrees: it may be sooner than a leader's
        /// lease ends, and a living leader never agrees.
        unanimous: bool,
    },
    /// Leads.
    Leader {
        /// What each other member has.
        progress: BTreeMap<MemberId, Progress>,
        /// When it began to lead.
        since: Millis,
    },
}

/// One member of the group. See the module's page for the order of calls.
pub struct Consensus {
    pub(crate) id: MemberId,
    pub(crate) timing: Timing,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) members: Vec<Member>,
    pub(crate) members_index: u64,
    /// Voters before the newest change, in case that is truncated.
    pub(crate) members_before: Option<(u64, Vec<Member>)>,
    pub(crate) learners: BTreeMap<MemberId, Member>,
    /// Members whose disks are known to be lost.
    pub(crate) lost: BTreeSet<MemberId>,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    pub(crate) persisted: u64,
    pub(crate) role: Role,
    pub(crate) election_at: Millis,
    /// When this member, just started, next asks whether all voters just
    /// started; none once it has heard of a leader, or long enough.
    pub(crate) early_at: Option<Millis>,
    pub(crate) early_until: Millis,
    pub(crate) heartbeat_at: Millis,
    pub(crate) leader_heard_at: Option<Millis>,
    /// When this member last asked for votes.
    pub(crate) stood_at: Millis,
    pub(crate) currency: Currency,
    pub(crate) random: ChaCha8Rng,
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
            stood_at: now,
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

    /// Newest term heard of.
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

    /// Whether a quorum answered this leader within `window` ms.
    pub fn has_quorum_contact(&self, window: Millis, now: Millis) -> bool {
        let Role::Leader { progress, .. } = &self.role else {
            return false;
        };
        let heard = self.members.iter().filter(|member| {
            member.id == self.id
                || progress
                    .get(&member.id)
                    .is_some_and(|peer| peer.heard_at + window >= now)
        });
        heard.count() >= self.quorum()
    }

    /// Leader of the term as far as this member knows.
    pub fn leader(&self) -> Option<MemberId> {
        match &self.role {
            Role::Follower { leader } => *leader,
            Role::Candidate { .. } => None,
            Role::Leader { .. } => Some(self.id),
        }
    }

    /// When this member began to lead.
    pub fn leading_since(&self) -> Option<Millis> {
        match &self.role {
            Role::Leader { since, .. } => Some(*since),
            _ => None,
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

    /// Bytes of commands held in memory for followers.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Voters needed to commit: a majority, but never more than the voters
    /// whose disks are not known to be lost.
    pub fn quorum(&self) -> usize {
        self.majority().min(self.survivors())
    }

    /// Voters needed to elect. An entry committed by a majority is held by at
    /// least `majority - lost` survivors, so this many of them always include
    /// one that holds it, and two elections always share a voter.
    pub(crate) fn election_quorum(&self) -> usize {
        let holds_all = self.members.len() - self.majority() + 1;
        holds_all.max(self.survivors() / 2 + 1)
    }

    fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    fn survivors(&self) -> usize {
        let live = self
            .members
            .iter()
            .filter(|one| !self.lost.contains(&one.id));
        live.count()
    }

    /// Tells that a member's disk is lost for good: its machine came back under
    /// another identity. Must be certain, since its vote is no longer waited
    /// for where the others suffice (groups of an even size).
    pub fn note_lost(&mut self, id: MemberId) {
        if id != self.id {
            self.lost.insert(id);
        }
    }

    /// Adds a command to the log; none where this member does not lead.
    pub fn propose(&mut self, command: Bytes) -> Option<u64> {
        if !self.is_leader() {
            return None;
        }
        let index = self.append_own(Payload::Command(command));
        Some(index)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Millis) {
        if self.is_leader() {
            self.lead(now);
        } else if now >= self.election_at {
            self.reset_election(now);
            self.stand(Ballot::PROBE, now);
        } else if self.early_at.is_some_and(|at| now >= at) {
            self.stand_early(now);
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

    /// Takes a message from a member.
    pub fn receive(&mut self, from: MemberId, message: Message, now: Millis) {
        if self.ignores(&message, now) {
            return;
        }
        self.heed_term(&message, now);
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

    /// Tells that everything in the last [`Ready`] up to `index` is synced.
    pub fn persisted(&mut self, index: u64) {
        self.persisted = index.min(self.log.last_index());
        self.advance_commit();
    }

    /// What there is to do since the last call.
    pub fn take_ready(&mut self) -> Ready {
        std::mem::take(&mut self.ready)
    }

    /// Entries that are committed and not yet applied: about `limit` bytes of
    /// commands, but at least one entry if there is one. A member that starts has its
    /// whole log to apply and must go on answering others meanwhile.
    pub fn take_committed(&mut self, limit: usize) -> Vec<Entry> {
        let last = self.commit.min(self.persisted);
        let mut entries = self.log.slice(self.applied + 1, limit);
        entries.retain(|entry| entry.index <= last);
        self.applied += entries.len() as u64;
        self.currency.applied(self.applied);
        entries
    }

    /// Whether committed entries are left to apply.
    pub fn has_backlog(&self) -> bool {
        self.applied < self.commit.min(self.persisted)
    }

    /// Whether this follower has applied all that was acknowledged up to `window`
    /// ms ago. Call after [`Consensus::take_committed`], with its entries applied.
    pub fn is_current(&self, window: Millis, now: Millis) -> bool {
        self.currency.is_current(window, now)
    }

    /// Entries after the last applied one, for a file begun anew.
    pub fn unapplied(&self) -> Vec<Entry> {
        self.log.slice(self.applied + 1, usize::MAX)
    }

    /// What this member remembers about elections.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Drops entries from memory that are applied, but for the last `keep`
    /// bytes, which followers may still need.
    pub fn compact(&mut self, keep: usize) {
        while self.log.bytes() > keep && self.log.base_index() < self.applied {
            self.log.compact(self.log.base_index() + 1);
        }
    }

    /// Term and voters for a snapshot of the state after the last applied entry.
    pub fn snapshot(&self, state: Bytes) -> Snapshot {
        let members = match &self.members_before {
            Some((_, before)) if self.members_index > self.applied => before.clone(),
            _ => self.members.clone(),
        };
        Snapshot {
            index: self.applied,
            term: self.log.term_at(self.applied).unwrap_or_default(),
            members,
            state,
        }
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

    pub(crate) fn append_to_memory(&mut self, entry: Entry) {
        if let Payload::Members(members) = &entry.payload {
            let before = std::mem::replace(&mut self.members, members.clone());
            self.members_before = Some((self.members_index, before));
            self.members_index = entry.index;
        }
        self.log.push(entry);
    }

    pub(crate) fn truncate(&mut self, first: u64) {
        self.log.truncate(first);
        self.ready.entries.retain(|entry| entry.index < first);
        let from = self.ready.truncate_from.map_or(first, |old| old.min(first));
        self.ready.truncate_from = Some(from);
        self.persisted = self.persisted.min(first - 1);
        if self.members_index >= first
            && let Some((index, members)) = self.members_before.take()
        {
            self.members = members;
            self.members_index = index;
        }
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
