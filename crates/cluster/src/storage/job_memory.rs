//! Estimates the memory that jobs take in a storage process, and decides whether another one fits.
//!
//! The estimate counts the content of items and texts, and a constant for each item: its entry in
//! the table, its state at the leader and the allocations of its fields. It is made from the state and not from
//! the resident memory, which stays high after jobs have gone. Every member has the same jobs, and
//! each may become the leader.

use super::process::Storage;
use brasspond_jobs::{Item, Job};

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

/// Number of items of a job and bytes of their content.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobSize {
    items: u64,
    content: u64,
}

impl JobSize {
    /// Measures items.
    pub fn of(items: &[Item]) -> Self {
        Self {
            items: items.len() as u64,
            content: items.iter().map(content_bytes).sum(),
        }
    }

    /// Memory that the job takes once it is accepted, in bytes.
    pub fn held_bytes(self) -> u64 {
        self.content + self.items * ITEM_BYTES
    }

    /// Additional memory while the job is accepted, in bytes.
    fn accepting_bytes(self) -> u64 {
        self.content * CONTENT_COPIES + self.items * ENCODED_ITEM_BYTES
    }

    fn is_small(self, limit: u64) -> bool {
        self.held_bytes() <= limit / SMALL_JOB_DIVISOR
    }

    /// Whether the job fits beside jobs of `held_bytes` into a process with this memory limit.
    fn fits(self, held_bytes: u64, limit: u64) -> bool {
        let (numerator, denominator) = JOBS_SHARE;
        let needed = IDLE_BYTES + held_bytes + self.held_bytes() + self.accepting_bytes();
        self.is_small(limit) || needed <= limit / denominator * numerator
    }
}

/// Memory of a job in the table, in bytes.
fn job_bytes(job: &Job) -> u64 {
    let results = job.results.iter().map(|(_, outcome)| outcome.text_length());
    let parts = job.parts.values().flatten().map(|part| part.data.len());
    let drafts = job.drafts.values().map(|(text, _)| text.len());
    let texts: usize = results.chain(parts).chain(drafts).sum();
    JobSize::of(&job.items).held_bytes() + texts as u64
}

impl Storage {
    /// Whether a submission of this size fits into the memory of this process beside the jobs in
    /// the table and those that are proposed. Without a limit every submission fits.
    pub(super) fn fits_into_memory(&self, size: JobSize) -> bool {
        let Some(limit) = self.settings.process.memory_limit else {
            return true;
        };
        if size.is_small(limit) {
            return true;
        }
        let jobs: u64 = self.table.jobs().map(|(_, job)| job_bytes(job)).sum();
        size.fits(jobs + self.proposals.submitted_bytes(), limit)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/job_memory.rs"]
mod tests;
