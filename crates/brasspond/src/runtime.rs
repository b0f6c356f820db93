//! Asynchronous runtime of single-threaded commands.

use crate::exit::Outcome;
use tokio::runtime::{Builder, Runtime};

/// Builds a runtime that uses only the caller's thread. If that fails, prints the error and returns
/// [`Outcome::Failed`].
pub(crate) fn single_threaded() -> Result<Runtime, Outcome> {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.map_err(|error| {
        eprintln!("cannot start the runtime: {error}");
        Outcome::Failed
    })
}
