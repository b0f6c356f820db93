//! Exit codes.

use std::process::ExitCode;

/// Result of a command, which determines the exit code of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The command completed: exit code 0.
    Success,
    /// The command failed while running: exit code 1.
    Failed,
    /// The command line or an input file is invalid: exit code 2.
    Usage,
}

impl From<Outcome> for ExitCode {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Success => Self::SUCCESS,
            Outcome::Failed => Self::from(1),
            Outcome::Usage => Self::from(2),
        }
    }
}
