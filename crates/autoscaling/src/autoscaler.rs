//! The autoscaler of a leader.

use crate::peak::Peak;
use brasspond_fleet::{FleetView, Scaling, Service};
use brasspond_units::Millis;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Places a service is to have for each request that was there at the peak: runs on
/// replicas that are not full are faster, and some replicas load weights meanwhile.
const HEADROOM: f64 = 1.25;
/// Pause between two orders of one kind for one zone, beside the time to boot, in ms:
/// what was ordered must be seen before it is ordered again.
const SEEN_TIME: Millis = 2_000;
/// Time for which none are ordered where none were to be had, in ms.
const NONE_PAUSE: Millis = 4_000;
/// Pause after an order that was refused or not answered, in ms.
const RETRY_PAUSE: Millis = 700;
/// Time after the end of an evacuation in which no zone is ordered fewer replicas, beside the
/// time for which replicas warm up, in ms: those that come back must be seen to serve before
/// those that stood in for them go.
const RETURN_TIME: Millis = 10_000;
/// Replicas fewer that are wanted before any are given back: work comes in waves.
const SURPLUS: u32 = 2;

/// An order: so many replicas of a kind there are to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleOrder {
    /// The service.
    pub service: Arc<str>,
    /// The zone.
    pub zone: Arc<str>,
    /// Spot replicas, else ordinary ones.
    pub is_spot: bool,
    /// How many.
    pub count: u32,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScaleAnswer {
    /// It is being done.
    Taken,
    /// None are to be had there now.
    NoneLeft,
    /// It was refused, or nothing is known of it.
    Again,
}

/// A service, a zone, and whether spot replicas are meant.
type Kind = (Arc<str>, Arc<str>, bool);

/// What was last ordered of a kind.
#[derive(Clone, Debug, Default)]
struct Ordered {
    count: Option<u32>,
    /// No order before this time.
    not_before: Millis,
}

/// How many replicas of each kind a zone has that are not about to leave.
#[derive(Clone, Copy, Debug, Default)]
struct Present {
    ordinary: u32,
    spot: u32,
}

/// Decides for all services that scale. All of it may be lost: a new leader sees in the
/// view what there is.
#[derive(Debug, Default)]
pub struct Autoscaler {
    peaks: BTreeMap<Arc<str>, Peak>,
    ordered: BTreeMap<Kind, Ordered>,
    evacuated: Arc<BTreeSet<Arc<str>>>,
    /// When the last evacuation ended; none: none was seen to end.
    returned_at: Option<Millis>,
}

impl Autoscaler {
    /// Requests of a service that run or wait at present.
    pub fn note_load(&mut self, service: &str, requests: usize, now: Millis) {
        match self.peaks.get_mut(service) {
            Some(peak) => peak.note(requests, now),
            None => {
                let mut peak = Peak::default();
                peak.note(requests, now);
                self.peaks.insert(service.into(), peak);
            }
        }
    }

    /// Orders that are due.
    pub fn plan(&mut self, view: &FleetView, now: Millis) -> Vec<ScaleOrder> {
        let Some(configuration) = &view.configuration else {
            return Vec::new();
        };
        // An order might go to an evacuated zone.
        if !view.knows_evacuated() {
            return Vec::new();
        }
        self.note_evacuated(view, now);
        let mut orders = Vec::new();
        for service in &configuration.services {
            if let Some(scaling) = &service.scaling {
                self.plan_service(service, scaling, view, now, &mut orders);
            }
        }
        orders
    }

    fn note_evacuated(&mut self, view: &FleetView, now: Millis) {
        if self.evacuated.difference(&view.evacuated).next().is_some() {
            self.returned_at = Some(now);
        }
        self.evacuated = Arc::clone(&view.evacuated);
    }

    /// Whether replicas that came back from an evacuation may still be warming up.
    fn is_returning(&self, service: &Service, now: Millis) -> bool {
        let warm_up = service.warm_up.as_ref();
        let warming = warm_up.map_or(0, |warm_up| warm_up.time_ms);
        self.returned_at
            .is_some_and(|at| now < at + RETURN_TIME + warming)
    }

    /// An order was answered, or not.
    pub fn answered(&mut self, order: &ScaleOrder, answer: ScaleAnswer, now: Millis) {
        let kind = (order.service.clone(), order.zone.clone(), order.is_spot);
        let ordered = self.ordered.entry(kind).or_default();
        match answer {
            ScaleAnswer::Taken => {}
            ScaleAnswer::NoneLeft => {
                ordered.count = None;
                ordered.not_before = now + NONE_PAUSE;
            }
            ScaleAnswer::Again => {
                ordered.count = None;
                ordered.not_before = now + RETRY_PAUSE;
            }
        }
    }

