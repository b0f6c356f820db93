//! Replication of the log from the leader to the others.

use crate::log::Log;
use crate::message::{Entry, MemberId, Message, Snapshot};
use crate::node::{Consensus, Role};
use brasspond_units::Millis;

/// A leader is sure that it leads while a quorum answered it within this time, in
/// ms. Shorter than the shortest silence after which another may lead.
pub const READ_LEASE: Millis = 550;
/// Bytes of entries in one message.
const APPEND_BYTES: usize = 512 * 1024;

/// Pause before a snapshot is sent again, in ms.
const SNAPSHOT_PAUSE: Millis = 3_000;

/// What a leader knows of another member.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Next entry to send.
    pub next: u64,
    /// Last entry known to be the same there and synced.
    pub matched: u64,
    /// When the newest message that it answered was sent. Not when the answer was read: a
    /// leader that stood still reads answers of long ago as it wakes, and two processes
    /// counted as surely leading for up to 550 ms then.
    pub heard_at: Millis,
    /// The append that is not answered yet.
    pub(crate) awaiting: Option<Awaited>,
}

/// An append under way to another member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Awaited {
    since: Millis,
    last_index: u64,
}

/// What a leader sends a follower; see [`Message::Append`].
pub(crate) struct Appended {
    /// Index and term of the entry before the first.
    pub previous: (u64, u64),
    pub entries: Vec<Entry>,
    pub commit: u64,
    pub read_index: Option<u64>,
    pub sent_at: Millis,
}

/// When what a member answered was sent, and when the answer is read, in ms.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplyTimes {
    pub sent_at: Millis,
    pub now: Millis,
}

impl Progress {
    pub(crate) fn new(next: u64, now: Millis) -> Self {
        Self {
            next,
            matched: 0,
            heard_at: now,
            awaiting: None,
        }
    }
}

impl Consensus {
    /// What is known of a member; none unless this one leads.
    pub fn progress_of(&self, id: MemberId) -> Option<&Progress> {
        match &self.role {
            Role::Leader { progress, .. } => progress.get(&id),
            _ => None,
        }
    }

    /// Sends new entries to all that wait for them. Call after proposals.
    pub fn replicate(&mut self, now: Millis) {
        let Role::Leader { progress, .. } = &self.role else {
            return;
        };
        let last = self.log.last_index();
        let idle = progress
            .iter()
            .filter(|(_, peer)| peer.awaiting.is_none() && peer.next <= last);
        let behind: Vec<MemberId> = idle.map(|(id, _)| *id).collect();
        for member in behind {
            self.send_append(member, now);
        }
    }

    /// Heartbeats, repeated sends, and stepping down without a quorum.
    pub(crate) fn lead(&mut self, now: Millis) {
        if now < self.heartbeat_at || self.step_down_without_quorum(now) {
            return;
        }
        self.heartbeat_at = now + self.timing.heartbeat;
        let resend = self.timing.resend;
        let Role::Leader { progress, .. } = &mut self.role else {
            return;
        };
        let mut due = Vec::new();
        for (member, peer) in progress {
            if peer.awaiting.is_some_and(|sent| now >= sent.since + resend) {
                peer.awaiting = None;
                peer.next = peer.matched + 1;
            }
            due.push((*member, peer.awaiting.is_some()));
        }
        for (member, is_waiting) in due {
            if is_waiting {
                self.send_heartbeat(member, now);
            } else {
                self.send_append(member, now);
            }
        }
        self.advance_commit();
    }

    fn send_heartbeat(&mut self, member: MemberId, now: Millis) {
        let Some(peer) = self.progress_of(member) else {
            return;
        };
        let previous_index = peer.matched;
        let Some(previous_term) = self.log.term_at(previous_index) else {
            return;
        };
        let message = Message::Append {
            term: self.term(),
            previous_index,
            previous_term,
            entries: Vec::new(),
            commit: self.commit.min(previous_index),
            read_index: self.read_index(now),
            sent_at: now,
        };
        self.send(member, message);
    }

    /// What a follower must have applied to answer reads, for a short while.
    fn read_index(&self, now: Millis) -> Option<u64> {
        self.has_quorum_contact(READ_LEASE, now)
            .then_some(self.commit)
    }

    fn send_append(&mut self, member: MemberId, now: Millis) {
        let Some(next) = self.progress_of(member).map(|peer| peer.next) else {
            return;
        };
        let previous_index = next - 1;
        let message = match self.log.term_at(previous_index) {
            Some(previous_term) => Message::Append {
                term: self.term(),
                previous_index,
                previous_term,
                entries: self.log.slice(next, APPEND_BYTES),
                commit: self.commit,
                read_index: self.read_index(now),
                sent_at: now,
            },
            None => {
                self.want_history(member, next, now);
                return;
            }
        };
        let last_index = match &message {
            Message::Append { entries, .. } => previous_index + entries.len() as u64,
            _ => 0,
        };
        self.await_reply(member, last_index, now);
        self.send(member, message);
    }

    fn want_history(&mut self, member: MemberId, next: u64, now: Millis) {
        self.await_reply(member, next, now);
        self.ready.history_wanted.push((member, next));
    }

    fn await_reply(&mut self, member: MemberId, last_index: u64, now: Millis) {
        if let Role::Leader { progress, .. } = &mut self.role
            && let Some(peer) = progress.get_mut(&member)
        {
            peer.awaiting = Some(Awaited {
                since: now,
                last_index,
            });
        }
    }

