//! Replication of the log: the leader sends appends and snapshots, followers handle them, and the
//! leader commits entries.

use crate::log::Log;
use crate::message::{AppendBody, Entry, MemberId, Message, ReplyTimes, Snapshot};
use crate::node::Consensus;
use crate::role::{Inflight, Progress, Role};
use crate::timing::READ_LEASE;
use brasspond_units::Millis;

/// Maximum size of the commands in one append, in bytes. A larger command is sent alone.
const MAX_APPEND_BYTES: usize = 512 * 1024;
/// Extra time before an unanswered snapshot is sent again, since the receiver writes it to disk
/// before it answers.
const SNAPSHOT_RESEND_DELAY: Millis = 3_000;

impl Consensus {
    /// Replication state of the member `id`; `None` unless this member leads and sends the log to
    /// it.
    pub fn progress_of(&self, id: MemberId) -> Option<&Progress> {
        match &self.role {
            Role::Leader { progress, .. } => progress.get(&id),
            _ => None,
        }
    }

    /// Sends new entries to each member for which no append, snapshot or read from disk is in
    /// flight. Call it after proposals.
    pub fn replicate(&mut self, now: Millis) {
        let Role::Leader { progress, .. } = &self.role else {
            return;
        };
        let last = self.log.last_index();
        let ready = progress
            .iter()
            .filter(|(_, peer)| peer.inflight.is_none() && peer.next <= last);
        let targets: Vec<MemberId> = ready.map(|(id, _)| *id).collect();
        for member in targets {
            self.send_append(member, now);
        }
    }

