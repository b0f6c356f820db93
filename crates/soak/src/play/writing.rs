//! Writes to the store during a run: configurations and versions of the weights.

use super::Run;
use crate::checks::{CONFIGURATION_DUE_MS, ConfigWrite};
use crate::history::CallKind;
use brasspond_platform_standin::caller::{Caller, version_entry, with_route};
use brasspond_platform_standin::processes::configuration;
use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

impl Run {
    /// Writes a configuration that adds a route, and sends a request on this route to each edge
    /// [`CONFIGURATION_DUE_MS`] later.
    pub(super) fn write_configuration(&mut self) {
        let version = self.config_writes.last().map_or(2, |last| last.version + 1);
        let prefix = format!("/new-{version}/");
        // Routes of earlier versions stay, so that requests on them are still answered.
        let versions = 2..=version;
        let written = versions.fold(configuration(version), |all, version| {
            with_route(all, &format!("/new-{version}/"))
        });
        self.cluster.store.put("config", "main", written);
        self.config_writes.push(ConfigWrite {
            version,
            at: self.now(),
        });
        for to in self.callers.edges.clone() {
            if to.is_proxied {
                continue;
            }
            let callers = Arc::clone(&self.callers);
            let new_routes = Arc::clone(&self.new_routes);
            let path = format!("{prefix}x");
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(CONFIGURATION_DUE_MS)).await;
                let mut caller = Caller::new(to.address);
                let body = Bytes::from_static(b"new");
                let response = callers.send(&mut caller, to, CallKind::NewRoute, &path, body);
                let (id, _) = response.await;
                new_routes.lock().expect("lock").insert(id, version);
            });
        }
    }

    /// Publishes the next version of the weights.
    pub(super) fn publish_version(&mut self) {
        let version = self.callers.newest_version.load(Ordering::Relaxed) + 1;
        let entry = version_entry(version);
        self.cluster.store.put("versions", "model", entry);
        self.callers
            .newest_version
            .store(version, Ordering::Relaxed);
    }
}
