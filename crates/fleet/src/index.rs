//! Indexes of a configuration, built once per configuration.
//!
//! The route of a request is found by a hash look-up of its host and a scan of the routes of that
//! host, and the tenant by a hash look-up of the API key.

use crate::configuration::{Configuration, Route, host_name};
use crate::tenant::{Credential, Denial, KeyDigest, Tenant};
use std::collections::HashMap;
use std::sync::Arc;

/// A configuration and its indexes.
#[derive(Debug)]
pub struct ConfigurationIndex {
    configuration: Arc<Configuration>,
    /// Positions of the routes of each host in the configuration, longest prefix first. Hosts are
    /// in lower case.
    routes: HashMap<String, Vec<usize>>,
    /// Position of the tenant that owns an API key, by the digest of the key.
    owners: HashMap<KeyDigest, usize>,
}

impl ConfigurationIndex {
    /// Builds the indexes in one pass over the configuration.
    pub fn new(configuration: Arc<Configuration>) -> Self {
        let mut routes: HashMap<String, Vec<usize>> = HashMap::new();
        for (position, route) in configuration.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            routes.entry(host).or_default().push(position);
        }
        for positions in routes.values_mut() {
            // The sort is stable, so of two routes with the same prefix the later one comes first.
            // `Configuration::route` also prefers the later one.
            positions.reverse();
            positions.sort_by_key(|position| {
                std::cmp::Reverse(configuration.routes[*position].prefix.len())
            });
        }
        let mut owners = HashMap::new();
        for (position, tenant) in configuration.tenants.iter().enumerate() {
            owners.extend(tenant.keys.iter().map(|key| (*key, position)));
        }
        Self {
            configuration,
            routes,
            owners,
        }
    }

    /// Returns the indexed configuration.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Finds the route of a request, with the same result as [`Configuration::route`].
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let positions = self.routes_of_host(host)?;
        let routes = positions
            .iter()
            .map(|position| &self.configuration.routes[*position]);
        routes
            .into_iter()
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Whether any route of a host accepts jobs without an API key.
    pub fn has_public_jobs(&self, host: &str) -> bool {
        let positions = self.routes_of_host(host).into_iter().flatten();
        let mut routes = positions.map(|position| &self.configuration.routes[*position]);
        routes.any(|route| route.is_public && route.kind.is_job())
    }

    /// Returns the tenant of a call, or `None` if the call needs no API key and does not carry
    /// exactly one known key.
    ///
    /// # Errors
    /// The call needs an API key and carries none, several or an unknown one.
    pub fn admit(
        &self,
        credential: Credential,
        is_public: bool,
    ) -> Result<Option<&Arc<Tenant>>, Denial> {
        let needs_key = !is_public && !self.configuration.tenants.is_empty();
        match credential {
            Credential::Key(key) => match self.owner(&key) {
                None if needs_key => Err(Denial::KeyUnknown),
                owner => Ok(owner),
            },
            Credential::Missing if needs_key => Err(Denial::KeyMissing),
            Credential::Several if needs_key => Err(Denial::SeveralKeys),
            Credential::Missing | Credential::Several => Ok(None),
        }
    }

    fn owner(&self, key: &KeyDigest) -> Option<&Arc<Tenant>> {
        let position = self.owners.get(key)?;
        self.configuration.tenants.get(*position)
    }

    fn routes_of_host(&self, host: &str) -> Option<&Vec<usize>> {
        let host = host_name(host);
        match self.routes.get(host) {
            None => self.routes.get(&host.to_ascii_lowercase()),
            known => known,
        }
    }
}
