//! The leader's decisions: when to propose the counts of edges to the replicated log, when to close
//! a window and when to send the report of a window to the platform.

use crate::ledger::{EdgeLife, UsageCommand, UsageLedger};
use crate::recorder::UsageReport;
use crate::window::{Counts, WindowNumber, Windows};
use brasspond_units::{Millis, WallMillis};
use std::collections::BTreeMap;

/// Minimum interval between two proposals of counts to the replicated log, in ms. If all processes
/// crash at once, the counts of this interval are lost. It is also the time from an accepted report
/// until the next report is sent, so that the log can commit the acceptance.
const PROPOSAL_INTERVAL_MS: Millis = 300;
/// Time after the end of a window within which the last reports of edges arrive, in ms. It covers
/// the report interval of 250 ms and the network delay.
const REPORT_GRACE_MS: WallMillis = 400;
/// Longest wait for edges, in percent of the time from the end of a window until its report is due.
/// The remaining time is for sending the report, with retries.
const WAIT_PERCENT: u64 = 40;
/// Time after its start during which a new leader closes no window, in ms, so that edges can report
/// all their counts to it.
const START_PAUSE_MS: Millis = 2_000;
/// Time without a message from an edge after which the leader does not wait for its counts, in ms.
const EDGE_TIMEOUT_MS: Millis = 4_000;
/// Backoff after the first failure to send a report, in ms. Each further failure doubles it.
const FIRST_BACKOFF_MS: Millis = 300;
/// Longest backoff after a failure to send a report, in ms.
const MAX_BACKOFF_MS: Millis = 2_400;

/// Settings of metering in a deployment.
#[derive(Clone, Copy, Debug)]
pub struct MeterSettings {
    /// Windows in which requests are counted.
    pub windows: Windows,
    /// Time after the end of a window by which its report is due, in ms.
    pub late_ms: u64,
}

/// Response of the platform to a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendAnswer {
    /// The report was accepted.
    Accepted,
    /// The platform refused the report because a newer leader sends reports.
    Fenced,
    /// The report was refused, or its outcome is unknown.
    Retry,
}

/// An action for the process to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MeterAction {
    /// Propose a command to the log.
    Propose(UsageCommand),
    /// Send the report of a window.
    Send(WindowNumber, Counts),
}

/// State of an edge process.
#[derive(Clone, Debug)]
struct Edge {
    /// First window whose counts may still change.
    open_from: WindowNumber,
    /// Time at which the last message arrived.
    last_message_at: Millis,
}

/// Metering at the leader. The state need not be replicated, because edges report all counts that
/// they store to the next leader.
#[derive(Debug)]
pub struct Metering {
    settings: MeterSettings,
    started_at: Millis,
    edges: BTreeMap<EdgeLife, Edge>,
    /// Reported counts that are not yet proposed to the log.
    unproposed: BTreeMap<(EdgeLife, WindowNumber), Counts>,
    /// Time of the last proposal with counts.
    proposed_at: Millis,
    /// Window that contains the first wall-clock time known to this leader. If no window was closed
    /// before, the leader closes this window first, or an older one that has counts.
    first_window: Option<WindowNumber>,
    /// Last window that this leader proposed to close.
    last_proposed_close: Option<WindowNumber>,
    /// Whether a report was sent whose response has not arrived.
    is_sending: bool,
    /// Number of consecutive failures to send a report.
    failures: u32,
    /// Time before which no report is sent.
    send_from: Millis,
    /// Whether a newer leader sends reports, so that this leader must not.
    is_fenced: bool,
}

impl Metering {
    /// Creates the state for a leader that starts at `now`.
    pub fn new(settings: MeterSettings, now: Millis) -> Self {
        Self {
            settings,
            started_at: now,
            edges: BTreeMap::new(),
            unproposed: BTreeMap::new(),
            proposed_at: now,
            first_window: None,
            last_proposed_close: None,
            is_sending: false,
            failures: 0,
            send_from: now,
            is_fenced: false,
        }
    }

    /// Handles the report of an edge.
    pub fn on_report(&mut self, life: EdgeLife, report: UsageReport, now: Millis) {
        // Earlier edge processes on the same machine have ended.
        self.edges
            .retain(|other, _| other.machine != life.machine || *other == life);
        for (window, counts) in report.windows {
            self.unproposed.insert((life.clone(), window), counts);
        }
        let edge = Edge {
            open_from: report.open_from,
            last_message_at: now,
        };
        self.edges.insert(life, edge);
    }

    /// Records a heartbeat of an edge.
    pub fn on_heartbeat(&mut self, machine: &str, now: Millis) {
        let mut edges = self.edges.iter_mut();
        if let Some((_, edge)) = edges.find(|(life, _)| life.machine == machine) {
            edge.last_message_at = now;
        }
    }

    /// Removes an edge that accepts no more requests or is unreachable, so that windows are closed
    /// without waiting for it.
    pub fn remove_edge(&mut self, machine: &str) {
        self.edges.retain(|life, _| life.machine != machine);
    }

