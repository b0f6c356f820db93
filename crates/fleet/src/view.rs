//! The newest known state of configuration, replicas, versions, retirements.

use crate::configuration::{Configuration, WarmUp};
use crate::life::Life;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// A model as a replica serves it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedModel {
    /// Name of the model.
    pub name: String,
    /// Version of its weights.
    pub version: u64,
}

/// A replica of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaInfo {
    /// Its id, the same in all its lives.
    pub id: String,
    /// Service it answers for.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests at once.
    pub slots: u32,
    /// Gets no new work.
    pub draining: bool,
    /// Weights it holds.
    pub models: Vec<ServedModel>,
    /// Revision of its entry.
    pub revision: u64,
    /// It may be taken away at short notice.
    #[serde(default)]
    pub is_spot: bool,
    /// Time from its notice until it is gone, in ms; none: it leaves once its work is
    /// done, or not at all.
    #[serde(default)]
    pub notice_ms: Option<u64>,
    /// Region of its zone; none: the zone is unknown.
    #[serde(default)]
    pub region: Option<Arc<str>>,
    /// Time for which it warms up, counted from its start or from a loss of its caches, as
    /// its entry has it, in ms; 0: it is warm. The entry may be older than a heartbeat.
    #[serde(default)]
    pub warming_ms: u64,
    /// The life that wrote its entry.
    #[serde(default)]
    pub life: Life,
}

impl ReplicaInfo {
    /// Whether another entry of this replica says the same of where work may go:
    /// all but the weights it holds, which change with every load.
    pub fn takes_work_like(&self, other: &Self) -> bool {
        self.life == other.life
            && self.service == other.service
            && self.address == other.address
            && self.zone == other.zone
            && self.region == other.region
            && self.warming_ms == other.warming_ms
            && self.slots == other.slots
            && self.draining == other.draining
    }

    /// Version of a model that this replica holds.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        let served = self.models.iter().find(|served| served.name == model)?;
        Some(served.version)
    }
}

/// A storage machine that is to be emptied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retirement {
    /// Name of the machine.
    pub machine: String,
    /// Time it may take, in ms.
    pub within_ms: u64,
    /// Whether it is recorded as begun.
    pub begun: bool,
    /// Whether it is recorded as done.
    pub completed: bool,
    /// Revision of its entry.
    pub revision: u64,
}

/// All of it. Parts are shared, so that a copy is cheap.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetView {
    /// Newest configuration; none before the first is known.
    pub configuration: Option<Arc<Configuration>>,
    /// Revision of the configuration.
    pub configuration_revision: u64,
    /// Replicas by identity.
    pub replicas: Arc<BTreeMap<String, ReplicaInfo>>,
    /// Revision up to which `replicas` is true.
    pub replicas_revision: u64,
    /// Newest version named for each model.
    pub versions: Arc<BTreeMap<String, u64>>,
    /// Revision up to which `versions` is true.
    pub versions_revision: u64,
    /// Storage machines to be emptied.
    pub retirements: Arc<BTreeMap<String, Retirement>>,
    /// Revision up to which `retirements` is true.
    pub retirements_revision: u64,
    /// Zones whose replicas are to be sent nothing.
    #[serde(default)]
    pub evacuated: Arc<BTreeSet<Arc<str>>>,
    /// Revision up to which `evacuated` is true; 0: nothing is known of it.
    #[serde(default)]
    pub evacuated_revision: u64,
    /// Whether this process sends nothing before it knows which zones are evacuated: its own
    /// setting, neither told to others nor taken from them.
    #[serde(skip)]
    pub needs_evacuated: bool,
}

impl FleetView {
    /// Takes from `other` each part that is newer. Returns whether anything
    /// changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut changed = false;
        if other.configuration_revision > self.configuration_revision {
            self.configuration = other.configuration.clone();
            self.configuration_revision = other.configuration_revision;
            changed = true;
        }
        if other.replicas_revision > self.replicas_revision {
            self.replicas = Arc::clone(&other.replicas);
            self.replicas_revision = other.replicas_revision;
            changed = true;
        }
        if other.versions_revision > self.versions_revision {
            self.versions = Arc::clone(&other.versions);
            self.versions_revision = other.versions_revision;
            changed = true;
        }
        if other.retirements_revision > self.retirements_revision {
            self.retirements = Arc::clone(&other.retirements);
            self.retirements_revision = other.retirements_revision;
            changed = true;
        }
        if other.evacuated_revision > self.evacuated_revision {
            self.evacuated = Arc::clone(&other.evacuated);
            self.evacuated_revision = other.evacuated_revision;
            changed = true;
        }
        changed
    }

    /// A view of a process that knows nothing yet; see [`FleetView::needs_evacuated`].
    pub fn unknown(needs_evacuated: bool) -> Self {
        Self {
            needs_evacuated,
            ..Self::default()
        }
    }

    /// Whether it is known which zones are evacuated, as far as that matters here.
    pub fn knows_evacuated(&self) -> bool {
        !self.needs_evacuated || self.evacuated_revision > 0
    }

    /// What is known of evacuated zones and nothing else: merged elsewhere, it changes
    /// nothing else there.
    pub fn evacuated_part(&self) -> Self {
        Self {
            evacuated: Arc::clone(&self.evacuated),
            evacuated_revision: self.evacuated_revision,
            ..Self::default()
        }
    }

    /// Drops what is known of evacuated zones. True: there was something.
    pub fn forget_evacuated(&mut self) -> bool {
        self.evacuated = Arc::default();
        std::mem::take(&mut self.evacuated_revision) > 0
    }

    /// Whether a zone's replicas are to be sent nothing.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains(zone)
    }

    /// Whether a service is named by the configuration; before one is known, no route leads
    /// anywhere, and all are. A replica of another service is none to use: whoever wrote its
    /// entry is no replica of ours.
    pub fn names_service(&self, service: &str) -> bool {
        let configuration = self.configuration.as_ref();
        configuration.is_none_or(|known| known.service(service).is_some())
    }

    /// Whether a replica takes work: it does not leave, its service is named, and its zone is
    /// not known to be evacuated. Whether that is known at all is
    /// [`FleetView::knows_evacuated`].
    pub fn takes_work(&self, replica: &ReplicaInfo) -> bool {
        !replica.draining
            && self.names_service(&replica.service)
            && !self.is_evacuated(&replica.zone)
    }

    /// Replicas of a service that take work.
    pub fn working_replicas<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a ReplicaInfo> {
        let ready = self.ready_replicas(service);
        ready.filter(|replica| !self.is_evacuated(&replica.zone))
    }

    /// What replicas of a service bear while they warm up; none: all that they bear later,
    /// or the service is unknown.
    pub fn warm_up_of(&self, service: &str) -> Option<WarmUp> {
        let configuration = self.configuration.as_ref()?;
        configuration.service(service)?.warm_up
    }

    /// Whether another view tells the same of a replica's warming up: its life, its entry and
    /// what its service bears. A view that lacks the replica tells nothing.
    pub fn tells_warming_like(&self, other: &Self, replica: &str) -> bool {
        let own = self.replicas.get(replica);
        let others = other.replicas.get(replica);
        own.zip(others).is_some_and(|(own, others)| {
            own.life == others.life
                && own.warming_ms == others.warming_ms
                && self.warm_up_of(&own.service) == other.warm_up_of(&own.service)
        })
    }

    /// Replicas of a service that do not leave, those of evacuated zones among them.
    pub fn ready_replicas<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a ReplicaInfo> {
        let is_named = self.names_service(service);
        self.replicas
            .values()
            .filter(move |replica| is_named && replica.service == service && !replica.draining)
    }
}