    fn plan_service(
        &mut self,
        service: &Service,
        scaling: &Scaling,
        view: &FleetView,
        now: Millis,
        orders: &mut Vec<ScaleOrder>,
    ) {
        // Without spot replicas the operator's own number stands.
        if scaling.spot_price.is_none() {
            return;
        }
        let name: Arc<str> = service.name.as_str().into();
        let mut zones = zones(service, scaling, view);
        let all: u32 = zones.values().map(|present| present.ordinary).sum();
        // What stands in an evacuated zone stays as it is, and counts for nothing meanwhile.
        zones.retain(|zone, _| !view.is_evacuated(zone));
        let ordinary: u32 = zones.values().map(|present| present.ordinary).sum();
        let wanted = self.wanted(&name, service, all).saturating_sub(ordinary);
        let may_shrink = !self.is_returning(service, now);
        let peak = self.peaks.get(&name);
        let is_known = peak.is_some_and(|peak| peak.is_known(service.engine_slots, now));
        for (zone, count) in spread(wanted, scaling, &zones) {
            let there = zones.get(&zone).copied().unwrap_or_default();
            let present = there.spot;
            let kind = (name.clone(), zone.clone(), true);
            let ordered = self.ordered.entry(kind).or_default();
            let count = if is_known {
                count
            } else {
                let most = scaling.max.saturating_sub(there.ordinary);
                count.max(ordered.count.unwrap_or(present)).min(most)
            };
            if !ordered.is_due(count, present, may_shrink, now) {
                continue;
            }
            ordered.count = Some(count);
            ordered.not_before = now + scaling.boot_ms + SEEN_TIME;
            log::info!(
                "event=replicas_wanted service={name} zone={zone} spot=true count={count} present={present} wanted={wanted} ordinary={ordinary} peak_known={is_known} evacuated_zones={}",
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

    /// Replicas that a service is to have in all; twice the ordinary ones before any load
    /// was seen, since what is ordered once work is there comes late for it.
    fn wanted(&self, name: &Arc<str>, service: &Service, ordinary: u32) -> u32 {
        let most = self.peaks.get(name).map_or(0, Peak::most);
        if most == 0 {
            return 2 * ordinary;
        }
        let slots = f64::from(service.engine_slots.max(1));
        (most as f64 * HEADROOM / slots).ceil() as u32
    }
}

impl Ordered {
    /// Whether `count` is to be ordered where `present` are there.
    fn is_due(&self, count: u32, present: u32, may_shrink: bool, now: Millis) -> bool {
        if now < self.not_before {
            return false;
        }
        let known = self.count.unwrap_or(present);
        let grows = count > known || count > present;
        let shrinks = may_shrink && count + SURPLUS < known;
        grows || shrinks
    }
}

/// Replicas by zone: of all zones that have a price or a replica.
fn zones(service: &Service, scaling: &Scaling, view: &FleetView) -> BTreeMap<Arc<str>, Present> {
    let priced = scaling.zone_prices.keys();
    let mut zones: BTreeMap<Arc<str>, Present> = priced
        .map(|zone| (Arc::clone(zone), Present::default()))
        .collect();
    for replica in view.ready_replicas(&service.name) {
        let present = match zones.get_mut(replica.zone.as_str()) {
            Some(present) => present,
            None => zones.entry(replica.zone.as_str().into()).or_default(),
        };
        if replica.is_spot {
            present.spot += 1;
        } else {
            present.ordinary += 1;
        }
    }
    zones
}

/// Spreads spot replicas evenly over the zones, as far as their limits allow; of what
/// is left over the cheapest zones get one more.
fn spread(
    wanted: u32,
    scaling: &Scaling,
    zones: &BTreeMap<Arc<str>, Present>,
) -> Vec<(Arc<str>, u32)> {
    let price = |zone: &str| scaling.zone_prices.get(zone).copied().unwrap_or(1.0);
    let mut rooms: Vec<(Arc<str>, u32, u32)> = zones
        .iter()
        .map(|(zone, present)| {
            let room = scaling.max.saturating_sub(present.ordinary);
            (Arc::clone(zone), room, 0)
        })
        .collect();
    rooms.sort_by(|a, b| price(&a.0).total_cmp(&price(&b.0)));
    let mut left = wanted;
    while left > 0 {
        let before = left;
        for (_, room, count) in &mut rooms {
            if *count < *room && left > 0 {
                *count += 1;
                left -= 1;
            }
        }
        if left == before {
            break;
        }
    }
    let counts = rooms.into_iter().map(|(zone, _, count)| (zone, count));
    counts.collect()
}
