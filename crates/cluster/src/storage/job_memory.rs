//! Estimates the memory that jobs take in a storage process, and decides whether another one fits.
//!
//! The estimate counts the content of items and texts, and a constant for each item: its entry in
//! the table, its state at the leader and the allocations of its fields. It is made from the state and not from
//! the resident memory, which stays high after jobs have gone. Every member has the same jobs, and
//! each may become the leader.

use super::process::Storage;
use brasspond_jobs::{Item, Job, Submission};

/// Memory of an item beside its content, in bytes.
const ITEM_BYTES: u64 = 600;
/// Memory of an item beside its content while it is encoded for the log, in bytes.
const ENCODED_ITEM_BYTES: u64 = 300;
/// Copies of the content while a submission is received, encoded, and decoded again to be applied.
const CONTENT_COPIES: u64 = 3;
/// Memory of a process without jobs, in bytes.
const IDLE_BYTES: u64 = 24_000_000;
/// The part of the limit that jobs may take when they are accepted, as a fraction. The rest is for
/// texts that are generated later.
const JOBS_SHARE: (u64, u64) = (3, 4);
/// Divisor of the limit up to which a job is small. Small jobs are always accepted.
const SMALL_JOB_DIVISOR: u64 = 32;

fn content_bytes(item: &Item) -> u64 {
    let headers = item.headers.iter();
    let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
    let scoring = item.scoring.as_ref().map_or(0, |call| {
        call.id.len() + call.host.len() + call.path.len() + call.body.len()
    });
    let names = item.id.len() + item.path.len() + item.group.len() + item.model.len();
    (names + headers + item.body.len() + scoring) as u64
}

/// Memory of items, in bytes.
fn items_bytes(items: &[Item]) -> u64 {
    let content: u64 = items.iter().map(content_bytes).sum();
    content + items.len() as u64 * ITEM_BYTES
}

/// Memory of a job in the table, in bytes.
fn job_bytes(job: &Job) -> u64 {
    let results = job.results.iter().map(|(_, outcome)| outcome.text_length());
    let parts = job.parts.values().flatten().map(|part| part.data.len());
    let drafts = job.drafts.values().map(|(text, _)| text.len());
    let texts: usize = results.chain(parts).chain(drafts).sum();
    items_bytes(&job.items) + texts as u64
}

/// Memory that a submission takes once it is accepted, in bytes.
pub(super) fn submission_bytes(submission: &Submission) -> u64 {
    items_bytes(&submission.items)
}

/// Additional memory while a submission is accepted, in bytes.
fn accepting_bytes(submission: &Submission) -> u64 {
    let content: u64 = submission.items.iter().map(content_bytes).sum();
    content * CONTENT_COPIES + submission.items.len() as u64 * ENCODED_ITEM_BYTES
}

fn is_small(job_bytes: u64, limit: u64) -> bool {
    job_bytes <= limit / SMALL_JOB_DIVISOR
}

/// Whether a job of `job_bytes`, and `accepting_bytes` while it is accepted, fits beside jobs of
/// `held_bytes` into a process with this memory limit.
fn fits(held_bytes: u64, job_bytes: u64, accepting_bytes: u64, limit: u64) -> bool {
    let (numerator, denominator) = JOBS_SHARE;
    let needed = IDLE_BYTES + held_bytes + job_bytes + accepting_bytes;
    is_small(job_bytes, limit) || needed <= limit / denominator * numerator
}

impl Storage {
    /// Whether a submission fits into the memory of this process beside the jobs in the table and
    /// those that are proposed. Without a limit every submission fits.
    pub(super) fn fits_into_memory(&self, submission: &Submission) -> bool {
        let Some(limit) = self.settings.process.memory_limit else {
            return true;
        };
        let bytes = submission_bytes(submission);
        if is_small(bytes, limit) {
            return true;
        }
        let jobs: u64 = self.table.jobs().map(|(_, job)| job_bytes(job)).sum();
        let held = jobs + self.proposals.submitted_bytes();
        fits(held, bytes, accepting_bytes(submission), limit)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/job_memory.rs"]
mod tests;
