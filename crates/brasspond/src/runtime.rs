//! The runtime of a program: everything of it runs on one thread.

use crate::exit::Outcome;
use tokio::runtime::{Builder, Runtime};

/// A runtime on the thread of the caller. Where there can be none, says so on standard error.
pub(crate) fn single_threaded() -> Result<Runtime, Outcome> {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.map_err(|error| {
        eprintln!("no runtime: {error}");
        Outcome::Failed
    })
}
