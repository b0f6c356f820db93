//! Exit codes.

use std::process::ExitCode;

/// How a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// All went well.
    Fine,
    /// Something failed while running.
    Failed,
    /// The command line or an input file is invalid.
    Usage,
}

impl From<Outcome> for ExitCode {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Fine => Self::SUCCESS,
            Outcome::Failed => Self::from(1),
            Outcome::Usage => Self::from(2),
        }
    }
}
