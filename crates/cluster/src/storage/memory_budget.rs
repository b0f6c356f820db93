//! Shares of a storage process's memory limit.
//!
//! What a process holds for others grows with the work and not with the machine, so each kind has a
//! share of the limit beyond which it waits or is moved to disk.

/// Limit that is assumed if the platform states none, in bytes.
const DEFAULT_LIMIT: u64 = 256_000_000;
/// Divisor of the limit that gives the bound on texts of finished jobs that are not on disk yet.
const FINISHED_TEXTS_DIVISOR: u64 = 16;
/// Divisor of the limit that gives the bound on answers that are queued on links.
const ANSWERS_DIVISOR: u64 = 8;

/// Bounds in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct MemoryBudget {
    /// Texts of finished jobs that are not on disk yet.
    pub finished_texts: usize,
    /// Bytes queued on links from which no further results are read for an answer.
    pub queued_answers: usize,
}

impl MemoryBudget {
    /// `limit` is the memory limit of the process in bytes, or `None` if it is unknown.
    pub fn new(limit: Option<u64>) -> Self {
        let limit = limit.unwrap_or(DEFAULT_LIMIT);
        let share = |divisor| usize::try_from(limit / divisor).unwrap_or(usize::MAX);
        Self {
            finished_texts: share(FINISHED_TEXTS_DIVISOR),
            queued_answers: share(ANSWERS_DIVISOR),
        }
    }
}
