//! When a held read of results is answered.
//!
//! A reader comes back some time after each answer, so an answer that does not let it go
//! on costs it that time. A trainer goes on once it has the groups that it waits for:
//! until then a read is held as long as its reader allows, and answered at once when the
//! last of these groups is whole. From the time at which the step is due each group
//! counts by itself, and where nobody trains nothing is known of what is waited for: then
//! a read is answered once results have stopped coming for a moment, since texts of
//! about one length end together.

use brasspond_jobs::StepState;

/// Time without a new result after which a read is answered, in ms: the pause between
/// two events of a text, roughly, which parts texts of equal length.
const QUIET: u64 = 120;
/// Longest time for which results are held back where no step is waited for, in ms: half
/// of the time after which readers come back.
const LONGEST: u64 = 250;

/// What there is for a held read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Results from the position asked for.
    pub results: usize,
    /// No more results will come.
    pub is_complete: bool,
    /// How far its job is for a trainer.
    pub step: StepState,
}

/// Time from one read to the next of a reader that is answered at once, in ms.
const READ_PERIOD: u64 = 500;

/// Results that exist for a held read.
#[derive(Clone, Copy, Debug)]
struct Gathered {
    results: usize,
    first_at: u64,
    newest_at: u64,
}

/// A held read.
#[derive(Clone, Copy, Debug)]
pub struct Gathering {
    /// When it is answered at the latest, in ms.
    until: u64,
    /// Until when it is held where its step is waited for, in ms.
    step_until: u64,
    /// A step was waited for when it was last looked at.
    waits: bool,
    gathered: Option<Gathered>,
}

impl Gathering {
    /// A read asked now that may be held until `until`, of a step that is due at
    /// `step_due`, 0 where that is not known. Once the step is due each group counts
    /// by itself: then it is held no longer than until its reader would come again.
    pub fn new(now: u64, until: u64, step_due: u64) -> Self {
        Self {
            until,
            step_until: until.min(step_due.max(now + READ_PERIOD)),
            waits: false,
            gathered: None,
        }
    }

    /// What there is for it now.
    pub fn note(&mut self, progress: Progress, now: u64) {
        self.waits = progress.step == StepState::Awaited && now < self.step_until;
        if progress.results == 0 || self.waits {
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

    /// When it is to be answered if nothing more comes, in ms.
    pub fn due_at(&self) -> u64 {
        if self.waits {
            return self.step_until;
        }
        let Some(gathered) = self.gathered else {
            return self.until;
        };
        let quiet = gathered.newest_at + QUIET;
        let longest = gathered.first_at + LONGEST;
        quiet.min(longest).min(self.until)
    }
}
