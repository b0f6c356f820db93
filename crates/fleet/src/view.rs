//! The view of the fleet: the newest known configuration, replicas, versions, retirements and
//! evacuations.

use crate::configuration::{Configuration, WarmUp};
use crate::life::Life;
use crate::served::ServedModels;
use crate::sharing;
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// A replica of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaInfo {
    /// Id of the replica, which stays the same after a restart.
    pub id: Arc<str>,
    /// Name of the service that the replica belongs to.
    #[serde(deserialize_with = "sharing::name")]
    pub service: Arc<str>,
    /// Address on which the replica listens.
    pub address: SocketAddr,
    /// Name of the zone of the replica.
    #[serde(deserialize_with = "sharing::name")]
    pub zone: Arc<str>,
    /// Number of requests that the replica runs concurrently.
    pub slots: u32,
    /// Whether the replica is draining, so that it gets no new work.
    pub draining: bool,
    /// Models that the replica serves, with their versions.
    pub models: ServedModels,
    /// Revision of the replica's entry in the source.
    pub revision: u64,
    /// Whether the platform may preempt the replica at short notice.
    #[serde(default)]
    pub is_spot: bool,
    /// Time from the preemption notice until the replica is gone, in ms; `None` without a notice. A
    /// draining replica without a notice stops once its work is done.
    #[serde(default)]
    pub notice_ms: Option<u64>,
    /// Name of the region of the zone; `None` if the zone is unknown.
    #[serde(default, deserialize_with = "sharing::optional_name")]
    pub region: Option<Arc<str>>,
    /// Remaining warm-up time when the entry was written, in ms; 0 if the replica is warm. A
    /// replica warms up after its start and after a loss of its caches. The entry may be older than
    /// one heartbeat interval.
    #[serde(default)]
    pub warming_ms: u64,
    /// Life of the replica that wrote the entry.
    #[serde(default)]
    pub life: Life,
}

impl ReplicaInfo {
    /// Whether another entry of this replica has the same values in all fields that edges act on.
    /// Edges do not act on the models and their versions, the revision, `is_spot` and `notice_ms`.
    pub(crate) fn has_same_routing_state(&self, other: &Self) -> bool {
        self.life == other.life
            && self.service == other.service
            && self.address == other.address
            && self.zone == other.zone
            && self.region == other.region
            && self.warming_ms == other.warming_ms
            && self.slots == other.slots
            && self.draining == other.draining
    }

    /// Returns the version of a model that this replica serves, or `None` if it does not serve the
    /// model.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        self.models.version_of(model)
    }
}

/// A storage machine that is to be retired, so that its data moves to other machines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retirement {
    /// Name of the machine.
    pub machine: String,
    /// Time within which the retirement must be completed, in ms.
    pub within_ms: u64,
    /// Whether the entry records the retirement as begun.
    pub begun: bool,
    /// Whether the entry records the retirement as completed.
    pub completed: bool,
    /// Revision of the retirement's entry in the source.
    pub revision: u64,
}

/// Replicas by their ids. A copy shares the replicas, so it costs a pointer for each of them.
pub type Replicas = BTreeMap<Arc<str>, Arc<ReplicaInfo>>;

/// Returns replicas by their ids, which keys and entries share.
pub fn replicas_by_id(replicas: impl IntoIterator<Item = ReplicaInfo>) -> Arc<Replicas> {
    let replicas = replicas.into_iter().map(Arc::new);
    let replicas = replicas.map(|replica| (Arc::clone(&replica.id), replica));
    Arc::new(replicas.collect())
}

fn deserialize_replicas<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Arc<Replicas>, D::Error> {
    let replicas = BTreeMap::<String, ReplicaInfo>::deserialize(deserializer)?;
    Ok(replicas_by_id(replicas.into_values()))
}

/// The fleet as one process knows it. The source of its parts is the platform's store of entries.
/// Parts are reference-counted, so clones are cheap.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetView {
    /// Newest configuration; `None` if no configuration is known.
    pub configuration: Option<Arc<Configuration>>,
    /// Revision of the configuration.
    pub configuration_revision: u64,
    /// Replicas by their ids.
    #[serde(deserialize_with = "deserialize_replicas")]
    pub replicas: Arc<Replicas>,
    /// Revision of the source up to which `replicas` is complete.
    pub replicas_revision: u64,
    /// Newest version of the weights of each model.
    pub versions: Arc<BTreeMap<String, u64>>,
    /// Revision of the source up to which `versions` is complete.
    pub versions_revision: u64,
    /// Storage machines that are to be retired.
    pub retirements: Arc<BTreeMap<String, Retirement>>,
    /// Revision of the source up to which `retirements` is complete.
    pub retirements_revision: u64,
    /// Evacuated zones, whose replicas get no requests.
    #[serde(default)]
    pub evacuated: Arc<BTreeSet<Arc<str>>>,
    /// Revision of the source up to which `evacuated` is complete; 0 if evacuations are unknown.
    #[serde(default)]
    pub evacuated_revision: u64,
    /// Whether this process must know the evacuated zones before it sends requests. This is a
    /// setting of the process, which processes do not exchange.
    #[serde(skip)]
    pub must_know_evacuations: bool,
}

/// Replaces a part of a view if the other part has a higher revision. Returns whether it was
/// replaced.
pub(crate) fn replace_older<T: Clone>(own: (&mut T, &mut u64), other: (&T, u64)) -> bool {
    let (part, revision) = own;
    let (other_part, other_revision) = other;
    if other_revision <= *revision {
        return false;
    }
    part.clone_from(other_part);
    *revision = other_revision;
    true
}

