//! Short suspensions of the leader in the midst of submissions, added to a schedule on request.

use super::{COOLDOWN_MS, Fault, FaultKind, Process, Schedule, WARMUP_MS};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;

/// Random stream of the suspensions.
const LEADER_FREEZE_STREAM: u64 = 9;
/// Time between the starts of two suspensions, in ms. Until the next one begins, a leader is elected
/// and confirmed.
const LEADER_FREEZE_INTERVAL_MS: Range<u64> = 2_000..2_600;
/// Duration of a suspension, in ms: long enough for another leader to commit entries, and shorter than
/// the 1.2 s for which an edge waits for the suspended one.
const LEADER_FREEZE_MS: Range<u64> = 1_100..1_190;
/// Time from the first submission to the suspension, in ms.
const LEADER_FREEZE_DELAY_MS: Range<u64> = 10..40;
/// Number of callers that submit jobs as the suspension begins.
const SUBMITTERS: usize = 16;
/// Time for which jobs are submitted after the suspension ends, in ms.
const SUBMISSION_TAIL_MS: u64 = 100;

impl Schedule {
    /// Adds suspensions of the leader while callers submit jobs.
    pub fn add_leader_freezes(&mut self) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(LEADER_FREEZE_STREAM);
        let end = self.length.saturating_sub(COOLDOWN_MS);
        let mut at = WARMUP_MS;
        loop {
            at += random.random_range(LEADER_FREEZE_INTERVAL_MS);
            let delay = random.random_range(LEADER_FREEZE_DELAY_MS);
            let frozen = random.random_range(LEADER_FREEZE_MS);
            let submissions = Fault {
                at,
                lasting: delay + frozen + SUBMISSION_TAIL_MS,
                kind: FaultKind::Submissions(SUBMITTERS),
            };
            if submissions.end() > end {
                return;
            }
            self.add(submissions);
            self.add(Fault {
                at: at + delay,
                lasting: frozen,
                kind: FaultKind::Freeze(Process::Leader),
            });
        }
    }
}
