//! Carries out loads: sends orders to replicas, polls them and handles their answers.
//!
//! Keeps no state; updates the loads in `Orders` by the rules of module `orders`.

use crate::action::Action;
use crate::dispatcher::Dispatcher;
use crate::orders::{
    AfterReport, LOAD_RETRY_DELAY_MS, OrderAnswer, POLL_INTERVAL_MS, ReplicaReport, Stage,
    VersionLoad, after_report, is_order_timed_out,
};
use brasspond_fleet::{Identity, LifeChange};
use brasspond_units::Millis;

/// A load to begin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PlannedLoad {
    /// Id of the replica.
    pub replica: String,
    pub model: String,
    pub version: u64,
}

impl Dispatcher {
    /// Begins a load and hands over the replica's runs, at most `spare` of them. Sends the order at
    /// once if the number of orders that the replica has accepted is known; otherwise asks the
    /// replica for it.
    pub(crate) fn begin_load(&mut self, planned: PlannedLoad, spare: usize, now: Millis) {
        let PlannedLoad {
            replica,
            model,
            version,
        } = planned;
        let sequence = self.orders.sequences.get(&replica).copied();
        let load = VersionLoad {
            model,
            version,
            stage: match sequence {
                Some(_) => Stage::AwaitingAnswer,
                None => Stage::AwaitingReport,
            },
            since: now,
            accepted_at: None,
            poll_at: None,
        };
        self.orders.loads.insert(replica.clone(), load);
        self.move_from_loading(&replica, spare, now);
        match sequence {
            Some(sequence) => self.send_order(&replica, sequence),
            None => self.request_report(&replica),
        }
    }

    fn request_report(&mut self, replica: &str) {
        if let Some(known) = self.replicas.by_id.get(replica) {
            self.actions.push(Action::RequestReport {
                replica: replica.to_string(),
                address: known.endpoint.address,
            });
        }
    }

    fn send_order(&mut self, replica: &str, sequence: u64) {
        let known = self.replicas.by_id.get(replica);
        let load = self.orders.loads.get(replica);
        if let (Some(known), Some(load)) = (known, load) {
            self.actions.push(Action::Order {
                replica: self.replicas.lives.identity(replica),
                address: known.endpoint.address,
                model: load.model.clone(),
                version: load.version,
                expected_orders: sequence,
                runs_finish: self.runs_finish_first(replica),
            });
        }
    }

    /// Whether a replica must finish its runs before it loads: a route to its service requires
    /// texts of a single version.
    pub(crate) fn runs_finish_first(&self, replica: &str) -> bool {
        let Some(replica) = self.replicas.by_id.get(replica) else {
            return false;
        };
        let configuration = self.view.configuration.as_ref();
        configuration.is_some_and(|configuration| {
            configuration.routes.iter().any(|route| {
                let mut targets = route.targets.iter();
                route.single_version
                    && targets.any(|target| *target.service == *replica.endpoint.service)
            })
        })
    }

    /// Polls the replicas that load and are due to be polled.
    pub(crate) fn poll_loads(&mut self, now: Millis) {
        for id in self.orders.take_due_polls(now) {
            self.request_report(&id);
        }
    }

    /// Checks the life in a report, and discards the state of the earlier life if the replica has
    /// restarted. Returns `None` if there is no report or if it is from an earlier life.
    fn observe_report(
        &mut self,
        id: &str,
        report: Option<ReplicaReport>,
        now: Millis,
    ) -> Option<ReplicaReport> {
        let report = report?;
        match self.replicas.lives.observe_report(id, report.life, now) {
            LifeChange::Same | LifeChange::First => {}
            LifeChange::Older => return None,
            LifeChange::Restarted { .. } => {
                self.begin_life(id, now);
                self.replicas.replace_versions(id, &report.versions);
                self.replicas.assume_warming(id, &self.view, now);
                if let Some(load) = self.orders.loads.get_mut(id) {
                    // This report already answers the query that the restarted load would send.
                    load.poll_at = None;
                }
            }
        }
        Some(report)
    }

