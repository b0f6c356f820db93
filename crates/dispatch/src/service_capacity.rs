//! Decides which services can run items at all, for routes that divide items between services.
//!
//! The set is computed when replicas change and at each tick, in one pass over the fleet, if the
//! configuration has such a route.

use crate::replicas::{Replica, Replicas};
use brasspond_fleet::{FleetView, Regions};
use brasspond_units::Millis;
use std::collections::HashMap;
use std::sync::Arc;

/// Number of faults in a row from which a replica is not usable during the pause after a fault.
/// Fewer faults are usual when a replica restarts. After the pause, the replica is tried again.
const MAX_USABLE_FAULTS: u32 = 3;

/// Services with a replica that can run items, now or once it has spare capacity or newer weights,
/// each with the regions of these replicas.
#[derive(Debug, Default)]
pub(crate) struct UsableServices {
    regions: HashMap<Arc<str>, Vec<Option<Arc<str>>>>,
}

impl UsableServices {
    /// Whether a service has a usable replica in one of `allowed`.
    pub fn contains(&self, service: &str, allowed: &Regions) -> bool {
        let regions = self.regions.get(service);
        regions.is_some_and(|regions| {
            let mut regions = regions.iter();
            regions.any(|region| allowed.allows(region.as_deref()))
        })
    }

    fn add(&mut self, replica: &Replica) {
        let endpoint = &replica.endpoint;
        let regions = match self.regions.get_mut(&endpoint.service) {
            Some(regions) => regions,
            None => self
                .regions
                .entry(Arc::clone(&endpoint.service))
                .or_default(),
        };
        if !regions.contains(&endpoint.region) {
            regions.push(endpoint.region.clone());
        }
    }
}

/// Whether a replica can run items, now or later.
fn is_usable(replica: &Replica, now: Millis) -> bool {
    let is_failing = replica.faults > MAX_USABLE_FAULTS && replica.is_paused(now);
    replica.endpoint.takes_work() && !is_failing
}

fn has_divided_routes(view: &FleetView) -> bool {
    let configuration = view.configuration.as_ref();
    configuration.is_some_and(|configuration| {
        let mut routes = configuration.routes.iter();
        routes.any(|route| route.targets.len() > 1)
    })
}

impl Replicas {
    /// Computes [`Self::usable`].
    pub fn update_usable(&mut self, view: &FleetView, now: Millis) {
        if !has_divided_routes(view) {
            return;
        }
        let mut usable = UsableServices::default();
        for replica in self
            .by_id
            .values()
            .filter(|replica| is_usable(replica, now))
        {
            usable.add(replica);
        }
        self.usable = usable;
    }
}
