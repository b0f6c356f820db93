//! Limits that keep overload from spreading: adaptive concurrency, retry
//! budgets and backoff with jitter. See `docs/design/0008-limits-retries.md`.
#![forbid(unsafe_code)]

mod backoff;
mod budget;
mod concurrency;

pub use backoff::Backoff;
pub use budget::RetryBudget;
pub use concurrency::ConcurrencyLimit;
