//! The autoscaler at the leader, which decides how many replicas to order and when.
//!
//! The autoscaler stores the load peaks and its last orders. It reads the existing replicas from
//! the view of the fleet.

use crate::peak::Peak;
use crate::zones::{ZoneReplicas, replicas_by_zone, spread};
use brasspond_fleet::{FleetView, Scaling, Service};
use brasspond_units::Millis;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Number of slots that the autoscaler provides per request at the peak. Runs are faster on
/// replicas that are not full, and some replicas may be loading weights.
const HEADROOM: f64 = 1.25;
/// Time from the end of the boot of ordered replicas until they appear in the view, in ms. The next
/// order for the zone waits for the boot time and this time.
const VIEW_DELAY_MS: Millis = 2_000;
/// Time until the next order for a zone that has no capacity, in ms.
const NO_CAPACITY_PAUSE_MS: Millis = 4_000;
/// Time until the next order for a zone after an order that was refused or whose outcome is
/// unknown, in ms.
const RETRY_PAUSE_MS: Millis = 700;
/// Time after an evacuation, in addition to the warm-up time, without scaling down, in ms. The
/// replicas of the zone must serve again before their replacements are removed.
const RECOVERY_TIME_MS: Millis = 10_000;
/// Largest surplus of replicas in a zone that is not removed. Load varies from wave to wave, and a
/// removed replica must boot again.
const SURPLUS_TOLERANCE: u32 = 2;

/// An order that sets the number of replicas of one kind that a service has in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleOrder {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the zone.
    pub zone: Arc<str>,
    /// Whether the order is for spot replicas; otherwise it is for ordinary ones.
    pub is_spot: bool,
    /// Total number of replicas, including existing ones.
    pub count: u32,
}

/// Response of the platform to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScaleAnswer {
    /// The platform carries out the order.
    Accepted,
    /// The platform has no capacity for these replicas in the zone.
    NoCapacity,
    /// The order was refused, or its outcome is unknown.
    Retry,
}

/// The name of a service, the name of a zone, and whether the order is for spot replicas.
type OrderKey = (Arc<str>, Arc<str>, bool);

/// The last order for a service, a zone and a kind of replica.
#[derive(Clone, Debug, Default)]
struct LastOrder {
    /// Ordered number of replicas; `None` if there was no order or the last order failed.
    count: Option<u32>,
    /// Time before which no further order is due.
    not_before: Millis,
}

/// Scales all services that have scaling settings. The state need not be replicated, because the
/// next leader finds the existing replicas in the view.
#[derive(Debug, Default)]
pub struct Autoscaler {
    peaks: BTreeMap<Arc<str>, Peak>,
    last_orders: BTreeMap<OrderKey, LastOrder>,
    /// Evacuated zones at the last call of `plan`.
    evacuated: Arc<BTreeSet<Arc<str>>>,
    /// Time at which the evacuation of any zone last ended; `None` if none has ended yet.
    evacuation_ended_at: Option<Millis>,
}

impl Autoscaler {
    /// Records the number of running and waiting requests of a service at `now`.
    pub fn record_load(&mut self, service: &str, requests: usize, now: Millis) {
        match self.peaks.get_mut(service) {
            Some(peak) => peak.record(requests, now),
            None => {
                let mut peak = Peak::default();
                peak.record(requests, now);
                self.peaks.insert(service.into(), peak);
            }
        }
    }

    /// Returns the orders that are due at `now`. No order is due while the configuration or the
    /// evacuated zones are unknown, because evacuated zones must get no orders.
    pub fn plan(&mut self, view: &FleetView, now: Millis) -> Vec<ScaleOrder> {
        let Some(configuration) = &view.configuration else {
            return Vec::new();
        };
        if !view.knows_evacuations() {
            return Vec::new();
        }
        self.record_evacuated(view, now);
        let mut orders = Vec::new();
        for service in &configuration.services {
            if let Some(scaling) = &service.scaling {
                self.plan_service(service, scaling, view, now, &mut orders);
            }
        }
        orders
    }

    /// Records the evacuated zones. If the evacuation of a zone has ended, records `now` as the
    /// time of its end.
    fn record_evacuated(&mut self, view: &FleetView, now: Millis) {
        if self.evacuated.difference(&view.evacuated).next().is_some() {
            self.evacuation_ended_at = Some(now);
        }
        self.evacuated = Arc::clone(&view.evacuated);
    }

