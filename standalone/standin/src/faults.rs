//! Fault schedules: what goes wrong, when, for how long.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Every connection is refused or broken off.
    Down,
    /// Every answer comes late.
    Slow,
    /// Writes take effect, but their answers are lost.
    LostAnswers,
    /// Weight swaps fail and leave another version.
    FailedSwaps,
    /// The process ends.
    Crash,
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// When, in milliseconds since the start.
    pub at_milliseconds: u64,
    /// How long, in milliseconds.
    #[serde(default)]
    pub for_milliseconds: u64,
}

/// All faults of one stand-in, as its schedule file holds them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSchedule {
    /// The faults.
    #[serde(default)]
    pub fault: Vec<Fault>,
}

impl FaultSchedule {
    /// Whether a fault of a kind is under way.
    pub(crate) fn is_on(&self, kind: FaultKind, since_start: Duration) -> bool {
        let now = since_start.as_millis() as u64;
        self.fault.iter().any(|fault| {
            let ends = fault.at_milliseconds + fault.for_milliseconds;
            fault.kind == kind && (fault.at_milliseconds..ends).contains(&now)
        })
    }

    /// When the process is to end, if ever.
    pub(crate) fn crash_at(&self) -> Option<Duration> {
        let crashes = self
            .fault
            .iter()
            .filter(|fault| fault.kind == FaultKind::Crash);
        let first = crashes.map(|fault| fault.at_milliseconds).min();
        first.map(Duration::from_millis)
    }
}