    /// At each heartbeat, steps down if a quorum has not answered for too long. Otherwise sends
    /// each member an append, which may be empty. If an append, a snapshot or a read from disk is
    /// in flight, a heartbeat is sent instead. Appends and reads from disk count as in flight for
    /// [`crate::Timing::resend`], snapshots for [`SNAPSHOT_RESEND_DELAY`] longer.
    pub(crate) fn tick_leader(&mut self, now: Millis) {
        if now < self.heartbeat_at || self.step_down_without_quorum(now) {
            return;
        }
        self.heartbeat_at = now + self.timing.heartbeat;
        let resend = self.timing.resend;
        let Role::Leader { progress, .. } = &mut self.role else {
            return;
        };
        let mut targets = Vec::new();
        for (member, peer) in progress {
            if peer
                .inflight
                .is_some_and(|sent| now >= sent.timeout_start + resend)
            {
                peer.inflight = None;
                peer.next = peer.matched + 1;
            }
            targets.push((*member, peer.inflight.is_some()));
        }
        for (member, is_inflight) in targets {
            if is_inflight {
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

    /// Index up to which a follower must apply the log before it may answer reads; `None` if no
    /// quorum answered within [`READ_LEASE`].
    fn read_index(&self, now: Millis) -> Option<u64> {
        self.has_quorum_contact(READ_LEASE, now)
            .then_some(self.commit)
    }

    fn send_append(&mut self, member: MemberId, now: Millis) {
        let Some(next) = self.progress_of(member).map(|peer| peer.next) else {
            return;
        };
        let previous_index = next - 1;
        let previous_term = self.log.term_at(previous_index);
        let message = match previous_term.filter(|_| !self.log.is_stored(next)) {
            Some(previous_term) => Message::Append {
                term: self.term(),
                previous_index,
                previous_term,
                entries: self.log.slice(next, MAX_APPEND_BYTES),
                commit: self.commit,
                read_index: self.read_index(now),
                sent_at: now,
            },
            None => {
                self.request_stored_entries(member, next, now);
                return;
            }
        };
        let last_index = match &message {
            Message::Append { entries, .. } => previous_index + entries.len() as u64,
            _ => 0,
        };
        self.track_inflight(member, last_index, now);
        self.send(member, message);
    }

    /// Asks the caller to read entries from disk, because they are no longer in memory, and to pass
    /// them to [`Self::send_stored`].
    fn request_stored_entries(&mut self, member: MemberId, next: u64, now: Millis) {
        self.track_inflight(member, next, now);
        self.ready.entries_from_disk.push((member, next));
    }

    fn track_inflight(&mut self, member: MemberId, last_index: u64, timeout_start: Millis) {
        if let Role::Leader { progress, .. } = &mut self.role
            && let Some(peer) = progress.get_mut(&member)
        {
            peer.inflight = Some(Inflight {
                timeout_start,
                last_index,
            });
        }
    }

    /// Sends entries that were read from disk for [`crate::Ready::entries_from_disk`];
    /// `previous_term` is the term of the entry before the first.
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
        self.track_inflight(member, last_index, now);
        self.send(member, message);
    }

    /// Sends a snapshot in place of entries that are no longer on disk.
    pub fn send_snapshot(&mut self, member: MemberId, snapshot: Snapshot, now: Millis) {
        let term = self.term();
        if !self.is_leader() {
            return;
        }
        let timeout_start = now + SNAPSHOT_RESEND_DELAY;
        self.track_inflight(member, snapshot.index, timeout_start);
        let message = Message::Install {
            term,
            snapshot,
            sent_at: now,
        };
        self.send(member, message);
    }

    pub(crate) fn on_append(
        &mut self,
        from: MemberId,
        term: u64,
        appended: AppendBody,
        now: Millis,
    ) {
        let sent_at = appended.sent_at;
        if !self.accept_leader(from, term, sent_at, now) {
            return;
        }
        let AppendBody {
            previous: (previous_index, previous_term),
            entries,
            commit,
            read_index,
            sent_at: _,
        } = appended;
        self.freshness.on_leader_message(read_index, now);
        let log_matches = match self.log.term_at(previous_index) {
            Some(local_term) => local_term == previous_term,
            // Compacted entries are committed, so they match those of the leader.
            None => previous_index < self.log.base_index(),
        };
        if !log_matches {
            // The leader next sends the entries after the index in the reply: one entry earlier
            // than now, or from the end of this member's log if the log ends before that. The
            // committed entries match the leader's, so the index is not below them.
            let last_possible_match = self.log.last_index().min(previous_index.saturating_sub(1));
            self.reply(from, false, last_possible_match.max(self.commit), sent_at);
            return;
        }
        let last = previous_index + entries.len() as u64;
        for entry in entries {
            self.append_received(entry);
        }
        self.commit = self.commit.max(commit.min(last));
        self.reply(from, true, last, sent_at);
    }

    /// Appends an entry from the leader. A conflicting entry and all entries after it are removed.
    fn append_received(&mut self, entry: Entry) {
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
        if !self.accept_leader(from, term, sent_at, now) {
            return;
        }
        let index = snapshot.index;
        if index > self.commit {
            self.log = Log::new(index, snapshot.term);
            self.members = snapshot.members.clone();
            self.members_index = index;
            self.previous_members = None;
            self.commit = index;
            self.applied = index;
            self.persisted = index;
            self.ready.entries.clear();
            self.ready.truncate_from = None;
            self.ready.snapshot = Some(snapshot);
        }
        self.reply(from, true, index, sent_at);
    }

    /// Follows the sender unless its term is outdated; returns whether the message is accepted.
    fn accept_leader(&mut self, from: MemberId, term: u64, sent_at: Millis, now: Millis) -> bool {
        if term < self.term() {
            self.reply(from, false, self.log.last_index(), sent_at);
            return false;
        }
        self.become_follower(term, Some(from));
        self.leader_heard_at = Some(now);
        self.reset_election_timer(now);
        true
    }

    fn reply(&mut self, to: MemberId, log_matches: bool, index: u64, sent_at: Millis) {
        let term = self.term();
        self.send(
            to,
            Message::AppendReply {
                term,
                matched: log_matches,
                index,
                sent_at,
            },
        );
    }

    pub(crate) fn on_append_reply(
        &mut self,
        from: MemberId,
        term: u64,
        log_matches: bool,
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
        peer.last_contact = peer.last_contact.max(times.sent_at.min(times.now));
        if log_matches {
            peer.matched = peer.matched.max(index);
            peer.next = peer.next.max(peer.matched + 1);
            // A reply with a lower index answers a heartbeat or an earlier append, so the append,
            // snapshot or read in `inflight` is still in flight.
            if peer.inflight.is_none_or(|sent| index >= sent.last_index) {
                peer.inflight = None;
                peer.next = peer.matched + 1;
            }
        } else {
            peer.next = (index + 1).min(last + 1).max(peer.matched + 1);
            peer.inflight = None;
        }
        let is_behind = peer.next <= last && peer.inflight.is_none();
        self.advance_commit();
        if is_behind {
            self.send_append(from, times.now);
        }
    }

    /// Commits the entries that a quorum has synced, if the last of them is of the current term. An
    /// entry of an earlier term may still be overwritten by another leader although a quorum has
    /// synced it; it is committed together with a later entry of the current term.
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
