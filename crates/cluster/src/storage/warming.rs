//! Permits for requests to warming replicas at the leader, with log lines and metrics on them.
//!
//! The dispatcher decides which permits are granted, and this module ensures that only a confirmed
//! leader grants them.

use super::process::Storage;
use brasspond_dispatch::{Event, PermitRequest};
use brasspond_units::Millis;
use brasspond_warmup::Permit;

/// Interval between log lines on warming replicas.
const WARMING_LOG_INTERVAL: Millis = 1_000;

impl Storage {
    /// Grants an edge a permit to send a request to a warming replica. Returns `None` if this
    /// process is not a confirmed leader or no warming replica can take another request now.
    pub(super) fn grant_permit(&mut self, request: &PermitRequest<'_>) -> Option<Permit> {
        let now = self.clock.now();
        let is_confirmed = self.is_confirmed_leader(now);
        let leader_state = self.leader_state.as_mut()?;
        leader_state
            .dispatcher
            .set_confirmed_leader(is_confirmed, now);
        leader_state.dispatcher.grant(request, now)
    }

    /// Places items that wait for a warming replica as soon as one can take another item.
    pub(super) fn place_on_warming_replicas(&mut self, now: Millis) {
        let leader_state = self.leader_state.as_ref();
        if leader_state.is_some_and(|leader_state| leader_state.dispatcher.is_opening_due(now)) {
            self.dispatch(Event::BudgetOpened);
        }
    }

    /// Returns when a warming replica can take the next waiting item, or `None` if no item waits
    /// for one.
    pub(super) fn next_opening(&self) -> Option<Millis> {
        self.leader_state.as_ref()?.dispatcher.next_opening()
    }

    /// Updates the metrics of warming replicas, and logs them every [`WARMING_LOG_INTERVAL`] while
    /// there are any.
    pub(super) fn report_warming(&mut self, now: Millis) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        let (replicas, counts) = leader_state.dispatcher.warming();
        self.metrics.warming_replicas(replicas);
        self.metrics.grants("item", counts.items);
        self.metrics.grants("request", counts.requests);
        self.metrics.grants("refused", counts.refused);
        self.metrics.grants("returned", counts.returned);
        if replicas == 0 || now < leader_state.warming_logged_at + WARMING_LOG_INTERVAL {
            return;
        }
        leader_state.warming_logged_at = now;
        log::info!(
            "event=warming_state term={} replicas={replicas} items={} requests={} refused={} returned={}",
            leader_state.term,
            counts.items,
            counts.requests,
            counts.refused,
            counts.returned
        );
    }
}
