//! Orders to an engine and its reports.

use super::{
    CLAIM_BACKOFF, GRANT_PROBE_PERIOD, LOAD_RETRY_PERIOD, MIN_LIMIT, ORDER_TIMEOUT, Owner,
    TRIES_PER_ANCESTOR,
};
use crate::context::Context;
use crate::event::Action;
use crate::versions::Versions;
use brasspond_engine_api::{Command, EngineOrder, EngineReport, OrderOutcome, WeightSource};
use brasspond_limits::ConcurrencyLimit;
use brasspond_protocol::{AdmissionMessage, PeerMessage, RefusalReason};
use brasspond_types::{ModelName, NodeName, Timestamp, WeightVersion};
use std::collections::BTreeMap;

impl Owner {
    /// Probes the holders of grants that were not probed for [`GRANT_PROBE_PERIOD`].
    pub(crate) fn probe_grants(&mut self, context: &mut Context<'_>) {
        let mut due: BTreeMap<NodeName, Vec<u64>> = BTreeMap::new();
        for (ticket, grant) in &mut self.grants {
            if grant.probe_due <= context.now {
                grant.probe_due = context.now + GRANT_PROBE_PERIOD;
                due.entry(ticket.node.clone())
                    .or_default()
                    .push(ticket.number);
            }
        }
        for (node, tickets) in due {
            let engine = self.engine.clone();
            let probe = AdmissionMessage::Probe { engine, tickets };
            context.send(&node, PeerMessage::Admission(probe));
        }
    }

    /// Handles a report of the engine.
    pub(crate) fn handle_report(
        &mut self,
        asked_at: Timestamp,
        report: EngineReport,
        context: &Context<'_>,
    ) {
        if asked_at < self.report_asked {
            return;
        }
        self.report_asked = asked_at;
        if self.limit.current() <= MIN_LIMIT && report.max_running > MIN_LIMIT {
            let max_running = report.max_running;
            self.limit = ConcurrencyLimit::new(max_running, MIN_LIMIT, max_running);
        }
        self.limit.set_max(report.max_running);
        let holds = report.holder.as_ref() == Some(context.node_name);
        if self
            .held_epoch
            .is_some_and(|held_epoch| held_epoch != report.epoch || !holds)
        {
            self.held_epoch = None;
            self.claim_due = context.now + CLAIM_BACKOFF.base;
        }
        let models_changed = self
            .report
            .as_ref()
            .is_none_or(|before| before.models != report.models);
        self.report = Some(report);
        if models_changed {
            for waiting in std::mem::take(&mut self.awaiting_version) {
                self.queue.push(waiting);
            }
        }
    }

    /// Handles the outcome of an order.
    pub(crate) fn handle_outcome(
        &mut self,
        order: &EngineOrder,
        outcome: &OrderOutcome,
        context: &mut Context<'_>,
    ) {
        self.order_sent = None;
        match (&order.command, outcome) {
            (_, OrderOutcome::Fenced { epoch }) => {
                self.held_epoch = None;
                self.rejected_orders += 1;
                let delay = CLAIM_BACKOFF.delay(self.rejected_orders.min(2), context.random);
                self.claim_due = context.now + delay;
                if let Some(report) = &mut self.report {
                    report.epoch = report.epoch.max(*epoch);
                }
            }
            (Command::Claim, OrderOutcome::Accepted) => {
                self.held_epoch = Some(order.epoch);
                self.rejected_orders = 0;
                self.poll_due = context.now;
                if let Some(report) = &mut self.report {
                    report.epoch = order.epoch;
                    report.holder = Some(context.node_name.clone());
                }
            }
            (Command::Load { model, version, .. }, OrderOutcome::Accepted) => {
                self.load_tries.remove(&(model.clone(), *version));
                self.load_due = context.now + context.parameters.poll_period;
                self.poll_due = context.now;
                if let Some(report) = &mut self.report {
                    report.loading.insert(model.clone(), *version);
                }
            }
            (Command::Load { model, version, .. }, OrderOutcome::SourceGone) => {
                let tries = self
                    .load_tries
                    .entry((model.clone(), *version))
                    .or_default();
                *tries += TRIES_PER_ANCESTOR;
                self.load_due = context.now + LOAD_RETRY_PERIOD;
            }
            (Command::Load { model, version, .. }, OrderOutcome::SourceBusy) => {
                *self
                    .load_tries
                    .entry((model.clone(), *version))
                    .or_default() += 1;
                self.load_due = context.now + LOAD_RETRY_PERIOD;
            }
            (Command::Claim, OrderOutcome::SourceBusy | OrderOutcome::SourceGone) => {}
            (_, OrderOutcome::Unreachable) => self.load_due = context.now + ORDER_TIMEOUT,
        }
    }