    /// Handles a replica's report; `report` is `None` if the replica did not answer.
    pub(crate) fn on_report(&mut self, id: &str, report: Option<ReplicaReport>, now: Millis) {
        let report = self.observe_report(id, report, now);
        let Some(load) = self.orders.loads.get_mut(id) else {
            return;
        };
        let elapsed = now.saturating_sub(load.since);
        let Some(report) = report else {
            load.poll_at = Some(now + POLL_INTERVAL_MS);
            if is_order_timed_out(elapsed) {
                self.abandon_load(id, now);
            }
            return;
        };
        let sequence = report.sequence;
        self.orders.sequences.insert(id.to_string(), sequence);
        let mut versions = report.versions.iter();
        let served = versions.find(|(model, _)| *model == load.model);
        // Version 0 stands for no version of the model.
        let served = served.map_or(0, |(_, version)| *version);
        let has_version = served >= load.version;
        match after_report(load.stage, elapsed, has_version, report.busy) {
            AfterReport::Loaded => self.on_loaded(id, served, now),
            AfterReport::PollAgain => {
                load.stage = Stage::Loading;
                load.poll_at = Some(now + POLL_INTERVAL_MS);
            }
            AfterReport::SendOrder => {
                load.stage = Stage::AwaitingAnswer;
                self.send_order(id, sequence);
            }
            AfterReport::Abandon => self.abandon_load(id, now),
        }
    }

    /// Handles a report that the replica serves the ordered version or a newer one.
    fn on_loaded(&mut self, id: &str, version: u64, now: Millis) {
        let Some(load) = self.orders.loads.get(id) else {
            return;
        };
        let duration = load.accepted_at.map(|accepted_at| now - accepted_at);
        let model = load.model.clone();
        self.update_load_limit(id, duration, now);
        self.end_load(id, &model, version, now);
        // The duration is unknown, and logged as 0, if the answer to the order was lost.
        let duration = duration.unwrap_or(0);
        log::info!(
            "event=version_loaded replica={id} model={model} version={version} took_ms={duration}"
        );
    }

    /// Ends a load after which the replica serves `version`.
    fn end_load(&mut self, id: &str, model: &str, version: u64, now: Millis) {
        self.orders.loads.remove(id);
        self.replicas.set_version(id, model, version, now);
        self.placement.mark_changed(id);
    }

    /// Updates the load limit with the duration of a load, unless the duration is unknown or
    /// includes the time in which the replica finished its runs.
    fn update_load_limit(&mut self, id: &str, duration: Option<Millis>, now: Millis) {
        let Some(duration) = duration else {
            return;
        };
        if self.runs_finish_first(id) {
            return;
        }
        let in_progress = self.orders.loads.len();
        self.orders
            .load_limit
            .record_load(duration, in_progress, now);
    }

    /// Handles a replica's answer to an order.
    pub(crate) fn on_ordered(&mut self, replica: &Identity, answer: OrderAnswer, now: Millis) {
        let id = &*replica.id;
        let is_void = !self.is_known_life(replica);
        log::info!(
            "event=order_answered replica={id} life={} answer={answer:?} is_void={is_void}",
            replica.life
        );
        if is_void {
            // The answer is from an earlier life; the load has restarted in the newer one.
            return;
        }
        let poll_delay = self.orders.load_limit.poll_delay();
        let Some(load) = self.orders.loads.get_mut(id) else {
            return;
        };
        match answer {
            OrderAnswer::Taken => {
                load.stage = Stage::Loading;
                load.since = now;
                load.accepted_at = Some(now);
                load.poll_at = Some(now + poll_delay);
                let sequence = self.orders.sequences.entry(id.to_string()).or_default();
                *sequence += 1;
            }
            OrderAnswer::Holds => {
                let (model, version) = (load.model.clone(), load.version);
                self.end_load(id, &model, version, now);
            }
            OrderAnswer::Unknown | OrderAnswer::Conflict => {
                self.orders.sequences.remove(id);
                load.stage = Stage::AwaitingReport;
                load.poll_at = Some(now + POLL_INTERVAL_MS);
            }
            OrderAnswer::Fenced | OrderAnswer::Refused | OrderAnswer::NotSent => {
                self.abandon_load(id, now);
            }
        }
    }

    /// Abandons a load. The replica accepts runs again and may be sent another order after
    /// [`LOAD_RETRY_DELAY_MS`].
    fn abandon_load(&mut self, id: &str, now: Millis) {
        self.orders.loads.remove(id);
        self.placement.mark_changed(id);
        self.orders.sequences.remove(id);
        let retry_at = now + LOAD_RETRY_DELAY_MS;
        self.orders.not_before.insert(id.to_string(), retry_at);
        log::warn!("event=load_abandoned replica={id}");
    }
}
