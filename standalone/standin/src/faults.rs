//! Schedules of the faults that a stand-in injects.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The engine or object store responds to every request with status 503.
    Down,
    /// The object store delays every response.
    Slow,
    /// The object store executes writes, but aborts the connection instead of responding.
    LostAnswers,
    /// Reserved for failures of weight swaps. No stand-in injects it.
    FailedSwaps,
    /// The engine crashes at the start of the fault; the duration is ignored.
    Crash,
}

/// A fault and the period in which it is active.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start of the fault, in milliseconds since the start of the stand-in.
    pub at_milliseconds: u64,
    /// Duration of the fault, in milliseconds.
    #[serde(default)]
    pub for_milliseconds: u64,
}

/// All faults of one stand-in, in the format of its schedule file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSchedule {
    /// Faults in any order; they may overlap.
    #[serde(default)]
    pub fault: Vec<Fault>,
}

impl FaultSchedule {
    /// Whether a fault of this kind is active at a time since the start of the stand-in.
    pub(crate) fn is_on(&self, kind: FaultKind, since_start: Duration) -> bool {
        let now = since_start.as_millis() as u64;
        self.fault.iter().any(|fault| {
            let ends = fault.at_milliseconds + fault.for_milliseconds;
            fault.kind == kind && (fault.at_milliseconds..ends).contains(&now)
        })
    }

    /// Time from the start of the stand-in to the first scheduled crash.
    pub(crate) fn crash_at(&self) -> Option<Duration> {
        let crashes = self
            .fault
            .iter()
            .filter(|fault| fault.kind == FaultKind::Crash);
        let first = crashes.map(|fault| fault.at_milliseconds).min();
        first.map(Duration::from_millis)
    }
}
