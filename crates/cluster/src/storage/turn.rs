//! The end of a turn of the event loop: advances time, then persists, sends and applies until no
//! work is left.
//!
//! Consensus requires that entries are written and synced before messages are sent.

use super::leader::LEADER_TICK;
use super::order_log::LastAnnouncements;
use super::process::{ProcessError, Storage};
use crate::clock::Moment;
use brasspond_consensus::{Entry, Ready, Snapshot};
use brasspond_durable::RecordLogError;
use brasspond_units::Millis;
use std::time::Duration;

/// Maximum time that a process other than the leader waits for an event. It has no periodic tasks
/// that need the leader's tick.
const MAX_FOLLOWER_WAIT: Millis = 3 * LEADER_TICK;
/// Interval at which the texts of one ended job are written to disk and expired connections are
/// closed.
const CLEANUP_INTERVAL: Millis = 100;
/// Bytes of log kept in memory for followers that are slightly behind. Followers that are further
/// behind are sent entries from the file.
const LOG_MEMORY_BYTES: usize = 256 * 1024;
/// Maximum bytes of log kept in memory until they are applied: enough for the entries on their way
/// to a quorum. Entries beyond it are read from the file.
const MAX_UNAPPLIED_BYTES: usize = 2 * 1024 * 1024;
/// Maximum bytes of commands applied before messages are sent and questions are answered: a few ms
/// of work.
const MAX_APPLY_BYTES: usize = 128 * 1024;
/// Maximum time for which committed entries are applied before links are read again. A member that
/// applies a long log is silent for that long, which must be well below the minimum election
/// timeout. Applying a long log at once caused three elections.
const MAX_APPLY_TIME: Duration = Duration::from_millis(30);

impl Storage {
    /// Returns when this process must run next if no event arrives.
    pub(super) fn next_wake(&self) -> Millis {
        let now = self.clock.now();
        if self.consensus.has_backlog() {
            return now;
        }
        let longest_wait = if self.leader_state.is_some() {
            LEADER_TICK
        } else {
            MAX_FOLLOWER_WAIT
        };
        let wakes = [
            Some(now + longest_wait),
            Some(self.consensus.next_tick()),
            self.questions.next_due(),
            self.next_opening(),
        ];
        wakes.into_iter().flatten().min().unwrap_or(now)
    }

    /// Advances time, then persists, sends and applies until no work is left, or until
    /// [`MAX_APPLY_TIME`] has passed while committed entries remain to be applied.
    ///
    /// # Errors
    /// See [`ProcessError`]; the process must end.
    pub(super) fn finish_turn(&mut self) -> Result<(), ProcessError> {
        let now = self.clock.now();
        let started = Moment::now();
        self.consensus.tick(now);
        self.update_leadership(now);
        while self.advance(now)? {
            if self.consensus.has_backlog() && started.elapsed() >= MAX_APPLY_TIME {
                break;
            }
        }
        self.send_quarantine();
        if self.has_newer_copy && !self.consensus.has_backlog() {
            self.merge_view_copy();
        }
        self.clean_up(now);
        self.log_traffic(now);
        self.log_changes(now);
        self.consensus.compact(LOG_MEMORY_BYTES);
        self.consensus.unload(MAX_UNAPPLIED_BYTES);
        self.update_state(now);
        if self.disk.needs_rewrite() && self.may_rewrite() {
            self.rewrite_file()?;
        }
        Ok(())
    }

    /// Whether a rewrite would shorten the file: the entries that it drops are applied.
    fn may_rewrite(&self) -> bool {
        let applied = self.consensus.applied_index();
        applied > self.disk.base_index() && !self.consensus.has_backlog()
    }

    /// Persists, then sends and applies. Returns whether there may be more to do.
    fn advance(&mut self, now: Millis) -> Result<bool, ProcessError> {
        self.propose_results();
        self.consensus.replicate(now);
        let mut ready = self.consensus.take_ready();
        let has_persisted = self.persist(&ready)?;
        if let Some(snapshot) = ready.snapshot.take() {
            self.install_snapshot(snapshot, now)?;
        }
        self.consensus.persisted(self.consensus.last_index());
        let has_messages = !ready.messages.is_empty();
        for (to, message) in ready.messages {
            self.send_to_member(to, message);
        }
        for (member, next) in ready.entries_from_disk {
            self.send_history(member, next, now)?;
        }
        let committed = self.take_committed()?;
        let has_committed = !committed.is_empty();
        for entry in committed {
            self.apply(entry)?;
        }
        self.offload_excess_texts();
        self.answer_waiting(now);
        Ok(has_persisted || has_messages || has_committed || self.has_pending_results())
    }

    /// Takes committed entries to apply, from memory or from the file.
    fn take_committed(&mut self) -> Result<Vec<Entry>, ProcessError> {
        let Some(indices) = self.consensus.next_stored() else {
            return Ok(self.consensus.take_committed(MAX_APPLY_BYTES));
        };
        let first = *indices.start();
        let entries = self.disk.entries(indices, MAX_APPLY_BYTES)?;
        let taken = self.consensus.take_stored(entries);
        if taken.is_empty() {
            return Err(ProcessError::Disk(RecordLogError::Missing(first)));
        }
        Ok(taken)
    }

    /// Writes and syncs the entries and the consensus state in `ready`. Returns whether there were
    /// any.
    fn persist(&mut self, ready: &Ready) -> Result<bool, ProcessError> {
        if !ready.must_sync() {
            return Ok(false);
        }
        let took = self.disk.persist(ready, self.consensus.hard_state())?;
        self.metrics.sync(took.as_secs_f64());
        Ok(true)
    }

    /// Replaces the table by the leader's snapshot. Orders announced in the log entries that the
    /// snapshot replaces are unknown.
    fn install_snapshot(&mut self, snapshot: Snapshot, now: Millis) -> Result<(), ProcessError> {
        self.replace_table(&snapshot.state)?;
        self.last_announcements = LastAnnouncements::after_snapshot(now);
        log::info!("event=snapshot_installed index={}", snapshot.index);
        Ok(())
    }

    /// Moves the texts of an ended job to disk and closes expired connections, unless committed
    /// entries are waiting to be applied.
    fn clean_up(&mut self, now: Millis) {
        if now >= self.cleaned_at + CLEANUP_INTERVAL && !self.consensus.has_backlog() {
            self.cleaned_at = now;
            self.offload_texts();
            self.pool.close_expired();
        }
    }
}
