//! Stand-in engines of the demonstration.

use crate::tokens::object;
use brasspond_emulator::{EngineParameters, LengthDistribution};
use brasspond_resource::{Kind, MachineRole, MachineSpec, ObjectKey, Spec};
use brasspond_standin::{EngineServer, EngineSettings, FaultSchedule, StoreServer};
use brasspond_types::{EngineName, Locality, ModelName, WeightVersion};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Zones of the demonstration.
pub(crate) const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Region of the demonstration.
pub(crate) const REGION: &str = "region-1";
/// Loopback address with a port chosen by the operating system.
pub(crate) const ANY_PORT: &str = "127.0.0.1:0";
/// Delay until a crashed engine disappears from the platform's machine list.
const LISTING_DELAY: Duration = Duration::from_secs(3);

/// A running engine, with the handles that stop it.
pub(crate) struct EngineHandle {
    pub(crate) name: EngineName,
    pub(crate) server: Arc<EngineServer>,
    stop: watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

/// All engines, and the object store that lists them.
pub(crate) struct Fleet {
    pub(crate) engines: Vec<EngineHandle>,
    store: Arc<StoreServer>,
}

fn parameters() -> EngineParameters {
    EngineParameters {
        max_running: 16,
        step_base: Duration::from_millis(6),
        report_lag: Duration::from_millis(100),
        swap_pause: Duration::from_millis(30),
        swap_failure: 0.05,
        lengths: LengthDistribution {
            median: 110.0,
            prompt_sigma: 0.5,
            sample_sigma: 0.4,
        },
        ..EngineParameters::default()
    }
}

impl Fleet {
    /// Starts `count` engines and adds them to the platform's machine list.
    pub(crate) async fn start(
        count: usize,
        seed: u64,
        models: &BTreeMap<ModelName, WeightVersion>,
        weight_store: SocketAddr,
        store: Arc<StoreServer>,
    ) -> std::io::Result<Self> {
        let mut engines = Vec::new();
        for index in 0..count {
            let name = EngineName::new(format!("engine-{index}"));
            let listener = TcpListener::bind(ANY_PORT).await?;
            let address = listener.local_addr()?;
            let server = EngineServer::new(EngineSettings {
                name: name.clone(),
                parameters: parameters(),
                seed: seed.wrapping_mul(1_000).wrapping_add(index as u64),
                models: models.clone(),
                weight_store,
                upload_slots: 4,
                upload_time: Duration::from_millis(300),
                tick: Duration::from_millis(10),
                faults: FaultSchedule::default(),
            });
            let (stop, stopped) = watch::channel(false);
            let task = tokio::spawn(Arc::clone(&server).run(listener, stopped));
            let zone = ZONES[index % ZONES.len()];
            let machine = MachineSpec {
                role: MachineRole::Engine,
                address,
                locality: Locality::new(REGION, zone),
                pool: Some("shared".to_owned()),
                leaving: false,
            };
            store.put(object(name.as_str(), Spec::Machine(machine)));
            engines.push(EngineHandle {
                name,
                server,
                stop,
                task,
            });
        }
        Ok(Self { engines, store })
    }

    /// Crashes an engine. The machine list drops it after [`LISTING_DELAY`].
    pub(crate) fn crash(&self, index: usize) {
        let Some(engine) = self.engines.get(index) else {
            return;
        };
        engine.task.abort();
        engine.server.crash();
        let _ = engine.stop.send(true);
        let store = Arc::clone(&self.store);
        let key = ObjectKey {
            kind: Kind::Machine,
            name: engine.name.as_str().to_owned(),
        };
        tokio::spawn(async move {
            tokio::time::sleep(LISTING_DELAY).await;
            store.remove(&key);
        });
    }
}
