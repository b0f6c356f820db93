//! When a leader copies its view of the fleet into the log, for starts without the view's
//! source: a pure decision.
//!
//! A new leader may begin with such a copy itself. Until it has received the replicas from the
//! source, a copy would hold the old replicas beside newer versions, under a newer revision: each
//! change of leader would make the copy's replicas older by a pause.

use brasspond_fleet::FleetView;
use brasspond_units::Millis;

/// Pause between two copies, at the least. Not measured.
const COPY_PAUSE: Millis = 1_000;
/// Bytes of copies a millisecond at the most, as they stand in the log, which goes to all members
/// and their disks. Not measured.
const COPY_BYTES_A_MS: u64 = 30;
/// Time for a new leader to receive the replicas from the source: sixty calls one after another,
/// beside other processes that start. After it a leader copies what it has. Not measured.
const SOURCE_TIMEOUT: Millis = 5_000;

/// When a leader's view is copied.
#[derive(Clone, Copy, Debug)]
pub struct ViewCopies {
    /// The next copy is made no sooner.
    due_at: Millis,
    /// Revision of the replicas with which the leader began.
    first_replicas: u64,
    /// Until when the replicas of the source are waited for.
    source_until: Millis,
}

impl ViewCopies {
    /// For a leader that begins with this view.
    pub fn new(view: &FleetView, now: Millis) -> Self {
        Self {
            due_at: now,
            first_replicas: view.replicas_revision,
            source_until: now + SOURCE_TIMEOUT,
        }
    }

    /// Whether to copy the view, where the log's copy has the revision `known` (0: there is
    /// none). Never without a configuration.
    pub fn is_due(&self, view: &FleetView, known: u64, now: Millis) -> bool {
        let is_new = view.configuration.is_some() && revision(view) > known;
        let is_copy = view.replicas_revision == self.first_replicas && now < self.source_until;
        is_new && !is_copy && now >= self.due_at
    }

    /// A copy of this many bytes was put into the log.
    pub fn copied(&mut self, bytes: usize, now: Millis) {
        self.due_at = now + COPY_PAUSE.max(bytes as u64 / COPY_BYTES_A_MS);
    }
}

/// How new a view is: the highest revision of its parts.
pub fn revision(view: &FleetView) -> u64 {
    view.configuration_revision
        .max(view.replicas_revision)
        .max(view.versions_revision)
}
