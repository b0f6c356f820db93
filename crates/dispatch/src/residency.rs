//! Data residency: the regions in which the data of jobs may be kept.
//!
//! Routes, tenants and the routes of scoring calls restrict the regions. A job's log entries
//! contain the bodies of its items and of their scoring calls, so the processes that store the log,
//! and the edges that run an item, must be in regions that allow both. The replica of an item
//! receives only the item's body.

use crate::dispatcher::Dispatcher;
use crate::runs::Run;
use brasspond_fleet::{Configuration, FleetView, Regions, Route, RouteKind};
use brasspond_jobs::{Item, Job, JobTable};
use brasspond_units::Millis;
use std::collections::BTreeSet;

/// Whether any route or tenant of a configuration binds data to regions.
fn has_bound_regions(configuration: &Configuration) -> bool {
    let mut routes = configuration.routes.iter();
    let mut tenants = configuration.tenants.iter();
    routes.any(|route| route.regions.is_bound()) || tenants.any(|tenant| tenant.regions.is_bound())
}

/// Regions in which the bodies of a job may be kept: those allowed by its route, its tenant and the
/// routes of its scoring calls.
pub fn body_regions(
    configuration: &Configuration,
    route: &Route,
    tenant: Option<&str>,
    items: &[Item],
) -> Regions {
    if !has_bound_regions(configuration) {
        return configuration.regions_of(route, tenant);
    }
    let calls = items.iter().filter_map(|item| item.scoring.as_ref());
    let endpoints: BTreeSet<(&str, &str)> = calls
        .map(|call| (call.host.as_str(), call.path.as_str()))
        .collect();
    scored_regions(configuration, route, tenant, endpoints)
}

/// As [`body_regions`], for a job whose scoring calls go to these hosts and paths.
pub fn scored_regions<'a>(
    configuration: &Configuration,
    route: &Route,
    tenant: Option<&str>,
    endpoints: impl IntoIterator<Item = (&'a str, &'a str)>,
) -> Regions {
    let own_regions = configuration.regions_of(route, tenant);
    let routes = endpoints
        .into_iter()
        .filter_map(|(host, path)| configuration.route(host, path));
    routes.fold(own_regions, |regions, route| regions.and(&route.regions))
}

/// Regions in which the bodies of a job may be kept; any region if the job has no route.
pub fn job_regions(configuration: &Configuration, job: &Job) -> Regions {
    let route = configuration.route(&job.host, &job.path);
    route.map_or(Regions::Any, |route| {
        body_regions(configuration, route, job.tenant.as_deref(), &job.items)
    })
}

/// Whether the job table contains bodies that are bound to regions.
pub fn has_bound_bodies(view: &FleetView, table: &JobTable) -> bool {
    let Some(configuration) = &view.configuration else {
        return false;
    };
    has_bound_regions(configuration)
        && table
            .jobs()
            .any(|(_, job)| job_regions(configuration, job).is_bound())
}

/// Regions that the routes of jobs, the tenants and the routes of scoring calls have in common; any
/// region if no route is for jobs. All other routes except streaming ones may serve scoring calls.
/// They are included because jobs with such calls would be refused if no member were in the routes'
/// regions. A route or tenant that has no region in common with the ones before it, in this order,
/// is skipped, so that only its own jobs are refused.
pub fn shared_regions(configuration: &Configuration) -> Regions {
    let is_job = |route: &&Route| route.kind.is_job();
    let routes = || configuration.routes.iter();
    if !routes().any(|route| route.kind.is_job()) {
        return Regions::Any;
    }
    let of_routes = routes().filter(is_job).map(|route| &route.regions);
    let of_tenants = configuration.tenants.iter().map(|tenant| &tenant.regions);
    let scoring = routes().filter(|route| !is_job(route) && route.kind != RouteKind::Streaming);
    let of_scoring = scoring.map(|route| &route.regions);
    let all = of_routes.chain(of_tenants).chain(of_scoring);
    all.fold(Regions::Any, |shared, regions| {
        let common = shared.and(regions);
        if common.is_empty() { shared } else { common }
    })
}

impl Dispatcher {
    /// Moves runs and scorings whose replica or edge is outside their regions under the current
    /// configuration; if `edge` is given, only those of that edge.
    pub(crate) fn move_into_regions(&mut self, edge: Option<&str>, now: Millis) {
        let outside = self.runs.ids_where(|run| {
            let is_selected = edge.is_none_or(|edge| edge == run.machine);
            is_selected && !run.cancelled && self.is_outside(run)
        });
        for attempt in outside {
            self.move_run(attempt, "outside_regions", now);
        }
        self.move_scorings_into_regions(edge, now);
    }

    /// Whether a run's replica or edge is outside its regions; false if its job has no route.
    fn is_outside(&self, run: &Run) -> bool {
        let Some(route) = self.jobs.route(&run.job) else {
            return false;
        };
        let replica = self.replicas.by_id.get(&run.replica);
        let region = replica.and_then(|replica| replica.endpoint.region.as_deref());
        !route.regions.allows(region) || !self.is_edge_allowed(&run.machine, &route.bodies)
    }
}
