//! The configuration: routes, services, limits and tenants.

use crate::region::Regions;
use crate::tenant::Tenant;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// How the requests of a route are executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    NonIdempotent,
    /// Responses are streams of events. Requests run at most once, unless the route is resumable.
    Streaming,
    /// Requests submit jobs for the training steps of a trainer.
    Rollout,
    /// Requests submit jobs that run later and have no trainer.
    Batch,
}

impl RouteKind {
    /// Whether requests submit jobs of many items.
    pub fn is_job(self) -> bool {
        matches!(self, Self::Rollout | Self::Batch)
    }
}

/// A service that gets a share of the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// A route, which matches requests by host and path and sends them to services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name for logs and metrics.
    pub name: String,
    /// Host that the requests name.
    pub host: String,
    /// Path prefix of the requests, which begins and ends with a slash.
    pub prefix: String,
    /// How the requests are executed.
    pub kind: RouteKind,
    /// Request timeout, in ms.
    pub timeout_ms: u64,
    /// Latency objective, in ms.
    pub objective_ms: u64,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Services that get the requests, with their weights.
    pub targets: Vec<Target>,
    /// Maximum number of replicas to which one request is sent.
    pub max_attempts: u32,
    /// Whether another replica may resume a stream.
    pub resumable: bool,
    /// Whether one version of the weights must generate the complete text of an item.
    pub single_version: bool,
    /// Time after the acceptance of a job from which on its items that are not running are
    /// abandoned, in ms; 0 for no limit.
    pub max_queue_ms: u64,
    /// Time within which the results of a job are due, in ms.
    pub due_ms: u64,
    /// Whether callers need no API key.
    #[serde(default)]
    pub is_public: bool,
    /// Regions where the requests may be served and stored.
    #[serde(default)]
    pub regions: Regions,
}

/// A service, which is a set of interchangeable replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Maximum number of connections to a replica, from all callers together.
    pub max_connections: u32,
    /// Number of requests that a replica runs in one batch; 0 if replicas are not model servers.
    pub engine_slots: u32,
    /// Names of the models that the replicas may serve.
    pub models: Vec<String>,
    /// Limits and prices for the autoscaler; `None` if the service is not scaled.
    #[serde(default)]
    pub scaling: Option<Scaling>,
    /// Limits on replicas while they warm up; `None` for no limits.
    #[serde(default)]
    pub warm_up: Option<WarmUp>,
}

/// Limits on a replica that is warming up.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmUp {
    /// Time from the start of a replica or the loss of its caches until it is warm, in ms.
    pub time_ms: u64,
    /// Maximum number of requests per second, from all callers together. It may be less than 1.
    pub per_second: f64,
}

/// Limits and prices of the replicas of a service, for the autoscaler.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Scaling {
    /// Minimum number of replicas in a zone, spot replicas included. The autoscaler does not apply
    /// this limit.
    pub min: u32,
    /// Maximum number of replicas in a zone, spot replicas included.
    pub max: u32,
    /// Time from the order of a replica until it serves requests, in ms.
    pub boot_ms: u64,
    /// Price of a spot replica as a fraction of the price of an ordinary one; `None` if the service
    /// has no spot replicas.
    pub spot_price: Option<f64>,
    /// Relative price of a replica in each zone.
    pub zone_prices: BTreeMap<Arc<str>, f64>,
}

/// Limits on callers. The defaults apply while no configuration is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of the header section of a request, in bytes.
    pub header_bytes: usize,
    /// Maximum size of the body of a request, in bytes.
    pub body_bytes: usize,
    /// Time within which the header section must arrive, in ms.
    pub header_timeout_ms: u64,
    /// Idle timeout of a connection, in ms.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 64 * 1024,
            body_bytes: 32 * 1024 * 1024,
            header_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
        }
    }
}

/// A complete configuration of the deployment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version that the operator assigned.
    pub version: u64,
    /// Routes of the deployment.
    pub routes: Vec<Route>,
    /// Services of the deployment.
    pub services: Vec<Service>,
    /// Limits on callers.
    pub limits: Limits,
    /// Tenants of the deployment. If there are none, no call needs an API key.
    #[serde(default)]
    pub tenants: Vec<Arc<Tenant>>,
}

impl Configuration {
    /// Finds the route of a request, which is the route of its host with the longest prefix that
    /// matches its path. Of two routes with the same prefix, the later one is found.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host_name(host);
        let matching = self.routes.iter().filter(|route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
        });
        matching.max_by_key(|route| route.prefix.len())
    }

    /// Returns the regions where requests of a tenant on a route may be served and stored, which
    /// both the route and the tenant must allow.
    pub fn regions_of(&self, route: &Route, tenant: Option<&str>) -> Regions {
        let tenant = tenant.and_then(|name| self.tenants.iter().find(|one| *one.name == *name));
        match tenant {
            Some(tenant) => route.regions.and(&tenant.regions),
            None => route.regions.clone(),
        }
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// Removes the port from a host.
pub(crate) fn host_name(host: &str) -> &str {
    host.split(':').next().unwrap_or(host)
}

/// Chooses the target of the `count`-th request of a route, or returns `None` if there are no
/// targets. Multiples of the golden ratio modulo 1 are spread evenly, so the share of each target
/// in any sequence of requests is close to its weight.
pub fn choose_target(targets: &[Target], count: u64) -> Option<&Target> {
    let total: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    if total == 0 || targets.len() == 1 {
        return targets.first();
    }
    // 2^64 divided by the golden ratio, so that wrapping multiples are fractions of 2^64.
    const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
    let fraction = u128::from(count.wrapping_mul(STEP));
    let mut point = ((fraction * u128::from(total)) >> 64) as u64;
    for target in targets {
        let weight = u64::from(target.weight);
        if point < weight {
            return Some(target);
        }
        point -= weight;
    }
    targets.last()
}

/// Returns `preferred`, one of `targets`, or while its service is not usable, the usable target with
/// the largest weight in its place. A target with weight 0 is no substitute. Without a usable target
/// the preferred one stays. A single target is not checked.
pub fn usable_target<'a>(
    targets: &'a [Target],
    preferred: &'a Target,
    is_usable: impl Fn(&str) -> bool,
) -> &'a Target {
    if targets.len() == 1 || is_usable(&preferred.service) {
        return preferred;
    }
    let substitutes = targets
        .iter()
        .filter(|target| target.weight > 0 && is_usable(&target.service));
    let heaviest = substitutes.max_by_key(|target| target.weight);
    heaviest.unwrap_or(preferred)
}
