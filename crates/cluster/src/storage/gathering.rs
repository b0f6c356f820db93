//! When a held read of results is answered.
//!
//! A reader comes back some time after each answer. A step's last texts end within a
//! few hundred ms of one another, so a read that is answered with the first of them
//! has the reader wait for the others. A held read is answered once results have
//! stopped coming for a moment instead; that moment, and the sum of them, are far
//! shorter than the hold that the reader asked for.

/// Time without a new result after which a read is answered, in ms: the pause between
/// two events of a text, roughly, which parts texts of equal length.
const QUIET: u64 = 120;
/// Longest time for which results are held back, in ms: half of the time after which
/// readers come back.
const LONGEST: u64 = 250;

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
    gathered: Option<Gathered>,
}

impl Gathering {
    /// A read that may be held until `until`.
    pub fn new(until: u64) -> Self {
        Self {
            until,
            gathered: None,
        }
    }

    /// So many results exist for it now; `is_complete`: no more will come.
    pub fn note(&mut self, results: usize, is_complete: bool, now: u64) {
        if results == 0 {
            return;
        }
        if is_complete {
            self.until = now;
        }
        let gathered = self.gathered.get_or_insert(Gathered {
            results,
            first_at: now,
            newest_at: now,
        });
        if results > gathered.results {
            gathered.results = results;
            gathered.newest_at = now;
        }
    }

    /// When it is to be answered if nothing more comes, in ms.
    pub fn due_at(&self) -> u64 {
        let Some(gathered) = self.gathered else {
            return self.until;
        };
        let quiet = gathered.newest_at + QUIET;
        let longest = gathered.first_at + LONGEST;
        quiet.min(longest).min(self.until)
    }
}
