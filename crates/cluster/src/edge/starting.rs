//! Requests that reach an edge before it knows the fleet: a first configuration, replicas, and
//! the zones that are evacuated where any may be.
//!
//! An edge that starts beside a leader or a store that answers is told these a moment after
//! it listens, the store's parts one after the other. A caller that is turned away in that
//! moment has used one of the few tries it has: it is held instead, for a part of its time.
//! What the configuration alone decides (no route, no key, a job) waits for that alone. An
//! edge that has been up for longer and still lacks some is cut off, and turns callers away at
//! once.

use super::headers::header_number;
use super::process::Edge;
use crate::clock::{Moment, within};
use brasspond_fleet::{ConfigurationIndex, FleetView};
use hyper::HeaderMap;
use std::rc::Rc;
use std::time::Duration;

/// Time after its start in which an edge expects to be told, in ms: several times what
/// it takes where a leader or the store answers.
const STARTING_MS: u64 = 2_000;
/// Longest time for which a request is held: what its caller has lost by then is more than
/// another edge would take to answer.
const LONGEST_HOLD: Duration = Duration::from_millis(500);
/// Part of a caller's time for which its request is held: callers whose body is not read
/// within a third of it leave, and enough is left for an answer, here or at another edge.
const HELD_SHARE: u32 = 4;

/// What an edge has been told since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Known {
    /// Nothing that requests need.
    Nothing,
    /// A configuration.
    Configuration,
    /// All that decides where a request may go.
    Fleet,
}

/// How long a request may wait until the fleet is known; zero: not at all.
fn hold(up_ms: u64, deadline: Option<Duration>) -> Duration {
    if up_ms >= STARTING_MS {
        return Duration::ZERO;
    }
    let share = deadline.map_or(LONGEST_HOLD, |deadline| deadline / HELD_SHARE);
    share.min(LONGEST_HOLD)
}

/// Whether a view says enough to send a request somewhere: the store tells its parts one after
/// the other.
fn is_enough(view: &FleetView, evacuates: bool) -> bool {
    view.configuration.is_some()
        && view.replicas_revision > 0
        && (!evacuates || view.evacuated_revision > 0)
}

impl Edge {
    /// Look-ups in the configuration, for a request that waited until one is known or its
    /// patience is over; none: none is known even then.
    pub(super) async fn known_index(&self, headers: &HeaderMap) -> Option<Rc<ConfigurationIndex>> {
        let is_known = || self.index.borrow().is_some();
        if !is_known() {
            self.held(Known::Configuration, headers, Duration::ZERO)
                .await;
        }
        self.index.borrow().clone()
    }

    /// Holds a request that is to go to a replica, and has waited for `waited` before, until
    /// all is known that decides where it may go, or its patience is over.
    pub(super) async fn await_fleet(&self, headers: &HeaderMap, waited: Duration) {
        if !self.knows_fleet() {
            self.held(Known::Fleet, headers, waited).await;
        }
    }

    async fn held(&self, wanted: Known, headers: &HeaderMap, waited: Duration) {
        let names = self.platform.wire.names();
        let deadline = header_number(headers, &names.deadline_ms).map(Duration::from_millis);
        let hold = hold(self.clock.now(), deadline).saturating_sub(waited);
        if hold.is_zero() || self.draining.get() {
            return;
        }
        let begun = Moment::now();
        let mut known = self.fleet_known.subscribe();
        // Late: whoever asked sees what is lacking.
        let came = within(hold, known.wait_for(|known| *known >= wanted)).await;
        log::info!(
            "event=held_for_fleet known={} wanted={wanted:?} held_ms={} hold_ms={} up_ms={}",
            came.is_ok(),
            begun.elapsed().as_millis(),
            hold.as_millis(),
            self.clock.now()
        );
    }

    /// Whether enough is known to send a request somewhere.
    fn knows_fleet(&self) -> bool {
        is_enough(&self.view.borrow(), self.settings.process.evacuates)
    }

    /// Lets requests that are held go on once enough is known.
    pub(super) fn announce_fleet_known(&self) {
        let known = if self.knows_fleet() {
            Known::Fleet
        } else if self.index.borrow().is_some() {
            Known::Configuration
        } else {
            Known::Nothing
        };
        self.fleet_known.send_if_modified(|before| {
            let is_more = known > *before;
            *before = known.max(*before);
            is_more
        });
    }
}

#[cfg(test)]
#[path = "../../tests/unit/starting.rs"]
mod tests;
