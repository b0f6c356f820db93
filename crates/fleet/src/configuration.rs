//! Routes, services and limits.

use crate::region::Regions;
use crate::tenant::Tenant;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// How requests of a route may be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by a series of events; at most once unless resumable.
    Streaming,
    /// Steps of trainers.
    Rollout,
    /// Jobs of requests run later, without a trainer.
    Batch,
}

impl RouteKind {
    /// Whether requests come as jobs of many items.
    pub fn is_job(self) -> bool {
        matches!(self, Self::Rollout | Self::Batch)
    }
}

/// A share of a route's requests goes to this service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Share, relative to the other targets' weights.
    pub weight: u32,
}

/// Which requests go to which services, and how they may be treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host asked for.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub prefix: String,
    /// How requests may be treated.
    pub kind: RouteKind,
    /// Longest time until a request is answered, in ms.
    pub timeout_ms: u64,
    /// Objective for the time until an answer, in ms.
    pub objective_ms: u64,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Services, by weight.
    pub targets: Vec<Target>,
    /// Most replicas one request may be sent to.
    pub max_attempts: u32,
    /// Whether a stream may be taken up by another replica.
    pub resumable: bool,
    /// Whether one version must make the whole text of an item.
    pub single_version: bool,
    /// Time after which an item that does not run is given up, in ms; 0: none.
    pub max_queue_ms: u64,
    /// Time by which a job's results are due, in ms.
    pub due_ms: u64,
    /// Whether callers need no key.
    #[serde(default)]
    pub is_public: bool,
    /// Where its requests may be served and kept.
    #[serde(default)]
    pub regions: Regions,
}

/// A service: replicas that are interchangeable.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Connections a replica takes from all callers together.
    pub max_connections: u32,
    /// Requests that a replica of this service batches; 0 where it is no model server.
    pub engine_slots: u32,
    /// Models that its replicas may serve.
    pub models: Vec<String>,
    /// Bounds and prices for the autoscaler; none: the number of replicas is not changed.
    #[serde(default)]
    pub scaling: Option<Scaling>,
    /// What its replicas bear while they warm up; none: as much as later.
    #[serde(default)]
    pub warm_up: Option<WarmUp>,
}

/// What a replica that warms up bears.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmUp {
    /// Time from a start, or from a loss of its caches, until it is warm, in ms.
    pub time_ms: u64,
    /// Requests that may reach it in any second, from all callers together.
    pub per_second: f64,
}

/// Bounds and prices of a service's replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Scaling {
    /// Fewest replicas in a zone, of both kinds together.
    pub min: u32,
    /// Most replicas in a zone, of both kinds together.
    pub max: u32,
    /// Time from an order until a new replica serves, in ms.
    pub boot_ms: u64,
    /// Price of a spot replica, as a part of an ordinary one's; none: there are none.
    pub spot_price: Option<f64>,
    /// Price of a replica by zone, relative to one another.
    pub zone_prices: BTreeMap<Arc<str>, f64>,
}

/// Bounds on what a caller may send. The defaults apply until a configuration names others; not
/// measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for the head to arrive, in ms.
    pub header_timeout_ms: u64,
    /// Time for which a connection may be idle, in ms.
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

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version the operator gave it.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Bounds on callers.
    pub limits: Limits,
    /// Tenants; where there are none, no call needs a key.
    #[serde(default)]
    pub tenants: Vec<Arc<Tenant>>,
}

impl Configuration {
    /// The route of a request: of those for its host, the one with the longest
    /// prefix that begins its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host_name(host);
        let fitting = self.routes.iter().filter(|route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
        });
        fitting.max_by_key(|route| route.prefix.len())
    }

    /// Where requests of a route for a tenant may be served and kept: in regions that both allow.
    pub fn regions_of(&self, route: &Route, tenant: Option<&str>) -> Regions {
        let tenant = tenant.and_then(|name| self.tenants.iter().find(|one| *one.name == *name));
        match tenant {
            Some(tenant) => route.regions.and(&tenant.regions),
            None => route.regions.clone(),
        }
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// A host as asked for, without its port.
pub(crate) fn host_name(host: &str) -> &str {
    host.split(':').next().unwrap_or(host)
}

/// The target for the `count`-th request of a route; none where there are no targets. In any
/// sequence of requests each target's share is near its weight's, as multiples of the golden ratio
/// modulo 1 are spread evenly.
pub fn choose_target(targets: &[Target], count: u64) -> Option<&Target> {
    let total: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    if total == 0 || targets.len() == 1 {
        return targets.first();
    }
    // 2^64 / golden ratio: multiples modulo 1, as fractions of 2^64.
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
