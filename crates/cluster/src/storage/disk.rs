//! The file of the log: written before messages are sent, read for members that are far behind, and
//! rewritten when it grows too large.
//!
//! Owns [`Disk`]. A disk failure ends the process, since only stored entries may be acknowledged. A
//! rewrite that fails before it replaces the file does not.

use super::process::{ProcessError, Storage};
use super::snapshots::TableState;
use crate::clock::Moment;
use crate::memory::ResidentMemory;
use brasspond_consensus::{Entry, HardState, MemberId, Ready, Snapshot};
use brasspond_durable::{RecordLog, RecordLogError, SnapshotState};
use brasspond_units::Millis;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Maximum bytes of entries read from disk for one message between members. It is the same as the
/// limit for entries in memory.
const MAX_HISTORY_BYTES: u64 = 512 * 1024;
/// Minimum size of the file at which it is rewritten with a snapshot, in bytes.
const MIN_REWRITE_BYTES: u64 = 96 * 1024 * 1024;
/// Maximum share by which a process raises the size at which it rewrites its file. Rewriting 80 MB
/// occupies a process for a second. Members that all did so at once lost their leader again and
/// again, and had no history left for those that had fallen behind.
const REWRITE_SPREAD: f64 = 0.5;
/// Divisor of the file's size that gives the growth after which a failed rewrite is tried again.
const RETRY_GROWTH_DIVISOR: u64 = 10;

/// Time after which a withheld snapshot is tried again. Its size takes a leader 100 ms to compute.
const SNAPSHOT_RETRY_INTERVAL: Millis = 5_000;
/// Divisor of the memory limit that gives the share which a snapshot may not use.
const RESERVED_MEMORY_DIVISOR: u64 = 16;

/// The file of the log.
pub(super) struct Disk {
    log: RecordLog,
    /// Factor on the sizes at which the file is rewritten, from 1 to 1 + [`REWRITE_SPREAD`].
    rewrite_factor: f64,
    /// Size of the file at which it is rewritten, in bytes.
    rewrite_threshold: u64,
    /// Time spent writing in the current turn of the loop.
    turn_time: Duration,
    /// Until when no snapshot is sent, since there was no memory for the last one.
    snapshot_retry_at: Millis,
}

/// Size of the file at which it is rewritten, in bytes. `rewritten` is its size after the last time.
/// The threshold is at least twice that size. Otherwise a file whose snapshot is close to the minimum
/// size would be rewritten after every few entries.
fn rewrite_threshold(rewritten: u64, factor: f64) -> u64 {
    let least = MIN_REWRITE_BYTES.max(2 * rewritten);
    (least as f64 * factor) as u64
}

/// Whether a process that uses `used` of `limit` bytes can hold as many `more`; true if either is
/// unknown. A share of the limit is left for its other work.
fn fits(limit: Option<u64>, used: Option<u64>, more: u64) -> bool {
    let (Some(limit), Some(used)) = (limit, used) else {
        return true;
    };
    used + more <= limit - limit / RESERVED_MEMORY_DIVISOR
}

impl Disk {
    /// Wraps an open file. `random`, from 0 to 1, spreads the rewrites of the members of a group.
    pub fn new(log: RecordLog, random: f64) -> Self {
        let rewrite_factor = 1.0 + REWRITE_SPREAD * random;
        Self {
            log,
            rewrite_factor,
            rewrite_threshold: rewrite_threshold(0, rewrite_factor),
            turn_time: Duration::ZERO,
            snapshot_retry_at: 0,
        }
    }

    /// Size of the file in bytes.
    pub fn bytes(&self) -> u64 {
        self.log.bytes()
    }

    /// Index of the last entry that the file has only as part of its snapshot; 0 without a snapshot.
    pub fn base_index(&self) -> u64 {
        self.log.base_index()
    }

    /// Writes and syncs the entries and the consensus state in `ready`, and returns the time taken.
    pub fn persist(
        &mut self,
        ready: &Ready,
        hard_state: HardState,
    ) -> Result<Duration, ProcessError> {
        let started = Moment::now();
        self.log
            .persist(ready, hard_state)
            .map_err(ProcessError::Disk)?;
        let took = started.elapsed();
        self.turn_time += took;
        Ok(took)
    }

