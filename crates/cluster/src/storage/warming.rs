//! What the leader grants of requests to replicas that warm up.

use super::process::Storage;
use brasspond_consensus::READ_LEASE;
use brasspond_dispatch::{Event, PermitAsk};
use brasspond_warmup::Permit;

/// Pause between two lines on replicas that warm up, in ms.
const LOG_PAUSE: u64 = 1_000;

impl Storage {
    /// Grants a request that an edge asks for, if this process surely leads.
    pub(super) fn grant(&mut self, ask: &PermitAsk<'_>) -> Option<Permit> {
        let now = self.clock.now();
        let is_sure = self.consensus.has_quorum_contact(READ_LEASE, now);
        let leading = self.leading.as_mut()?;
        leading.dispatcher.set_confirmed_leader(is_sure, now);
        leading.dispatcher.grant(ask, now)
    }

    /// Places items that wait for a replica that warms up, as soon as it bears another.
    pub(super) fn place_on_opening(&mut self, now: u64) {
        let leading = self.leading.as_ref();
        if leading.is_some_and(|leading| leading.dispatcher.is_opening_due(now)) {
            self.dispatch(Event::BudgetOpened);
        }
    }

    /// When a replica that warms up bears another item that waits, in ms.
    pub(super) fn next_opening(&self) -> Option<u64> {
        self.leading.as_ref()?.dispatcher.next_opening()
    }

    /// One line a second on replicas that warm up, while there are any.
    pub(super) fn tell_warming(&mut self, now: u64) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let (replicas, counts) = leading.dispatcher.warming();
        self.metrics.warming_replicas(replicas);
        self.metrics.grants("item", counts.items);
        self.metrics.grants("request", counts.requests);
        self.metrics.grants("refused", counts.refused);
        self.metrics.grants("returned", counts.returned);
        if replicas == 0 || now < leading.warming_logged_at + LOG_PAUSE {
            return;
        }
        leading.warming_logged_at = now;
        log::info!(
            "event=warming_state term={} replicas={replicas} items={} requests={} refused={} returned={}",
            leading.term,
            counts.items,
            counts.requests,
            counts.refused,
            counts.returned
        );
    }
}
