//! Decides when a storage process outside the group reads the group's record. The decision is pure.
//!
//! The registry with the record is shared with other systems and charges for calls, and on a large
//! fleet most storage processes are outside the group. A process does not read the record while it
//! receives heartbeats from the leader. When the leader is silent to all processes at once, each
//! reads after its own jitter and then backs off exponentially.

use brasspond_units::Millis;

/// Maximum jitter of the first read when a cluster starts for the first time, in ms. The first
/// process that finds no record creates it, and later ones find it.
const FIRST_START_JITTER_MS: f64 = 600.0;
/// Maximum jitter of the first read of a process that restarts, in ms. It is short, since the group
/// may need the process soon.
const RESTART_JITTER_MS: f64 = 150.0;
/// Delay before a process creates the record, as a multiple of the time that reading it took. If
/// that time is 13 ms shorter than in another region, the difference outweighs
/// [`FIRST_START_JITTER_MS`], so a process near the registry creates the record and the group forms
/// there.
const CREATE_DELAY_FACTOR: Millis = 46;
/// Upper bound of that delay, so that a slow registry does not delay the first start much. A
/// process that reads in 17 ms still creates the record before one that takes 44 ms, whatever their
/// jitter.
const MAX_CREATE_DELAY: Millis = 1_400;
/// Silence of the leader after which the group counts as leaderless: longer than three heartbeats
/// ([`HEARTBEAT_INTERVAL`]) and than an election.
const LEADERLESS_TIMEOUT: Millis = 3_500;
/// Interval between heartbeats from the leader to a process outside the group.
pub const HEARTBEAT_INTERVAL: Millis = 1_000;
/// Maximum jitter of the first read after the group counts as leaderless, in ms.
const LEADERLESS_JITTER_MS: f64 = 4_000.0;
/// First backoff between reads, in ms. The backoff doubles with each read.
const MIN_READ_BACKOFF_MS: f64 = 400.0;
/// Maximum backoff between reads, in ms. With it, 45 processes make about five calls per second.
const MAX_READ_BACKOFF_MS: f64 = 10_000.0;

/// Delay before a process creates the record after it took `read_ms` to find that none exists.
pub fn creation_delay(read_ms: Millis) -> Millis {
    (read_ms * CREATE_DELAY_FACTOR).min(MAX_CREATE_DELAY)
}

/// Schedule of reads of the record.
#[derive(Clone, Debug)]
pub struct RecordSearch {
    /// Jitter factor of this process, from 0 to 1.
    jitter: f64,
    /// When the record is read next.
    read_at: Millis,
    /// Backoff after that read, in ms, before `jitter` is applied.
    backoff_ms: f64,
}

impl RecordSearch {
    /// Creates the schedule of a starting process. `jitter` is a random number from 0 to 1.
    pub fn new(may_bootstrap: bool, jitter: f64, now: Millis) -> Self {
        let max_jitter_ms = if may_bootstrap {
            FIRST_START_JITTER_MS
        } else {
            RESTART_JITTER_MS
        };
        Self {
            jitter,
            read_at: now + (jitter * max_jitter_ms) as Millis,
            backoff_ms: MIN_READ_BACKOFF_MS,
        }
    }

    /// Records a sign that the group has a leader.
    pub fn leader_seen(&mut self, now: Millis) {
        self.read_at = now + LEADERLESS_TIMEOUT + (self.jitter * LEADERLESS_JITTER_MS) as Millis;
        self.backoff_ms = MIN_READ_BACKOFF_MS;
    }

    /// Whether to read the record now.
    pub fn is_due(&self, now: Millis) -> bool {
        now >= self.read_at
    }

    /// Records that a read starts, and schedules the next one.
    pub fn read_started(&mut self, now: Millis) {
        let backoff_ms = self.backoff_ms * (0.5 + self.jitter);
        self.read_at = self.read_at.max(now + backoff_ms as Millis);
        self.backoff_ms = (self.backoff_ms * 2.0).min(MAX_READ_BACKOFF_MS);
    }
}
