//! Nodes of the demonstration, and the initial resources.

use crate::fleet::{ANY_PORT, REGION, ZONES};
use crate::tokens::{caller, object};
use brasspond_control::Parameters;
use brasspond_node::{Node, StartError};
use brasspond_resource::{
    Backend, EnginePoolSpec, GroupLimits, ModelSpec, Object, ResearchGroupSpec, Role, ServiceSpec,
    Spec, SwapPolicy, WeightVersionSpec,
};
use brasspond_settings::{HttpLimits, Settings};
use brasspond_types::{GroupName, Locality, ModelName, WeightVersion};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, PoisonError, RwLock};

/// A research group of the demonstration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Group {
    pub(crate) name: &'static str,
    pub(crate) model: &'static str,
    pub(crate) share: f64,
    pub(crate) max_staleness: u64,
    pub(crate) prompts: &'static str,
}

/// The two groups, with unequal shares.
pub(crate) const GROUPS: [Group; 2] = [
    Group {
        name: "cardiff",
        model: "blurbs",
        share: 2.0,
        max_staleness: 2,
        prompts: include_str!("../data/catalogue.json"),
    },
    Group {
        name: "riga",
        model: "addresses",
        share: 1.0,
        max_staleness: 1,
        prompts: include_str!("../data/addresses.json"),
    },
];

/// Initial resources of the demonstration. Each entry of `services` is a name, a route and the
/// addresses of its replicas.
pub(crate) fn resources(services: &[(&str, &str, Vec<SocketAddr>)]) -> Vec<Object> {
    let mut objects = vec![
        caller("operator", Role::Operator, None),
        caller("library-app", Role::Application, None),
    ];
    for group in GROUPS {
        let trainer = format!("{}-trainer", group.name);
        objects.push(caller(&trainer, Role::Trainer, Some(group.name)));
        let spec = ResearchGroupSpec {
            share: group.share,
            models: [ModelName::new(group.model)].into(),
            max_staleness: group.max_staleness,
            swap_policy: SwapPolicy::MidStream,
            limits: GroupLimits::default(),
            trainer,
        };
        objects.push(object(group.name, Spec::ResearchGroup(spec)));
        let model = ModelSpec {
            group: GroupName::new(group.name),
            max_tokens: 4_096,
        };
        objects.push(object(group.model, Spec::Model(model)));
        objects.push(weight_version(group.model, 1));
    }
    let pool = EnginePoolSpec {
        models: [].into(),
        queue_bound: 4_096,
    };
    objects.push(object("shared", Spec::EnginePool(pool)));
    for (name, route, addresses) in services {
        let backends = addresses
            .iter()
            .enumerate()
            .map(|(index, address)| Backend {
                name: format!("{name}-{index}"),
                address: *address,
                locality: Locality::new(REGION, ZONES[index % ZONES.len()]),
            });
        let spec = ServiceSpec {
            routes: vec![(*route).to_owned()],
            backends: backends.collect(),
            repeatable_methods: ["GET", "HEAD"].into_iter().map(str::to_owned).collect(),
            timeout_milliseconds: 5_000,
            max_concurrency: 256,
        };
        objects.push(object(name, Spec::Service(spec)));
    }
    objects
}

/// Builds the resource that publishes a version of a model.
pub(crate) fn weight_version(model: &str, version: u64) -> Object {
    let spec = WeightVersionSpec {
        model: ModelName::new(model),
        version: WeightVersion(version),
        megabytes: 500,
    };
    object(&format!("{model}-{version}"), Spec::WeightVersion(spec))
}

/// The nodes of the demonstration. A killed node leaves an empty entry.
pub(crate) struct Cluster {
    nodes: Vec<Option<Node>>,
    addresses: Arc<RwLock<Vec<SocketAddr>>>,
    seeds: Vec<SocketAddr>,
    store: SocketAddr,
    key_file: std::path::PathBuf,
}

impl Cluster {
    /// Creates a cluster without nodes that uses `store`, and writes its peer key to `folder`.
    pub(crate) fn new(store: SocketAddr, folder: &Path) -> std::io::Result<Self> {
        let key_file = folder.join("peer.key");
        let key: [u8; 32] = rand::random();
        std::fs::write(&key_file, blake3::hash(&key).to_hex().as_str())?;
        Ok(Self {
            nodes: Vec::new(),
            addresses: Arc::default(),
            seeds: Vec::new(),
            store,
            key_file,
        })
    }

    /// HTTP addresses of the running nodes. The shared list changes as nodes start and stop.
    pub(crate) fn addresses(&self) -> Arc<RwLock<Vec<SocketAddr>>> {
        Arc::clone(&self.addresses)
    }

    /// Starts another node.
    pub(crate) fn start(&mut self) -> Result<(), StartError> {
        let index = self.nodes.len();
        let any_port = ANY_PORT.parse().map_err(|error| {
            StartError::Bind(std::io::Error::new(std::io::ErrorKind::InvalidInput, error))
        });
        let any_port: SocketAddr = any_port?;
        let settings = Settings {
            name: format!("node-{index}"),
            locality: Locality::new(REGION, ZONES[index % ZONES.len()]),
            http: any_port,
            peers: any_port,
            seeds: self.seeds.clone(),
            store: self.store,
            data_folder: None,
            key_files: vec![self.key_file.clone()],
            log_file: None,
            log_level: "info".to_owned(),
            limits: HttpLimits::default(),
        };
        let node = Node::start(&settings, Parameters::default())?;
        self.seeds.push(node.peers_address());
        self.lock_addresses().push(node.http_address());
        self.nodes.push(Some(node));
        Ok(())
    }

    fn lock_addresses(&self) -> std::sync::RwLockWriteGuard<'_, Vec<SocketAddr>> {
        self.addresses
            .write()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether all running nodes are ready for requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.nodes.iter().flatten().all(Node::is_ready)
    }

    /// Kills a node without draining it and removes its address.
    pub(crate) fn kill(&mut self, index: usize) {
        if let Some(node) = self.nodes.get_mut(index).and_then(Option::take) {
            let address = node.http_address();
            node.kill();
            self.lock_addresses().retain(|known| *known != address);
        }
    }

    /// Kills all nodes.
    pub(crate) fn stop(&mut self) {
        for node in self.nodes.drain(..).flatten() {
            node.kill();
        }
    }
}
