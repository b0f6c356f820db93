//! Orders of replicas at the leader: announces and sends the orders that the autoscaler plans.
//!
//! Owns no state. Orders are sent to the platform, by one holder at a time for each service and
//! zone.

use super::local::LocalEvent;
use super::ordering::AnnouncedOrder;
use super::process::Storage;
use crate::platform::OperationsAnswer;
use brasspond_autoscaling::{ScaleAnswer, ScaleOrder};
use brasspond_units::Millis;

/// Interval between runs of the autoscaler. It is short compared to the seconds that a replica
/// takes to start.
const PLAN_INTERVAL: Millis = 500;

/// Subject of an order in the log. No replica has such a name.
fn subject(order: &ScaleOrder) -> String {
    format!("/replicas/{}/{}", order.service, order.zone)
}

impl Storage {
    /// Runs the autoscaler and announces the orders that it plans. An order whose subject is leased
    /// to another holder is not announced, and the autoscaler plans it again.
    pub(super) fn plan_replicas(&mut self, now: Millis) {
        if self.platform.operations.is_none() || !self.settings.autoscales {
            return;
        }
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        if now < leader_state.planned_at + PLAN_INTERVAL {
            return;
        }
        leader_state.planned_at = now;
        let requests = leader_state.dispatcher.requests_by_service();
        let configuration = self.view.configuration.iter();
        for service in configuration.flat_map(|one| &one.services) {
            if service.scaling.is_some() {
                // Services without requests are not in the map.
                let load = requests.get(&service.name).copied().unwrap_or(0);
                leader_state
                    .autoscaler
                    .record_load(&service.name, load, now);
            }
        }
        let mut due = Vec::new();
        for order in leader_state.autoscaler.plan(&self.view, now) {
            let subject = subject(&order);
            if leader_state.leases.is_leased(&subject, now) {
                leader_state
                    .autoscaler
                    .answered(&order, ScaleAnswer::Retry, now);
            } else {
                due.push(AnnouncedOrder::Replicas(order, subject));
            }
        }
        for order in due {
            self.announce_order(order);
        }
    }

    /// Sends an order of replicas, or handles it as refused if it may not be sent.
    pub(super) fn order_replicas(&mut self, order: ScaleOrder, may_send: bool) {
        let started_at = self.clock.now();
        let Some((operations, holder)) = self.operations_as_holder(may_send) else {
            self.replicas_ordered(&order, OperationsAnswer::Refused);
            return;
        };
        let term = holder.fence;
        let local = self.local.clone();
        let clock = self.clock;
        tokio::task::spawn_local(async move {
            let answer = operations.order_replicas(holder, order.clone()).await;
            log::info!(
                "event=replicas_ordered service={} zone={} spot={} count={} fence={term} answer={answer:?} elapsed_ms={}",
                order.service,
                order.zone,
                order.is_spot,
                order.count,
                clock.now() - started_at
            );
            let event = LocalEvent::ReplicasOrdered(term, order, answer);
            local.send(event).await;
        });
    }

    /// Handles the platform's answer to an order. An order that was refused or whose outcome is
    /// unknown is planned again.
    pub(super) fn replicas_ordered(&mut self, order: &ScaleOrder, answer: OperationsAnswer) {
        let now = self.clock.now();
        let answer = match answer {
            OperationsAnswer::Done => ScaleAnswer::Accepted,
            OperationsAnswer::Conflict => ScaleAnswer::NoCapacity,
            OperationsAnswer::Refused | OperationsAnswer::Unknown => ScaleAnswer::Retry,
        };
        if let Some(leader_state) = &mut self.leader_state {
            leader_state.autoscaler.answered(order, answer, now);
        }
    }
}
