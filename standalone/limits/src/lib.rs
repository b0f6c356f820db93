//! Limits against cascading overload: adaptive concurrency, retry budgets and
//! backoff with jitter.
#![forbid(unsafe_code)]

mod backoff;
mod budget;
mod concurrency;

pub use backoff::Backoff;
pub use budget::RetryBudget;
pub use concurrency::ConcurrencyLimit;
