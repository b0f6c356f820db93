//! When a leader copies its view of the fleet into the log, for starts without the view's
//! source.
//!
//! A leader begins with such a copy itself. Until the source has told it the replicas anew,
//! what it would copy is the old replicas beside versions that are newer, under a newer
//! revision: each change of leader would make the copy's replicas older by a pause.

use brasspond_fleet::FleetView;

/// Pause between two copies, in ms, at the least.
const PAUSE: u64 = 1_000;
/// Bytes of copies a millisecond at the most, as they stand in the log.
const BYTES_A_MS: u64 = 30;
/// Time for the source to tell a new leader the replicas, in ms: sixty calls one after
/// another, beside others that start. After it a leader copies what it has.
const SOURCE_TIME: u64 = 5_000;

/// Copies of a leader's view.
#[derive(Clone, Copy, Debug)]
pub struct ViewCopies {
    due_at: u64,
    /// Revision of the replicas with which the leader began.
    first_replicas: u64,
    /// Until when the source may still tell others.
    source_until: u64,
}

impl ViewCopies {
    /// For a leader that begins with this view.
    pub fn new(view: &FleetView, now: u64) -> Self {
        Self {
            due_at: now,
            first_replicas: view.replicas_revision,
            source_until: now + SOURCE_TIME,
        }
    }

    /// Whether to copy the view, where the log's copy is as of `known`.
    pub fn is_due(&self, view: &FleetView, known: u64, now: u64) -> bool {
        let is_new = view.configuration.is_some() && revision(view) > known;
        let is_copy = view.replicas_revision == self.first_replicas && now < self.source_until;
        is_new && !is_copy && now >= self.due_at
    }

    /// A copy of this size was put into the log.
    pub fn copied(&mut self, bytes: usize, now: u64) {
        self.due_at = now + PAUSE.max(bytes as u64 / BYTES_A_MS);
    }
}

/// How new a view is.
pub fn revision(view: &FleetView) -> u64 {
    view.configuration_revision
        .max(view.replicas_revision)
        .max(view.versions_revision)
}