    /// Sends entries read from disk that [`crate::Ready`] asked for;
    /// `previous_term` is that of the entry before the first.
    pub fn send_stored(
        &mut self,
        member: MemberId,
        previous_term: u64,
        entries: Vec<Entry>,
        now: Millis,
    ) {
        let Some(first) = entries.first().map(|entry| entry.index) else {
            return;
        };
        if !self.is_leader() {
            return;
        }
        let previous_index = first - 1;
        let last_index = previous_index + entries.len() as u64;
        let message = Message::Append {
            term: self.term(),
            previous_index,
            previous_term,
            entries,
            commit: self.commit,
            read_index: self.read_index(now),
            sent_at: now,
        };
        self.await_reply(member, last_index, now);
        self.send(member, message);
    }

    /// Sends a snapshot in place of entries that are on disk no longer. It is
    /// not sent again before long: it may be large.
    pub fn send_snapshot(&mut self, member: MemberId, snapshot: Snapshot, now: Millis) {
        let term = self.term();
        if !self.is_leader() {
            return;
        }
        let again = now + SNAPSHOT_PAUSE;
        self.await_reply(member, snapshot.index, again);
        let message = Message::Install {
            term,
            snapshot,
            sent_at: now,
        };
        self.send(member, message);
    }

    pub(crate) fn on_append(&mut self, from: MemberId, term: u64, appended: Appended, now: Millis) {
        let sent_at = appended.sent_at;
        if !self.accepts_leader(from, term, sent_at, now) {
            return;
        }
        let Appended {
            previous: (previous_index, previous_term),
            entries,
            commit,
            read_index,
            sent_at: _,
        } = appended;
        self.currency.told(read_index, now);
        let matched = match self.log.term_at(previous_index) {
            Some(known) => known == previous_term,
            // What lies before the compacted prefix is committed, so it matches.
            None => previous_index < self.log.base_index(),
        };
        if !matched {
            let index = self.log.last_index().min(previous_index.saturating_sub(1));
            self.reply(from, false, index.max(self.commit), sent_at);
            return;
        }
        let last = previous_index + entries.len() as u64;
        for entry in entries {
            self.take_entry(entry);
        }
        self.commit = self.commit.max(commit.min(last));
        self.reply(from, true, last, sent_at);
    }

    fn take_entry(&mut self, entry: Entry) {
        if entry.index <= self.log.base_index() {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => self.truncate(entry.index),
            None => {}
        }
        self.ready.entries.push(entry.clone());
        self.append_to_memory(entry);
    }

    pub(crate) fn on_install(
        &mut self,
        from: MemberId,
        term: u64,
        snapshot: Snapshot,
        sent_at: Millis,
        now: Millis,
    ) {
        if !self.accepts_leader(from, term, sent_at, now) {
            return;
        }
        let index = snapshot.index;
        if index > self.commit {
            self.log = Log::new(index, snapshot.term);
            self.members = snapshot.members.clone();
            self.members_index = index;
            self.members_before = None;
            self.commit = index;
            self.applied = index;
            self.persisted = index;
            self.ready.entries.clear();
            self.ready.truncate_from = None;
            self.ready.snapshot = Some(snapshot);
        }
        self.reply(from, true, index, sent_at);
    }

    fn accepts_leader(&mut self, from: MemberId, term: u64, sent_at: Millis, now: Millis) -> bool {
        if term < self.term() {
            self.reply(from, false, self.log.last_index(), sent_at);
            return false;
        }
        self.follow(term, Some(from));
        self.leader_heard_at = Some(now);
        self.reset_election(now);
        true
    }

    fn reply(&mut self, to: MemberId, matched: bool, index: u64, sent_at: Millis) {
        let term = self.term();
        self.send(
            to,
            Message::AppendReply {
                term,
                matched,
                index,
                sent_at,
            },
        );
    }

    pub(crate) fn on_append_reply(
        &mut self,
        from: MemberId,
        term: u64,
        matched: bool,
        index: u64,
        times: ReplyTimes,
    ) {
        let last = self.log.last_index();
        if term != self.term() {
            return;
        }
        let Role::Leader { progress, .. } = &mut self.role else {
            return;
        };
        let Some(peer) = progress.get_mut(&from) else {
            return;
        };
        peer.heard_at = peer.heard_at.max(times.sent_at.min(times.now));
        if matched {
            peer.matched = peer.matched.max(index);
            peer.next = peer.next.max(peer.matched + 1);
            // A heartbeat's reply tells less than the append under way.
            if peer.awaiting.is_none_or(|sent| index >= sent.last_index) {
                peer.awaiting = None;
                peer.next = peer.matched + 1;
            }
        } else {
            peer.next = (index + 1).min(last + 1).max(peer.matched + 1);
            peer.awaiting = None;
        }
        let is_behind = peer.next <= last && peer.awaiting.is_none();
        self.advance_commit();
        if is_behind {
            self.send_append(from, times.now);
        }
    }

    /// Commits what a quorum has synced, if it is of this leader's own term.
    pub(crate) fn advance_commit(&mut self) {
        let Role::Leader { progress, .. } = &self.role else {
            return;
        };
        let mut synced: Vec<u64> = Vec::with_capacity(self.members.len());
        for member in &self.members {
            let index = if member.id == self.id {
                self.persisted
            } else {
                progress.get(&member.id).map_or(0, |peer| peer.matched)
            };
            synced.push(index);
        }
        synced.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = synced.get(self.quorum() - 1).copied() else {
            return;
        };
        if index > self.commit && self.log.term_at(index) == Some(self.term()) {
            self.commit = index;
        }
    }
}
