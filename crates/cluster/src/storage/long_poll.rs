//! Decides when a long poll of results is answered. The decision is pure.
//!
//! A reader returns some time after each answer ([`READ_INTERVAL`]), so an answer that does not let
//! it proceed costs that time. There are two cases:
//!
//! - A trainer waits for groups of a step that is not due yet: the poll is answered as soon as the
//!   last of these groups is complete, or when the reader's timeout expires.
//! - The job has no trainer, or its step is due and each group counts on its own: the poll is
//!   answered once no results have arrived for [`RESULT_QUIET_TIME`], since texts of similar length
//!   end at about the same time. Results are batched for half a read interval at most.

use brasspond_jobs::StepState;
use brasspond_units::Millis;

/// Time without a new result after which a poll is answered: about the interval between two events
/// of a text, by which the ends of equally long texts differ. When polls were answered with the
/// first result, steps ended 0.5 to 0.9 s after their last text.
const RESULT_QUIET_TIME: Millis = 120;
/// Maximum time for which results are batched. It is half of [`READ_INTERVAL`], so that batching
/// costs less than another read.
const MAX_BATCH_TIME: Millis = READ_INTERVAL / 2;
/// Time between reads of a reader that is answered at once.
const READ_INTERVAL: Millis = 500;

/// Results available for a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Number of results from the requested position on.
    pub results: usize,
    /// Whether the job is finished, so that no more results will arrive.
    pub is_complete: bool,
    /// Whether a trainer waits for groups of the job's step, or already has them.
    pub step: StepState,
}

/// Results that wait for the answer of a poll.
#[derive(Clone, Copy, Debug)]
struct ResultBatch {
    results: usize,
    first_at: Millis,
    last_at: Millis,
}

/// A long poll. All times are of the same monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct LongPoll {
    /// Latest time of the answer.
    deadline: Millis,
    /// Latest time of the answer while the poll waits for its step.
    step_deadline: Millis,
    /// Whether the poll waited for its step at the last observation.
    awaits_step: bool,
    batch: Option<ResultBatch>,
}

impl LongPoll {
    /// Starts a poll that lasts until `deadline` at most.
    ///
    /// `step_due` is when its step is due. If that is unknown, or the step is already due, the poll
    /// waits for the step for [`READ_INTERVAL`] at most.
    pub fn new(now: Millis, deadline: Millis, step_due: Option<Millis>) -> Self {
        let next_read = now + READ_INTERVAL;
        let step_due = step_due.map_or(next_read, |due| due.max(next_read));
        Self {
            deadline,
            step_deadline: deadline.min(step_due),
            awaits_step: false,
            batch: None,
        }
    }

    /// Updates the poll with the results available now.
    pub fn observe(&mut self, progress: Progress, now: Millis) {
        self.awaits_step = progress.step == StepState::Incomplete && now < self.step_deadline;
        if progress.results == 0 || self.awaits_step {
            return;
        }
        if progress.is_complete || progress.step == StepState::Ready {
            self.deadline = now;
        }
        let batch = self.batch.get_or_insert(ResultBatch {
            results: progress.results,
            first_at: now,
            last_at: now,
        });
        if progress.results > batch.results {
            batch.results = progress.results;
            batch.last_at = now;
        }
    }

    /// Returns when the poll is answered if nothing more arrives.
    pub fn due_at(&self) -> Millis {
        if self.awaits_step {
            return self.step_deadline;
        }
        let Some(batch) = self.batch else {
            return self.deadline;
        };
        let results_stopped = batch.last_at + RESULT_QUIET_TIME;
        let batch_expires = batch.first_at + MAX_BATCH_TIME;
        results_stopped.min(batch_expires).min(self.deadline)
    }
}
