//! `brasspond experiment`: a removed load tool.
//!
//! The command still exists so that scripts that call it get a clear error.

use crate::exit::Outcome;

/// Message that the command prints.
const REMOVED: &str = "brasspond experiment was removed; \
                       the figures it gave are recorded in docs/MEASUREMENTS.md";

/// Prints that the command was removed. Always returns [`Outcome::Usage`].
pub(crate) fn run() -> Outcome {
    eprintln!("{REMOVED}");
    Outcome::Usage
}
