//! Proposals of the leader to the log: results from the dispatcher, copies of the view and the
//! removal of expired jobs.
//!
//! Owns [`PendingResults`], which are collected between two disk syncs, so that one sync serves
//! many results.

use super::copying::revision;
use super::leader_rules::job_retention;
use super::process::Storage;
use brasspond_compression::with_packing;
use brasspond_consensus::EntryId;
use brasspond_jobs::{Command, Draft, Listing, Piece, Score};
use brasspond_units::Millis;

/// Bytes of text from which a log entry takes no further results. It is the same as the size limit
/// of a message between members.
const ENTRY_TEXT_BYTES: usize = 512 * 1024;

/// Results from the dispatcher that are not yet proposed.
#[derive(Default)]
pub(super) struct PendingResults {
    /// Parts of texts that are still being generated.
    pub pieces: Vec<Piece>,
    /// Complete texts that wait for their scores.
    pub drafts: Vec<Draft>,
    /// Complete texts that need no score.
    pub finished: Vec<Draft>,
    /// Scores of drafts in the log.
    pub scores: Vec<Score>,
    /// Outcomes of items, to be appended to the results of their jobs.
    pub listings: Vec<Listing>,
}

impl PendingResults {
    fn is_empty(&self) -> bool {
        self.pieces.is_empty()
            && self.drafts.is_empty()
            && self.finished.is_empty()
            && self.scores.is_empty()
            && self.listings.is_empty()
    }

    /// Returns the commands for these results in the order in which they must be logged: a complete
    /// text after its pieces, and a score after its draft.
    fn into_commands(self) -> Vec<Command> {
        let mut commands = Vec::new();
        let pieces = batches(self.pieces, piece_bytes);
        commands.extend(pieces.into_iter().map(Command::Extend));
        let finished = batches(self.finished, |draft| draft.text.len());
        commands.extend(finished.into_iter().map(Command::Finish));
        let drafts = batches(self.drafts, |draft| draft.text.len());
        commands.extend(drafts.into_iter().map(Command::Draft));
        if !self.scores.is_empty() {
            commands.push(Command::Score(self.scores));
        }
        let listings = batches(self.listings, listing_bytes);
        commands.extend(listings.into_iter().map(Command::List));
        commands
    }
}

impl Storage {
    /// Whether results are waiting to be proposed.
    pub(super) fn has_pending_results(&self) -> bool {
        let leader_state = self.leader_state.as_ref();
        leader_state.is_some_and(|leader_state| !leader_state.results.is_empty())
    }

    /// Proposes the results collected since the last sync.
    pub(super) fn propose_results(&mut self) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let results = std::mem::take(&mut leader_state.results);
        for command in results.into_commands() {
            self.propose(&command);
        }
    }

    /// Proposes a command and returns its entry, or `None` if this process is not the leader or the
    /// command cannot be encoded, which is logged.
    pub(super) fn propose(&mut self, command: &Command) -> Option<EntryId> {
        let bytes = ok_or_log(command.encode())?;
        self.consensus.propose(bytes)
    }

    /// Copies the view into the log if a copy is due, so that processes can start while the view's
    /// source is unavailable.
    pub(super) fn copy_view(&mut self, now: Millis) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let logged_revision = self.table.view_copy().map_or(0, |(revision, _)| *revision);
        if !leader_state
            .view_copies
            .is_due(&self.view, logged_revision, now)
        {
            return;
        }
        let mut copied_view = self.view.clone();
        // A process that reads the copy later must not apply evacuations that the source may have
        // changed since.
        copied_view.forget_evacuations();
        let Some(view) = ok_or_log(rmp_serde::to_vec(&copied_view)) else {
            return;
        };
        let copy = Command::Remember {
            revision: revision(&self.view),
            view: view.into(),
        };
        // The copy is compressed even if this process is busy, since all members receive and store
        // it, and a smaller copy can be made more often.
        let Some(packed) = ok_or_log(with_packing(|| copy.encode())) else {
            return;
        };
        leader_state.view_copies.record_copy(packed.len(), now);
        log::info!(
            "event=view_copied replicas_revision={} versions_revision={} bytes={}",
            self.view.replicas_revision,
            self.view.versions_revision,
            packed.len()
        );
        self.consensus.propose(packed);
    }

    /// Removes finished jobs whose retention has expired. The retention starts when this leader
    /// first saw a job, so a change of leader prolongs it.
    pub(super) fn remove_expired_jobs(&mut self, now: Millis) {
        let retention = job_retention(self.settings.job_retention_ms);
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let mut expired = Vec::new();
        for (id, job) in self.table.jobs() {
            let since = *leader_state.job_first_seen.entry(id.clone()).or_insert(now);
            if job.is_finished() && now >= since + retention {
                expired.push(id.clone());
            }
        }
        if expired.is_empty() {
            return;
        }
        leader_state
            .job_first_seen
            .retain(|id, _| !expired.contains(id));
        self.propose(&Command::Forget { jobs: expired });
    }
}

/// Returns the encoded value, or logs the error and returns `None`.
fn ok_or_log<T, E: std::fmt::Display>(encoded: Result<T, E>) -> Option<T> {
    encoded
        .inspect_err(|error| log::error!("event=entry_not_encoded error=\"{error}\""))
        .ok()
}

fn listing_bytes(listing: &Listing) -> usize {
    listing.outcome.text_length()
}

fn piece_bytes(piece: &Piece) -> usize {
    piece.parts.iter().map(|part| part.data.len()).sum()
}

/// Splits results into batches for log entries. A batch ends with the result that brings it to
/// [`ENTRY_TEXT_BYTES`].
fn batches<T>(results: Vec<T>, bytes_of: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut batches = Vec::new();
    let mut batch = Vec::new();
    let mut bytes = 0;
    for result in results {
        bytes += bytes_of(&result);
        batch.push(result);
        if bytes >= ENTRY_TEXT_BYTES {
            batches.push(std::mem::take(&mut batch));
            bytes = 0;
        }
    }
    if !batch.is_empty() {
        batches.push(batch);
    }
    batches
}
