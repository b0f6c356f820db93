//! Replicas of plain services as this node sees them: places and ejections.

use crate::view::View;
use brasspond_http::Client;
use brasspond_resource::{Backend, ServiceSpec};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time a replica that refused a connection is passed over: the first ejection of an engine
/// (design note 0004).
const EJECTION: Duration = Duration::from_secs(1);

#[derive(Default)]
struct Replica {
    in_flight: AtomicU32,
    ejected_until: Mutex<Option<Instant>>,
}

/// State of the replicas as this node sees them.
#[derive(Clone, Default)]
pub(crate) struct ServiceReplicas {
    pub(crate) client: Client,
    replicas: Arc<Mutex<HashMap<String, Arc<Replica>>>>,
}

/// A place at a replica, given back when dropped.
pub(crate) struct Place(Arc<Replica>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ServiceReplicas {
    fn replica(&self, backend: &Backend) -> Arc<Replica> {
        let mut replicas = self.replicas.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(replicas.entry(backend.name.clone()).or_default())
    }

    /// Takes a place at the replica with the fewest requests under way.
    pub(crate) fn choose<'a>(
        &self,
        service: &'a ServiceSpec,
        view: &View,
        tried: &[String],
    ) -> Option<(&'a Backend, Place)> {
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
        let least = eligible.min_by_key(|backend| {
            let in_flight = self.replica(backend).in_flight.load(Ordering::Relaxed);
            (in_flight, rand::random::<u16>())
        })?;
        let replica = self.replica(least);
        replica.in_flight.fetch_add(1, Ordering::Relaxed);
        Some((least, Place(replica)))
    }
}

impl Place {
    /// Passes the replica over for a while: it refused a connection.
    pub(crate) fn eject(&self) {
        let ejected = self.0.ejected_until.lock();
        let mut ejected = ejected.unwrap_or_else(PoisonError::into_inner);
        *ejected = Some(Instant::now() + EJECTION);
    }
}
