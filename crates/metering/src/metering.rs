//! What the leader decides: when edges' counts go into the log, when a window is
//! closed, when its report is sent.

use crate::ledger::{EdgeLife, UsageCommand, UsageLedger};
use crate::recorder::UsageReport;
use crate::window::{Counts, WindowNumber, Windows};
use brasspond_units::{Millis, WallMillis};
use std::collections::BTreeMap;

/// Pause between two entries of the log with counts, in ms: what the loss of all
/// processes may cost.
const KEEP_PAUSE: Millis = 300;
/// Time after a window's end in which the last reports of edges arrive, in ms: they tell
/// four times a second.
const REPORT_TIME: WallMillis = 400;
/// Part of the time until a report is due for which an edge that told nothing is waited
/// for, in percent; the rest is for sending it.
const WAIT_PERCENT: u64 = 40;
/// Time for edges to tell a new leader what they counted, in ms.
const GATHERING_TIME: Millis = 2_000;
/// An edge that was silent for so long is not waited for, in ms.
const EDGE_SILENT: Millis = 4_000;
/// First pause before a report is sent again, in ms; it doubles.
const FIRST_PAUSE: Millis = 300;
/// Longest pause before a report is sent again, in ms.
const LONGEST_PAUSE: Millis = 2_400;

/// Periods of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct MeterSettings {
    /// Windows of the reports.
    pub windows: Windows,
    /// Time after its end until which a window's report is due, in ms.
    pub late_ms: u64,
}

/// What became of a report that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendAnswer {
    /// It was taken.
    Taken,
    /// A newer holder sends them.
    Fenced,
    /// It was not taken, or nothing is known of it.
    Again,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MeterAction {
    /// Put this into the log.
    Propose(UsageCommand),
    /// Send the report of a window.
    Send(WindowNumber, Counts),
}

/// What is known of an edge's process.
#[derive(Clone, Debug)]
struct Edge {
    open_from: WindowNumber,
    heard_at: Millis,
}

/// Metering of a leader. All of it may be lost: edges tell the next one everything.
#[derive(Debug)]
pub struct Metering {
    settings: MeterSettings,
    began: Millis,
    edges: BTreeMap<EdgeLife, Edge>,
    /// Counts told and not yet in the log.
    unkept: BTreeMap<(EdgeLife, WindowNumber), Counts>,
    kept_at: Millis,
    /// The first window of this leader where the log knows none.
    first: Option<WindowNumber>,
    /// The window whose close is proposed.
    closing: Option<WindowNumber>,
    is_sending: bool,
    failures: u32,
    send_from: Millis,
    is_fenced: bool,
}

impl Metering {
    /// Metering of a leader that begins now.
    pub fn new(settings: MeterSettings, now: Millis) -> Self {
        Self {
            settings,
            began: now,
            edges: BTreeMap::new(),
            unkept: BTreeMap::new(),
            kept_at: now,
            first: None,
            closing: None,
            is_sending: false,
            failures: 0,
            send_from: now,
            is_fenced: false,
        }
    }

    /// An edge told what it counted.
    pub fn reported(&mut self, life: EdgeLife, report: UsageReport, now: Millis) {
        // An earlier life of the machine's process counts nothing more.
        self.edges
            .retain(|known, _| known.machine != life.machine || *known == life);
        for (window, counts) in report.windows {
            self.unkept.insert((life.clone(), window), counts);
        }
        let edge = Edge {
            open_from: report.open_from,
            heard_at: now,
        };
        self.edges.insert(life, edge);
    }

    /// An edge gave a sign of life.
    pub fn heard(&mut self, machine: &str, now: Millis) {
        let mut edges = self.edges.iter_mut();
        if let Some((_, edge)) = edges.find(|(life, _)| life.machine == machine) {
            edge.heard_at = now;
        }
    }

    /// An edge takes no more requests, or is out of reach.
    pub fn edge_gone(&mut self, machine: &str) {
        self.edges.retain(|life, _| life.machine != machine);
    }

    /// The platform answered, or did not.
    pub fn answered(
        &mut self,
        window: WindowNumber,
        answer: SendAnswer,
        now: Millis,
    ) -> Vec<MeterAction> {
        self.is_sending = false;
        match answer {
            SendAnswer::Taken => {
                self.failures = 0;
                let delivered = UsageCommand::Delivered(window);
                // Until the log knows, it is not sent again.
                self.send_from = now + KEEP_PAUSE;
                return vec![MeterAction::Propose(delivered)];
            }
            SendAnswer::Fenced => self.is_fenced = true,
            SendAnswer::Again => {
                let pause = FIRST_PAUSE << self.failures.min(3);
                self.failures += 1;
                self.send_from = now + pause.min(LONGEST_PAUSE);
            }
        }
        Vec::new()
    }

    /// Lets time pass; `time` is true time, if it is known.
    pub fn tick(
        &mut self,
        time: Option<WallMillis>,
        ledger: &UsageLedger,
        now: Millis,
    ) -> Vec<MeterAction> {
        let mut actions = Vec::new();
        self.keep(&mut actions, now);
        if let Some(time) = time {
            self.close(time, ledger, now, &mut actions);
        }
        self.send(ledger, now, &mut actions);
        actions
    }

    fn keep(&mut self, actions: &mut Vec<MeterAction>, now: Millis) {
        if self.unkept.is_empty() || now < self.kept_at + KEEP_PAUSE {
            return;
        }
        self.kept_at = now;
        let unkept = std::mem::take(&mut self.unkept).into_iter();
        let kept = unkept.map(|((life, window), counts)| (life, window, counts));
        let command = UsageCommand::Keep(kept.collect());
        actions.push(MeterAction::Propose(command));
    }

    /// Closes the oldest open window once all that is to come for it has come.
    fn close(
        &mut self,
        time: WallMillis,
        ledger: &UsageLedger,
        now: Millis,
        actions: &mut Vec<MeterAction>,
    ) {
        let windows = self.settings.windows;
        let first = *self.first.get_or_insert_with(|| windows.at(time));
        if now < self.began + GATHERING_TIME || !self.unkept.is_empty() {
            return;
        }
        if self.closing.is_some() && ledger.closed_through() < self.closing {
            return;
        }
        let oldest = match ledger.closed_through() {
            Some(through) => through + 1,
            None => ledger
                .oldest_open()
                .map_or(first, |oldest| oldest.min(first)),
        };
        if !self.may_close(oldest, time, now) {
            return;
        }
        self.closing = Some(oldest);
        log::info!(
            "event=usage_closed window={oldest} late_ms={} edges={}",
            time.saturating_sub(windows.end(oldest)),
            self.edges.len()
        );
        actions.push(MeterAction::Propose(UsageCommand::Close(oldest)));
    }

    fn may_close(&self, window: WindowNumber, time: WallMillis, now: Millis) -> bool {
        let end = self.settings.windows.end(window);
        if time < end + REPORT_TIME {
            return false;
        }
        let patience = self.settings.late_ms * WAIT_PERCENT / 100;
        let mut edges = self.edges.values();
        let is_awaited =
            |edge: &Edge| edge.open_from <= window && now < edge.heard_at + EDGE_SILENT;
        time >= end + patience || !edges.any(is_awaited)
    }

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