    /// Reads entries with these indices: up to `limit` bytes, but at least one.
    pub fn entries(
        &self,
        indices: RangeInclusive<u64>,
        limit: usize,
    ) -> Result<Vec<Entry>, ProcessError> {
        let entries = self.log.entries_in(indices, limit);
        entries.map_err(ProcessError::Disk)
    }

    /// Returns and resets the time spent writing in this turn of the loop.
    pub fn take_turn_time(&mut self) -> Duration {
        std::mem::take(&mut self.turn_time)
    }

    /// Replaces the file by a snapshot and its entries after the snapshot. If the new file cannot be written,
    /// for example because the disk is full, the old one stays in use until it has grown by a share.
    pub fn rewrite<S: SnapshotState>(
        &mut self,
        hard_state: HardState,
        snapshot: Snapshot<S>,
    ) -> Result<(), ProcessError> {
        let rewritten = self.log.compact(hard_state, snapshot);
        let bytes = self.log.bytes();
        match rewritten {
            Ok(()) => self.rewrite_threshold = rewrite_threshold(bytes, self.rewrite_factor),
            Err(error @ RecordLogError::Rewrite(_)) => {
                log::warn!("event=rewrite_failed file_bytes={bytes} error=\"{error}\"");
                self.rewrite_threshold = bytes + bytes / RETRY_GROWTH_DIVISOR;
            }
            Err(error) => return Err(ProcessError::Disk(error)),
        }
        Ok(())
    }

    /// Whether the file is due for a rewrite.
    pub fn needs_rewrite(&self) -> bool {
        self.log.bytes() > self.rewrite_threshold
    }
}

impl Storage {
    /// Sends a member the log from `next` on: entries from the file, or a snapshot if the file
    /// starts later. Sends nothing while an earlier message is queued on the member's link, or while
    /// this process has no memory for the snapshot; consensus then requests the entries again.
    pub(super) fn send_history(
        &mut self,
        member: MemberId,
        next: u64,
        now: Millis,
    ) -> Result<(), ProcessError> {
        if !self.is_link_idle(member) {
            return Ok(());
        }
        let stored = self.disk.log.entries_from(next, MAX_HISTORY_BYTES);
        if let Some((previous_term, entries)) = stored.map_err(ProcessError::Disk)? {
            self.consensus
                .send_stored(member, previous_term, entries, now);
            return Ok(());
        }
        if now < self.disk.snapshot_retry_at {
            return Ok(());
        }
        let state_bytes = self.encoded_table_bytes()?;
        if !self.has_memory_for(state_bytes) {
            self.disk.snapshot_retry_at = now + SNAPSHOT_RETRY_INTERVAL;
            log::warn!("event=snapshot_withheld member={member:016x} bytes={state_bytes}");
            return Ok(());
        }
        let snapshot = self.consensus.snapshot(self.encode_table()?);
        log::info!(
            "event=snapshot_sent member={member:016x} index={} bytes={}",
            snapshot.index,
            snapshot.state.len()
        );
        self.consensus.send_snapshot(member, snapshot, now);
        Ok(())
    }

    /// Whether this process stays within its memory limit if it holds as many bytes more. A leader that
    /// ended at the limit would be followed by one that has as much to send.
    fn has_memory_for(&self, bytes: u64) -> bool {
        let limit = self.settings.process.memory_limit;
        let used = ResidentMemory::read().map(|memory| memory.current_kb * 1_024);
        fits(limit, used, bytes)
    }

    /// Whether a member is connected and has no queued bytes.
    fn is_link_idle(&self, member: MemberId) -> bool {
        let link = self.group.link_of(member);
        let state = link.and_then(|link| self.links.get(link));
        state.is_some_and(|state| state.writer.queued_bytes() == 0)
    }

    /// Rewrites the file as a snapshot of the table and the entries after it.
    pub(super) fn rewrite_file(&mut self) -> Result<(), ProcessError> {
        let snapshot = self.consensus.snapshot(TableState {
            table: &self.table,
            files: &self.texts.files,
        });
        let hard_state = self.consensus.hard_state();
        self.disk.rewrite(hard_state, snapshot)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/disk.rs"]
mod tests;
