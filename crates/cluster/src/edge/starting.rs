//! Queues requests that arrive before a starting edge knows the fleet.
//!
//! A starting edge receives the configuration, the replicas and the evacuated zones shortly after
//! it begins to listen. Requests that arrive earlier are queued for a fraction of their deadline
//! instead of being rejected. Requests that need only the configuration (no route, no key, a job)
//! wait only for that. An edge that still does not know the fleet after [`STARTUP_MS`] is isolated
//! and rejects requests at once.

use super::headers::header_number;
use super::process::Edge;
use crate::clock::{Moment, within};
use brasspond_fleet::{ConfigurationIndex, FleetView};
use hyper::HeaderMap;
use std::rc::Rc;
use std::time::Duration;

/// Time after the start during which requests are queued, in ms. It is several times what an edge
/// needs to learn the fleet if a leader or the store answers.
const STARTUP_MS: u64 = 2_000;
/// Maximum time in the queue. Another edge would have answered the caller by then.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(500);
/// A request is queued for at most its deadline divided by this. Callers whose body is not read
/// within a third of their deadline disconnect.
const QUEUE_TIME_DIVISOR: u32 = 4;

/// How much of the fleet an edge knows. It never decreases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum FleetKnowledge {
    /// The configuration is not known.
    Nothing,
    /// The configuration is known.
    Configuration,
    /// Everything that is needed to forward a request is known.
    Fleet,
}

/// How long a request may be queued until the fleet is known; zero if it must not be queued.
/// `up_ms` is the time since the edge's start, `deadline` the caller's deadline if it sends one.
fn max_queue_time(up_ms: u64, deadline: Option<Duration>) -> Duration {
    if up_ms >= STARTUP_MS {
        return Duration::ZERO;
    }
    let share = deadline.map_or(MAX_QUEUE_TIME, |deadline| deadline / QUEUE_TIME_DIVISOR);
    share.min(MAX_QUEUE_TIME)
}

/// Whether a view contains everything needed to forward a request. `supports_evacuation` says
/// whether zones may be evacuated.
fn is_complete(view: &FleetView, supports_evacuation: bool) -> bool {
    view.configuration.is_some()
        && view.replicas_revision > 0
        && (!supports_evacuation || view.evacuated_revision > 0)
}

impl Edge {
    /// Returns the configuration index. If it is not known yet, first queues the request. Returns
    /// `None` if it is still unknown when the queue time is over.
    pub(super) async fn known_index(&self, headers: &HeaderMap) -> Option<Rc<ConfigurationIndex>> {
        let is_known = || self.fleet.index.borrow().is_some();
        if !is_known() {
            self.queue_until_known(FleetKnowledge::Configuration, headers, Duration::ZERO)
                .await;
        }
        self.fleet.index.borrow().clone()
    }

    /// Queues a request until the fleet is known or its queue time is over. `waited` is the time it
    /// has been queued already.
    pub(super) async fn await_fleet(&self, headers: &HeaderMap, waited: Duration) {
        if !self.knows_fleet() {
            self.queue_until_known(FleetKnowledge::Fleet, headers, waited)
                .await;
        }
    }

    async fn queue_until_known(
        &self,
        wanted: FleetKnowledge,
        headers: &HeaderMap,
        waited: Duration,
    ) {
        let names = self.platform.wire.names();
        let deadline = header_number(headers, &names.deadline_ms).map(Duration::from_millis);
        let limit = max_queue_time(self.clock.now(), deadline).saturating_sub(waited);
        if limit.is_zero() || self.callers.is_draining() {
            return;
        }
        let started = Moment::now();
        let mut known = self.fleet.knowledge.subscribe();
        // After a timeout the calling function checks what is known.
        let result = within(limit, known.wait_for(|known| *known >= wanted)).await;
        log::info!(
            "event=held_for_fleet known={} wanted={wanted:?} held_ms={} hold_ms={} up_ms={}",
            result.is_ok(),
            started.elapsed().as_millis(),
            limit.as_millis(),
            self.clock.now()
        );
    }

    /// Whether everything needed to forward a request is known.
    fn knows_fleet(&self) -> bool {
        is_complete(
            &self.fleet.view.borrow(),
            self.settings.process.supports_evacuation,
        )
    }

    /// Wakes queued requests when more of the fleet is known.
    pub(super) fn announce_fleet_known(&self) {
        let known = if self.knows_fleet() {
            FleetKnowledge::Fleet
        } else if self.fleet.index.borrow().is_some() {
            FleetKnowledge::Configuration
        } else {
            FleetKnowledge::Nothing
        };
        self.fleet.knowledge.send_if_modified(|before| {
            let is_more = known > *before;
            *before = known.max(*before);
            is_more
        });
    }
}

#[cfg(test)]
#[path = "../../tests/unit/starting.rs"]
mod tests;