    /// Handles the platform's response to the report of a window.
    pub fn on_answer(
        &mut self,
        window: WindowNumber,
        answer: SendAnswer,
        now: Millis,
    ) -> Vec<MeterAction> {
        self.is_sending = false;
        match answer {
            SendAnswer::Accepted => {
                self.failures = 0;
                let delivered = UsageCommand::Delivered(window);
                // Until the command is committed, the ledger would return the same report again.
                self.send_from = now + PROPOSAL_INTERVAL_MS;
                return vec![MeterAction::Propose(delivered)];
            }
            SendAnswer::Fenced => self.is_fenced = true,
            SendAnswer::Retry => {
                self.send_from = now + backoff(self.failures);
                self.failures += 1;
            }
        }
        Vec::new()
    }

    /// Returns the actions that are due at `now`. `wall_time` is the wall-clock time; no window is
    /// closed while it is unknown.
    pub fn tick(
        &mut self,
        wall_time: Option<WallMillis>,
        ledger: &UsageLedger,
        now: Millis,
    ) -> Vec<MeterAction> {
        let mut actions = Vec::new();
        self.propose_counts(&mut actions, now);
        if let Some(wall_time) = wall_time {
            self.propose_close(wall_time, ledger, now, &mut actions);
        }
        self.send(ledger, now, &mut actions);
        actions
    }

    /// Proposes the counts that are not proposed yet, at most once per `PROPOSAL_INTERVAL_MS`.
    fn propose_counts(&mut self, actions: &mut Vec<MeterAction>, now: Millis) {
        if self.unproposed.is_empty() || now < self.proposed_at + PROPOSAL_INTERVAL_MS {
            return;
        }
        self.proposed_at = now;
        let unproposed = std::mem::take(&mut self.unproposed).into_iter();
        let proposed = unproposed.map(|((life, window), counts)| (life, window, counts));
        let command = UsageCommand::Keep(proposed.collect());
        actions.push(MeterAction::Propose(command));
    }

    /// Proposes to close the oldest window that is not closed, if `may_close` allows it. Before
    /// that, the pause after the start must be over, all reported counts must be proposed, and the
    /// previous close must be committed.
    fn propose_close(
        &mut self,
        wall_time: WallMillis,
        ledger: &UsageLedger,
        now: Millis,
        actions: &mut Vec<MeterAction>,
    ) {
        let windows = self.settings.windows;
        let first_window = *self
            .first_window
            .get_or_insert_with(|| windows.at(wall_time));
        if now < self.started_at + START_PAUSE_MS || !self.unproposed.is_empty() {
            return;
        }
        if self.last_proposed_close.is_some() && ledger.closed_through() < self.last_proposed_close
        {
            return;
        }
        let oldest = match ledger.closed_through() {
            Some(through) => through + 1,
            None => ledger
                .oldest_open()
                .map_or(first_window, |oldest| oldest.min(first_window)),
        };
        if !self.may_close(oldest, wall_time, now) {
            return;
        }
        self.last_proposed_close = Some(oldest);
        log::info!(
            "event=usage_closed window={oldest} late_ms={} edges={}",
            wall_time.saturating_sub(windows.end(oldest)),
            self.edges.len()
        );
        actions.push(MeterAction::Propose(UsageCommand::Close(oldest)));
    }

    /// Whether a window may be closed now. `wall_time` is the current wall-clock time, and `now` is
    /// the current time of the monotonic clock. The last reports must have had time to arrive, and
    /// no responsive edge may still change its counts of the window. After `WAIT_PERCENT` of the
    /// time until the report is due, the window may be closed regardless of edges, so that a single
    /// edge cannot delay the report.
    fn may_close(&self, window: WindowNumber, wall_time: WallMillis, now: Millis) -> bool {
        let end = self.settings.windows.end(window);
        if wall_time < end + REPORT_GRACE_MS {
            return false;
        }
        let max_wait = self.settings.late_ms * WAIT_PERCENT / 100;
        let mut edges = self.edges.values();
        let is_awaited =
            |edge: &Edge| edge.open_from <= window && now < edge.last_message_at + EDGE_TIMEOUT_MS;
        wall_time >= end + max_wait || !edges.any(is_awaited)
    }

    /// Sends the oldest report that the platform has not accepted, unless a report is in flight, a
    /// newer leader sends reports, or the time `send_from` has not come yet.
    fn send(&mut self, ledger: &UsageLedger, now: Millis, actions: &mut Vec<MeterAction>) {
        if self.is_sending || self.is_fenced || now < self.send_from {
            return;
        }
        if let Some((window, counts)) = ledger.undelivered() {
            self.is_sending = true;
            actions.push(MeterAction::Send(window, counts.clone()));
        }
    }
}

/// Returns the backoff after a failure to send a report, in ms. `failures` is the number of
/// consecutive failures before this one. The backoff doubles up to a maximum, so that an overloaded
/// platform can recover.
fn backoff(failures: u32) -> Millis {
    let factor = 1_u64.checked_shl(failures).unwrap_or(u64::MAX);
    let backoff = FIRST_BACKOFF_MS.saturating_mul(factor);
    backoff.min(MAX_BACKOFF_MS)
}

#[cfg(test)]
#[path = "../tests/unit/metering.rs"]
mod tests;
