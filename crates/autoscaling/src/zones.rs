//! Counts the replicas of a service by zone, and distributes spot replicas over zones.

use brasspond_fleet::{FleetView, Scaling, Service};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Relative price of a replica in a zone without a configured price.
const BASE_PRICE: f64 = 1.0;

/// Number of replicas of each kind in a zone. Draining replicas are not counted.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ZoneReplicas {
    pub ordinary: u32,
    pub spot: u32,
}

/// Counts the replicas of a service in each zone that has a configured price or a replica that is
/// not draining.
pub(crate) fn replicas_by_zone(
    service: &Service,
    scaling: &Scaling,
    view: &FleetView,
) -> BTreeMap<Arc<str>, ZoneReplicas> {
    let priced = scaling.zone_prices.keys();
    let mut zones: BTreeMap<Arc<str>, ZoneReplicas> = priced
        .map(|zone| (Arc::clone(zone), ZoneReplicas::default()))
        .collect();
    for replica in view.undrained_replicas(&service.name) {
        let counts = match zones.get_mut(&replica.zone) {
            Some(counts) => counts,
            None => zones.entry(Arc::clone(&replica.zone)).or_default(),
        };
        if replica.is_spot {
            counts.spot += 1;
        } else {
            counts.ordinary += 1;
        }
    }
    zones
}

/// Distributes `wanted` spot replicas, or as many as the limits allow, over zones. Returns the
/// number for each zone, with the cheapest zone first.
///
/// The distribution is even, because the platform may reclaim all spot replicas of a zone at once;
/// the cheapest zones get the remainder. A zone gets spot replicas only up to `scaling.max` replicas
/// of both kinds together.
pub(crate) fn spread(
    wanted: u32,
    scaling: &Scaling,
    zones: &BTreeMap<Arc<str>, ZoneReplicas>,
) -> Vec<(Arc<str>, u32)> {
    let price = |zone: &str| scaling.zone_prices.get(zone).copied().unwrap_or(BASE_PRICE);
    let mut shares: Vec<(Arc<str>, u32, u32)> = zones
        .iter()
        .map(|(zone, counts)| {
            let limit = scaling.max.saturating_sub(counts.ordinary);
            (Arc::clone(zone), limit, 0)
        })
        .collect();
    shares.sort_by(|a, b| price(&a.0).total_cmp(&price(&b.0)));
    let mut remaining = wanted;
    while remaining > 0 {
        let before = remaining;
        for (_, limit, count) in &mut shares {
            if *count < *limit && remaining > 0 {
                *count += 1;
                remaining -= 1;
            }
        }
        if remaining == before {
            break;
        }
    }
    let counts = shares.into_iter().map(|(zone, _, count)| (zone, count));
    counts.collect()
}
