//! Replicas of a service by zone, and how spot replicas are spread over zones.

use brasspond_fleet::{FleetView, Scaling, Service};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Price of a replica in a zone that states none, as a part of an ordinary one's.
const FULL_PRICE: f64 = 1.0;

/// How many replicas of each kind a zone has, without those that drain.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Present {
    pub ordinary: u32,
    pub spot: u32,
}

/// Replicas of a service by zone, for all zones that have a price or a replica.
pub(crate) fn replicas_by_zone(
    service: &Service,
    scaling: &Scaling,
    view: &FleetView,
) -> BTreeMap<Arc<str>, Present> {
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

/// How many spot replicas each zone is to have, the cheapest zone first, so that together they
/// are `wanted` or as many as the limits allow.
///
/// They are spread evenly, because all spot replicas of a zone may be taken away at once; the
/// cheapest zones get what does not divide evenly. A zone has at most `scaling.max` replicas of
/// both kinds. A zone without a price counts as one of full price.
pub(crate) fn spread(
    wanted: u32,
    scaling: &Scaling,
    zones: &BTreeMap<Arc<str>, Present>,
) -> Vec<(Arc<str>, u32)> {
    let price = |zone: &str| scaling.zone_prices.get(zone).copied().unwrap_or(FULL_PRICE);
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
