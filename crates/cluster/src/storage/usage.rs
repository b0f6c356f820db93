//! Usage of tenants at the leader: proposes the log commands of metering, and announces and sends
//! its reports.
//!
//! Owns no state. A report is an order: it is sent by one holder at a time and fenced by the
//! holder's term.

use super::local::LocalEvent;
use super::ordering::{AnnouncedOrder, USAGE_SUBJECT};
use super::process::Storage;
use crate::platform::OperationsAnswer;
use brasspond_jobs::Command;
use brasspond_metering::{Counts, MeterAction, SendAnswer, WindowNumber};
use brasspond_units::Millis;

impl Storage {
    /// Runs metering. While another holder's lease on usage reports is valid, a report counts as
    /// refused and is retried.
    pub(super) fn tick_usage(&mut self, now: Millis) {
        let wall = self.clock.wall();
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state.clock.record(&self.own.machine, wall, now);
        let time = leader_state.clock.time(now);
        let Some(metering) = &mut leader_state.metering else {
            return;
        };
        let is_leased = leader_state.leases.is_leased(USAGE_SUBJECT, now);
        for action in metering.tick(time, self.table.usage(), now) {
            match action {
                MeterAction::Propose(command) => {
                    self.propose(&Command::Usage(command));
                }
                MeterAction::Send(window, _) if is_leased => {
                    self.usage_sent(window, OperationsAnswer::Refused, now);
                }
                MeterAction::Send(window, counts) => {
                    self.announce_order(AnnouncedOrder::Usage(window, counts));
                }
            }
        }
    }

    /// Sends the report of a window, or handles it as refused if it may not be sent.
    pub(super) fn send_usage(&mut self, window: WindowNumber, counts: Counts, may_send: bool) {
        let started_at = self.clock.now();
        let Some((operations, holder)) = self.operations_as_holder(may_send) else {
            self.usage_sent(window, OperationsAnswer::Refused, started_at);
            return;
        };
        let term = holder.fence;
        let local = self.local.clone();
        let clock = self.clock;
        tokio::task::spawn_local(async move {
            let requests: u64 = counts.values().sum();
            let answer = operations.report_usage(holder, window, counts).await;
            log::info!(
                "event=usage_sent window={window} requests={requests} fence={term} answer={answer:?} elapsed_ms={}",
                clock.now() - started_at
            );
            local
                .send(LocalEvent::UsageSent(term, window, answer))
                .await;
        });
    }

    /// Handles the platform's answer to a report. A report that was refused or whose outcome is
    /// unknown is sent again.
    pub(super) fn usage_sent(
        &mut self,
        window: WindowNumber,
        answer: OperationsAnswer,
        now: Millis,
    ) {
        let answer = match answer {
            OperationsAnswer::Done => SendAnswer::Accepted,
            OperationsAnswer::Conflict => SendAnswer::Fenced,
            OperationsAnswer::Refused | OperationsAnswer::Unknown => SendAnswer::Retry,
        };
        let metering = self
            .leader_state
            .as_mut()
            .and_then(|one| one.metering.as_mut());
        let Some(metering) = metering else {
            return;
        };
        for action in metering.on_answer(window, answer, now) {
            if let MeterAction::Propose(command) = action {
                self.propose(&Command::Usage(command));
            }
        }
    }
}