impl FleetView {
    /// Adds or replaces a replica. Copies the map if it is shared.
    pub fn insert_replica(&mut self, replica: impl Into<Arc<ReplicaInfo>>) {
        let replica = replica.into();
        let replicas = Arc::make_mut(&mut self.replicas);
        replicas.insert(Arc::clone(&replica.id), replica);
    }

    /// Returns a replica to be changed, or `None` if it is unknown. Copies what is shared.
    pub fn replica_mut(&mut self, id: &str) -> Option<&mut ReplicaInfo> {
        let replica = Arc::make_mut(&mut self.replicas).get_mut(id)?;
        Some(Arc::make_mut(replica))
    }

    /// Returns all replicas to be changed. Copies what is shared.
    pub fn replicas_mut(&mut self) -> impl Iterator<Item = &mut ReplicaInfo> {
        let replicas = Arc::make_mut(&mut self.replicas).values_mut();
        replicas.map(Arc::make_mut)
    }

    /// Removes a replica. Copies the map if it is shared.
    pub fn remove_replica(&mut self, id: &str) {
        Arc::make_mut(&mut self.replicas).remove(id);
    }

    /// Returns a copy without replicas. A process that merges the copy keeps the replicas that it
    /// knows.
    pub fn without_replicas(&self) -> Self {
        Self {
            replicas: Arc::default(),
            replicas_revision: 0,
            ..self.clone()
        }
    }

    /// Replaces each part that has a higher revision in `other`. Returns whether any part was
    /// replaced.
    pub fn merge(&mut self, other: &Self) -> bool {
        let configuration = replace_older(
            (&mut self.configuration, &mut self.configuration_revision),
            (&other.configuration, other.configuration_revision),
        );
        let replicas = replace_older(
            (&mut self.replicas, &mut self.replicas_revision),
            (&other.replicas, other.replicas_revision),
        );
        let versions = replace_older(
            (&mut self.versions, &mut self.versions_revision),
            (&other.versions, other.versions_revision),
        );
        let retirements = replace_older(
            (&mut self.retirements, &mut self.retirements_revision),
            (&other.retirements, other.retirements_revision),
        );
        let evacuated = replace_older(
            (&mut self.evacuated, &mut self.evacuated_revision),
            (&other.evacuated, other.evacuated_revision),
        );
        configuration || replicas || versions || retirements || evacuated
    }

    /// Creates an empty view with the given setting; see [`FleetView::must_know_evacuations`].
    pub fn unknown(must_know_evacuations: bool) -> Self {
        Self {
            must_know_evacuations,
            ..Self::default()
        }
    }

    /// Whether the evacuated zones are known, or this process need not know them.
    pub fn knows_evacuations(&self) -> bool {
        !self.must_know_evacuations || self.evacuated_revision > 0
    }

    /// Returns a view that contains only the evacuated zones, so that merging it changes no other
    /// part.
    pub fn evacuations_only(&self) -> Self {
        Self {
            evacuated: Arc::clone(&self.evacuated),
            evacuated_revision: self.evacuated_revision,
            ..Self::default()
        }
    }

    /// Discards the evacuated zones. Returns whether they were known.
    pub fn forget_evacuations(&mut self) -> bool {
        self.evacuated = Arc::default();
        std::mem::take(&mut self.evacuated_revision) > 0
    }

    /// Whether a zone is evacuated, so that its replicas get no requests.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains(zone)
    }

    /// Whether the configuration defines a service. While no configuration is known, every service
    /// counts as defined. Replicas of other services do not belong to this deployment and are not
    /// used.
    pub fn defines_service(&self, service: &str) -> bool {
        let configuration = self.configuration.as_ref();
        configuration.is_none_or(|known| known.service(service).is_some())
    }

    /// Whether a replica accepts work: it is not draining, its service is defined, and its zone is
    /// not known to be evacuated. Callers check [`FleetView::knows_evacuations`] separately.
    pub fn takes_work(&self, replica: &ReplicaInfo) -> bool {
        !replica.draining
            && self.defines_service(&replica.service)
            && !self.is_evacuated(&replica.zone)
    }

    /// Returns the replicas of a service that accept work.
    pub fn replicas_taking_work<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a ReplicaInfo> {
        let undrained = self.undrained_replicas(service);
        undrained.filter(|replica| !self.is_evacuated(&replica.zone))
    }

    /// Returns the limits on replicas of a service while they warm up, or `None` if the service has
    /// no such limits or is unknown.
    pub fn warm_up_of(&self, service: &str) -> Option<WarmUp> {
        let configuration = self.configuration.as_ref()?;
        configuration.service(service)?.warm_up
    }

    /// Whether both views contain a replica, in the same life and with the same remaining warm-up
    /// time and the same limits.
    pub fn has_same_warm_up(&self, other: &Self, replica: &str) -> bool {
        let own = self.replicas.get(replica);
        let others = other.replicas.get(replica);
        own.zip(others).is_some_and(|(own, others)| {
            own.life == others.life
                && own.warming_ms == others.warming_ms
                && self.warm_up_of(&own.service) == other.warm_up_of(&own.service)
        })
    }

    /// Returns the replicas of a service that are not draining, including those in evacuated zones.
    pub fn undrained_replicas<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a ReplicaInfo> {
        let is_defined = self.defines_service(service);
        self.replicas
            .values()
            .map(|replica| &**replica)
            .filter(move |replica| is_defined && *replica.service == *service && !replica.draining)
    }
}
