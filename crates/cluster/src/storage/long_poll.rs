//! When a long poll of results is answered: a pure decision.
//!
//! A reader comes back some time after each answer ([`READ_PERIOD`]), so an answer that does not
//! let it go on costs it that time. Two cases:
//!
//! - A trainer waits for groups of a step that is not due yet: the poll is answered as soon as
//!   the last of these groups is whole, else when its reader's time is over.
//! - Nobody is known to wait, or the step is due and each group counts by itself: the poll is
//!   answered once results stop coming for [`RESULT_PAUSE`], since texts of about one length end
//!   together.

use brasspond_jobs::StepState;
use brasspond_units::Millis;

/// Time without a new result after which a poll is answered: about the pause between two events
/// of a text, by which texts of equal length differ in their ends. Answered
/// with the first result, steps ended 0.5 to 0.9 s after their last text
/// (docs/design/0016-large-fleets.md).
const RESULT_PAUSE: Millis = 120;
/// Longest time for which results are gathered where no step is waited for: half of
/// [`READ_PERIOD`], so that gathering costs less than coming back.
const LONGEST_GATHERING: Millis = READ_PERIOD / 2;
/// Time from one read to the next of a reader that is answered at once: how often callers read.
/// Not measured.
const READ_PERIOD: Millis = 500;

/// What there is for a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// How many results there are from the position asked for.
    pub results: usize,
    /// No more results will come.
    pub is_complete: bool,
    /// Whether a trainer waits for groups of the job's step, or has them.
    pub step: StepState,
}

/// Results that exist for a poll.
#[derive(Clone, Copy, Debug)]
struct Gathered {
    results: usize,
    first_at: Millis,
    newest_at: Millis,
}

/// A long poll. All times are of one steady clock.
#[derive(Clone, Copy, Debug)]
pub struct LongPoll {
    /// When it is answered at the latest.
    until: Millis,
    /// When it is answered at the latest while its step is waited for.
    step_until: Millis,
    /// A step was waited for at the last observation.
    awaits_step: bool,
    gathered: Option<Gathered>,
}

impl LongPoll {
    /// A poll that begins now and may last until `until`.
    ///
    /// `step_due` is when its step is due; none: not known, and it waits for its step no longer
    /// than [`READ_PERIOD`], as it does once the step is due.
    pub fn new(now: Millis, until: Millis, step_due: Option<Millis>) -> Self {
        let next_read = now + READ_PERIOD;
        let step_due = step_due.map_or(next_read, |due| due.max(next_read));
        Self {
            until,
            step_until: until.min(step_due),
            awaits_step: false,
            gathered: None,
        }
    }

    /// Takes what there is for it now.
    pub fn observe(&mut self, progress: Progress, now: Millis) {
        self.awaits_step = progress.step == StepState::Awaited && now < self.step_until;
        if progress.results == 0 || self.awaits_step {
            return;
        }
        if progress.is_complete || progress.step == StepState::Ready {
            self.until = now;
        }
        let gathered = self.gathered.get_or_insert(Gathered {
            results: progress.results,
            first_at: now,
            newest_at: now,
        });
        if progress.results > gathered.results {
            gathered.results = progress.results;
            gathered.newest_at = now;
        }
    }

    /// When it is to be answered if nothing more comes.
    pub fn due_at(&self) -> Millis {
        if self.awaits_step {
            return self.step_until;
        }
        let Some(gathered) = self.gathered else {
            return self.until;
        };
        let results_stopped = gathered.newest_at + RESULT_PAUSE;
        let gathered_long = gathered.first_at + LONGEST_GATHERING;
        results_stopped.min(gathered_long).min(self.until)
    }
}