    /// Whether an evacuation ended so recently that replicas of the zone may still be warming up.
    fn is_recovering(&self, service: &Service, now: Millis) -> bool {
        let warm_up = service.warm_up.as_ref();
        let warm_up_ms = warm_up.map_or(0, |warm_up| warm_up.time_ms);
        self.evacuation_ended_at
            .is_some_and(|at| now < at + RECOVERY_TIME_MS + warm_up_ms)
    }

    /// Handles the platform's response to an order.
    pub fn answered(&mut self, order: &ScaleOrder, answer: ScaleAnswer, now: Millis) {
        let key = (order.service.clone(), order.zone.clone(), order.is_spot);
        let last_order = self.last_orders.entry(key).or_default();
        match answer {
            ScaleAnswer::Accepted => {}
            ScaleAnswer::NoCapacity => {
                last_order.count = None;
                last_order.not_before = now + NO_CAPACITY_PAUSE_MS;
            }
            ScaleAnswer::Retry => {
                last_order.count = None;
                last_order.not_before = now + RETRY_PAUSE_MS;
            }
        }
    }

    /// Appends the orders that are due for one service.
    fn plan_service(
        &mut self,
        service: &Service,
        scaling: &Scaling,
        view: &FleetView,
        now: Millis,
        orders: &mut Vec<ScaleOrder>,
    ) {
        // The operator sets the number of ordinary replicas, so only spot replicas are scaled.
        if scaling.spot_price.is_none() {
            return;
        }
        let name: Arc<str> = service.name.as_str().into();
        let mut zones = replicas_by_zone(service, scaling, view);
        let ordinary_in_all_zones = count_ordinary(&zones);
        // An evacuated zone gets no orders, and its replicas serve no requests.
        zones.retain(|zone, _| !view.is_evacuated(zone));
        let ordinary = count_ordinary(&zones);
        let peak = self.peaks.get(&name);
        let wanted = wanted_replicas(peak, service.engine_slots, ordinary_in_all_zones);
        let wanted = wanted.saturating_sub(ordinary);
        let is_peak_known = peak.is_some_and(|peak| peak.is_known(service.engine_slots, now));
        let may_shrink = !self.is_recovering(service, now);
        for (zone, count) in spread(wanted, scaling, &zones) {
            let existing = zones.get(&zone).copied().unwrap_or_default();
            let present = existing.spot;
            let last_order = self.last_orders.entry((name.clone(), zone.clone(), true));
            let last_order = last_order.or_default();
            let count = if is_peak_known {
                count
            } else {
                let limit = scaling.max.saturating_sub(existing.ordinary);
                count.max(last_order.count.unwrap_or(present)).min(limit)
            };
            if !last_order.is_due(count, present, may_shrink, now) {
                continue;
            }
            last_order.count = Some(count);
            last_order.not_before = now + scaling.boot_ms + VIEW_DELAY_MS;
            log::info!(
                "event=replicas_wanted service={name} zone={zone} spot=true count={count} present={present} wanted={wanted} ordinary={ordinary} peak_known={is_peak_known} evacuated_zones={}",
                view.evacuated.len()
            );
            orders.push(ScaleOrder {
                service: name.clone(),
                zone,
                is_spot: true,
                count,
            });
        }
    }
}

fn count_ordinary(zones: &BTreeMap<Arc<str>, ZoneReplicas>) -> u32 {
    zones.values().map(|counts| counts.ordinary).sum()
}

/// Returns the number of replicas of both kinds that a service should have: enough for `HEADROOM`
/// times the peak load with `slots` requests per replica, where 0 slots count as 1. Without any
/// recent load it is twice the number of ordinary replicas, because replicas that are ordered only
/// when load arrives boot too late for it.
fn wanted_replicas(peak: Option<&Peak>, slots: u32, ordinary: u32) -> u32 {
    let max_load = peak.map_or(0, Peak::max);
    if max_load == 0 {
        return 2 * ordinary;
    }
    let slots = f64::from(slots.max(1));
    (max_load as f64 * HEADROOM / slots).ceil() as u32
}

impl LastOrder {
    /// Whether to order `count` replicas in a zone that has `present` replicas. An increase is due
    /// at once. A reduction is due only if `may_shrink` is set and the surplus exceeds
    /// `SURPLUS_TOLERANCE`. Nothing is due before `not_before`.
    fn is_due(&self, count: u32, present: u32, may_shrink: bool, now: Millis) -> bool {
        if now < self.not_before {
            return false;
        }
        let expected = self.count.unwrap_or(present);
        let grows = count > expected || count > present;
        let shrinks = may_shrink && count + SURPLUS_TOLERANCE < expected;
        grows || shrinks
    }
}
