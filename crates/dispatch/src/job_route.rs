//! Resolves the services and regions in which a job may run, by the newest configuration.

use crate::residency::body_regions;
use crate::service_capacity::UsableServices;
use brasspond_fleet::{
    Configuration, FleetView, Regions, Route, Target, choose_target, usable_target,
};
use brasspond_jobs::Job;
use std::ptr;

/// Services and regions for the items of a job.
#[derive(Clone, Debug)]
pub(crate) struct JobRoute {
    /// Services that may run the items, with their weights; never empty.
    targets: Vec<Target>,
    pub max_attempts: u32,
    pub max_queue_ms: u64,
    pub single_version: bool,
    /// Regions in which items may run: those allowed by both the route and the tenant.
    pub regions: Regions,
    /// Regions in which the bodies of items and of their scoring calls may be kept. Edges that run
    /// or score the items must be in them.
    pub bodies: Regions,
}

impl JobRoute {
    /// Index of the target that an item prefers, by the weights of the targets. It is the same for
    /// all runs under one configuration.
    pub fn target(&self, item: u32) -> usize {
        let chosen = choose_target(&self.targets, u64::from(item));
        let mut targets = self.targets.iter();
        let index = targets.position(|target| chosen.is_some_and(|chosen| ptr::eq(chosen, target)));
        // The route has at least one target.
        index.unwrap_or(0)
    }

    /// The service that runs the items of a target: its own, or while that is not usable, its
    /// substitute.
    pub fn service(&self, target: usize, usable: &UsableServices) -> &str {
        let is_usable = |service: &str| usable.contains(service, &self.regions);
        let target = usable_target(&self.targets, &self.targets[target], is_usable);
        &target.service
    }
}

/// Resolves the route of a job; `None` if there is no job route with targets for it or no
/// configuration is known.
pub(crate) fn find_route(view: &FleetView, job: &Job) -> Option<JobRoute> {
    let configuration = view.configuration.as_ref()?;
    let route = configuration.route(&job.host, &job.path)?;
    job_route(configuration, route, job)
}

fn job_route(configuration: &Configuration, route: &Route, job: &Job) -> Option<JobRoute> {
    if !route.kind.is_job() {
        return None;
    }
    if route.targets.is_empty() {
        return None;
    }
    let tenant = job.tenant.as_deref();
    Some(JobRoute {
        targets: route.targets.clone(),
        max_attempts: route.max_attempts.max(1),
        max_queue_ms: route.max_queue_ms,
        single_version: route.single_version,
        regions: configuration.regions_of(route, tenant),
        bodies: body_regions(configuration, route, tenant, &job.items),
    })
}
