//! Replicas of HTTP services as this node sees them: requests in flight and ejections.

use crate::view::View;
use brasspond_http::Client;
use brasspond_resource::{Backend, ServiceSpec};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time for which a replica that cannot be connected to receives no requests.
const EJECTION_TIME: Duration = Duration::from_secs(1);

#[derive(Default)]
struct Replica {
    in_flight: AtomicU32,
    ejected_until: Mutex<Option<Instant>>,
}

/// The replicas of all services by name, and the client that calls them.
#[derive(Clone, Default)]
pub(crate) struct ServiceReplicas {
    pub(crate) client: Client,
    replicas: Arc<Mutex<HashMap<String, Arc<Replica>>>>,
}

/// A request slot at a replica, released on drop.
pub(crate) struct Slot(Arc<Replica>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ServiceReplicas {
    fn replica(&self, backend: &Backend) -> Arc<Replica> {
        let mut replicas = self.replicas.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(replicas.entry(backend.name.clone()).or_default())
    }

    /// Takes a slot at the eligible replica with the fewest requests in flight, ties broken at
    /// random. Eligible replicas are below their concurrency limit, neither leaving nor ejected, and
    /// not in `tried`.
    pub(crate) fn choose<'a>(
        &self,
        service: &'a ServiceSpec,
        view: &View,
        tried: &[String],
    ) -> Option<(&'a Backend, Slot)> {
        let now = Instant::now();
        let is_eligible = |backend: &&Backend| {
            let machine = view.catalogue.machine(&backend.name);
            let is_leaving = machine.is_some_and(|machine| machine.leaving);
            let replica = self.replica(backend);
            let ejected = replica
                .ejected_until
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let is_ejected = ejected.is_some_and(|until| until > now);
            let is_full = replica.in_flight.load(Ordering::Relaxed) >= service.max_concurrency;
            !is_leaving && !is_ejected && !is_full && !tried.contains(&backend.name)
        };
        let eligible = service.backends.iter().filter(is_eligible);
        let chosen = eligible.min_by_key(|backend| {
            let in_flight = self.replica(backend).in_flight.load(Ordering::Relaxed);
            (in_flight, rand::random::<u16>())
        })?;
        let replica = self.replica(chosen);
        replica.in_flight.fetch_add(1, Ordering::Relaxed);
        Some((chosen, Slot(replica)))
    }
}

impl Slot {
    /// Ejects the replica for [`EJECTION_TIME`] after a failed connection.
    pub(crate) fn eject(&self) {
        let ejected = self.0.ejected_until.lock();
        let mut ejected = ejected.unwrap_or_else(PoisonError::into_inner);
        *ejected = Some(Instant::now() + EJECTION_TIME);
    }
}
