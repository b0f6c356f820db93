//! `brasspond experiment`: the word of a load tool that is gone.
//!
//! The word stays so that a script that still calls it learns where the figures are.

use crate::exit::Outcome;

/// What the command says.
const REMOVED: &str = "brasspond experiment was removed; \
                       the figures it gave are recorded in docs/MEASUREMENTS.md";

/// Says that the command is gone; always a wrong usage.
pub(crate) fn run() -> Outcome {
    eprintln!("{REMOVED}");
    Outcome::Usage
}