    /// Polls the engine, claims it and orders missing versions. Refuses all waiting requests if the
    /// engine is leaving.
    pub(crate) fn tick(
        &mut self,
        is_leaving: bool,
        versions: &Versions,
        sources: &mut dyn FnMut(&ModelName, WeightVersion, u32) -> WeightSource,
        context: &mut Context<'_>,
    ) {
        if context.now >= self.poll_due {
            let is_loading = self
                .report
                .as_ref()
                .is_some_and(|report| !report.loading.is_empty());
            let divisor = if is_loading { 4 } else { 1 };
            self.poll_due = context.now + context.parameters.poll_period / divisor;
            let engine = self.engine.clone();
            let address = self.address;
            context.actions.push(Action::PollEngine { engine, address });
        }
        if self
            .order_sent
            .is_some_and(|sent| context.now.since(sent) < ORDER_TIMEOUT)
        {
            return;
        }
        if is_leaving || self.reports_leaving(context) {
            self.refuse_all(RefusalReason::EngineUnavailable, context);
            return;
        }
        match self.held_epoch {
            None => self.claim(context),
            Some(epoch) => self.update_versions(epoch, versions, sources, context),
        }
    }

    pub(super) fn claim(&mut self, context: &mut Context<'_>) {
        let Some(report) = &self.report else {
            return;
        };
        if context.now < self.claim_due {
            return;
        }
        let epoch = report.epoch + 1;
        self.give_order(epoch, Command::Claim, context);
    }

    pub(super) fn give_order(&mut self, epoch: u64, command: Command, context: &mut Context<'_>) {
        self.order_sent = Some(context.now);
        let order = EngineOrder {
            epoch,
            holder: NodeName::clone(context.node_name),
            command,
        };
        let engine = self.engine.clone();
        let address = self.address;
        context.actions.push(Action::OrderEngine {
            engine,
            address,
            order,
        });
    }

    /// Orders the engine to load the newest version of a model that it reports neither as served
    /// nor as loading. Sends one order at a time. An accepted order counts as loading until the
    /// next report.
    pub(super) fn update_versions(
        &mut self,
        epoch: u64,
        versions: &Versions,
        sources: &mut dyn FnMut(&ModelName, WeightVersion, u32) -> WeightSource,
        context: &mut Context<'_>,
    ) {
        if context.now < self.load_due {
            return;
        }
        let Some(report) = &self.report else {
            return;
        };
        let newest_versions = context.catalogue.newest_versions();
        let missing = newest_versions.keys().find_map(|model| {
            let newest = versions.newest(model).min(newest_versions[model]);
            let is_current = report.models.get(model) == Some(&newest);
            let is_loading = report.loading.get(model) == Some(&newest);
            (!is_current && !is_loading).then(|| (model.clone(), newest))
        });
        let Some((model, version)) = missing else {
            return;
        };
        let tries = self.load_tries.get(&(model.clone(), version)).copied();
        let source = sources(&model, version, tries.unwrap_or(0));
        let swap = Versions::swap_policy(context.catalogue, &model);
        let command = Command::Load {
            model,
            version,
            source,
            swap,
        };
        self.give_order(epoch, command, context);
    }
}
