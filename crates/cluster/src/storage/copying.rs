//! Decides when a leader copies its view of the fleet into the log, so that processes can start
//! while the view's source is unavailable. The decision is pure.
//!
//! A new leader may itself start with such a copy. Until it has received the replicas from the
//! source, another copy would combine the old replicas with newer versions under a newer revision,
//! and with every change of leader the replicas in the copy would become more outdated.

use brasspond_fleet::FleetView;
use brasspond_units::Millis;

const MIN_COPY_INTERVAL: Millis = 1_000;
/// Maximum rate of copies, in encoded bytes per ms. The log is replicated to all members and their
/// disks.
const MAX_COPY_BYTES_PER_MS: u64 = 30;
/// Maximum time that a new leader waits for the replicas from the source: enough for about sixty
/// sequential calls while other processes start. Afterwards the leader copies the replicas that it
/// knows.
const SOURCE_TIMEOUT: Millis = 5_000;

/// Schedule of the view's copies.
#[derive(Clone, Copy, Debug)]
pub struct ViewCopySchedule {
    /// The earliest time of the next copy.
    due_at: Millis,
    /// Revision of the replicas when the leader started.
    initial_replicas: u64,
    /// When to stop waiting for the replicas from the source.
    source_deadline: Millis,
}

impl ViewCopySchedule {
    /// Creates the schedule of a leader that starts with this view.
    pub fn new(view: &FleetView, now: Millis) -> Self {
        Self {
            due_at: now,
            initial_replicas: view.replicas_revision,
            source_deadline: now + SOURCE_TIMEOUT,
        }
    }

    /// Whether to copy the view, given the revision `logged_revision` of the log's copy (0 if there
    /// is none). A view without a configuration is never copied.
    pub fn is_due(&self, view: &FleetView, logged_revision: u64, now: Millis) -> bool {
        let is_new = view.configuration.is_some() && revision(view) > logged_revision;
        let is_stale =
            view.replicas_revision == self.initial_replicas && now < self.source_deadline;
        is_new && !is_stale && now >= self.due_at
    }

    /// Records that a copy of this many bytes was added to the log.
    pub fn record_copy(&mut self, bytes: usize, now: Millis) {
        self.due_at = now + MIN_COPY_INTERVAL.max(bytes as u64 / MAX_COPY_BYTES_PER_MS);
    }
}

/// Revision of a view: the highest revision of its parts.
pub fn revision(view: &FleetView) -> u64 {
    view.configuration_revision
        .max(view.replicas_revision)
        .max(view.versions_revision)
}
