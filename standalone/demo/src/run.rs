//! Runs the demonstration: starts the system, injects faults and collects the report.

use crate::cluster::{Cluster, GROUPS, Group, resources};
use crate::fleet::{ANY_PORT, Fleet};
use crate::report::{Report, Share};
use crate::services::{self, RunningService, call_services};
use crate::trainer::{Plan, Trainer, TrainerRecord};
use brasspond_node::StartError;
use brasspond_standin::{FaultSchedule, StoreServer, WeightServer};
use brasspond_types::{ModelName, WeightVersion, total_tokens};
use displaydoc::Display;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Number of engines.
const ENGINES: usize = 9;
/// Number of nodes.
const NODES: usize = 3;
/// Time limit for all nodes to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit from the start of the demonstration until all trainers finish.
const RUN_TIMEOUT: Duration = Duration::from_secs(55);
/// Delay between the kill of a node and the start of its replacement.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(500);

/// Options of the demonstration.
#[derive(Clone, Copy, Debug)]
pub struct DemoOptions {
    /// Seed of the engines and of the choice and times of the faults.
    pub seed: u64,
    /// Number of steps per trainer.
    pub steps: u64,
}

/// Reason why the demonstration did not complete.
#[derive(Debug, Display)]
pub enum DemoError {
    /// setup or fault injection failed: {0}
    StandIn(std::io::Error),
    /// a node cannot start: {0}
    Node(StartError),
    /// the nodes did not become ready in time
    NotReady,
    /// a trainer failed or did not finish in time
    NotFinished,
}

impl std::error::Error for DemoError {}

/// Runs the demonstration and returns its report. `progress` receives one line per stage.
///
/// # Errors
/// Fails if a component cannot start, a node cannot be killed, the nodes do not become ready in
/// time, or a trainer panics or does not finish in time.
pub async fn run(options: DemoOptions, progress: impl Fn(&str)) -> Result<Report, DemoError> {
    let begun = Instant::now();
    let folder = tempfile::tempdir().map_err(DemoError::StandIn)?;
    let stand_ins = StandIns::start(options.seed)
        .await
        .map_err(DemoError::StandIn)?;
    let address = stand_ins.store_address;
    let mut cluster = Cluster::new(address, folder.path()).map_err(DemoError::StandIn)?;
    for _ in 0..NODES {
        cluster = start_node(cluster).await?;
    }
    wait_until_ready(&cluster).await?;
    progress(&format!(
        "{NODES} nodes ready, {ENGINES} engines, {:.1} s",
        begun.elapsed().as_secs_f64()
    ));

    let (stop, stopped) = watch::channel(false);
    let caller = tokio::spawn(call_services(cluster.addresses(), stopped));
    let trainers: Vec<_> = GROUPS
        .iter()
        .map(|group| {
            let trainer = Trainer::new(plan(*group, options.steps), cluster.addresses());
            tokio::spawn(trainer.run())
        })
        .collect();
    cluster = inject_faults(cluster, &stand_ins.fleet, options.seed, &progress).await?;

    let mut records: Vec<TrainerRecord> = Vec::new();
    for trainer in trainers {
        let left = RUN_TIMEOUT.saturating_sub(begun.elapsed());
        let ended = tokio::time::timeout(left, trainer).await;
        let record = ended.map_err(|_| DemoError::NotFinished)?;
        records.push(record.map_err(|_| DemoError::NotFinished)?);
        progress(&format!(
            "a trainer finished, {:.1} s",
            begun.elapsed().as_secs_f64()
        ));
    }
    // The send fails only if the caller task has already ended. If that task panicked, its record
    // is the default one, which contains no calls.
    let _ = stop.send(true);
    let calls = caller.await.unwrap_or_default();
    // A panic while the nodes stop does not affect the report.
    let _ = tokio::task::spawn_blocking(move || cluster.stop()).await;

    let mut report = Report {
        seed: options.seed,
        ..Report::default()
    };
    for (group, record) in GROUPS.iter().zip(&records) {
        report.add_trainer(group.name, record);
    }
    report.share = stand_ins.shares();
    report.add_services(&calls, &stand_ins.executions_per_loan());
    report.seconds = begun.elapsed().as_secs_f64();
    Ok(report)
}

fn plan(group: Group, steps: u64) -> Plan {
    Plan {
        group,
        steps,
        samples_per_prompt: 8,
        max_tokens: 600,
        training_time: Duration::from_millis(2_000),
    }
}

async fn start_node(mut cluster: Cluster) -> Result<Cluster, DemoError> {
    let started = tokio::task::spawn_blocking(move || cluster.start().map(|()| cluster)).await;
    let started = started.map_err(|error| DemoError::StandIn(std::io::Error::other(error)))?;
    started.map_err(DemoError::Node)
}

async fn wait_until_ready(cluster: &Cluster) -> Result<(), DemoError> {
    let until = Instant::now() + READY_TIMEOUT;
    while !cluster.is_ready() {
        if Instant::now() > until {
            return Err(DemoError::NotReady);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Crashes a random engine, then kills a random node and starts a replacement.
async fn inject_faults(
    cluster: Cluster,
    fleet: &Fleet,
    seed: u64,
    progress: &impl Fn(&str),
) -> Result<Cluster, DemoError> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut cluster = cluster;
    tokio::time::sleep(Duration::from_millis(random.random_range(1_500..3_000))).await;
    let engine = random.random_range(0..ENGINES);
    fleet.crash(engine);
    progress(&format!("engine-{engine} crashed"));
    tokio::time::sleep(Duration::from_millis(random.random_range(1_000..3_000))).await;
    let node = random.random_range(0..NODES);
    let killed = tokio::task::spawn_blocking(move || {
        cluster.kill(node);
        cluster
    });
    cluster = killed
        .await
        .map_err(|error| DemoError::StandIn(std::io::Error::other(error)))?;
    progress(&format!("node-{node} killed"));
    tokio::time::sleep(REPLACEMENT_DELAY).await;
    cluster = start_node(cluster).await?;
    progress(&format!("node-{NODES} started in its place"));
    Ok(cluster)
}

/// Stand-ins for everything outside the nodes: stores, engines and services.
struct StandIns {
    store_address: std::net::SocketAddr,
    fleet: Fleet,
    lending: RunningService,
    _lookup: RunningService,
    _stop: watch::Sender<bool>,
}

impl StandIns {
    async fn start(seed: u64) -> std::io::Result<Self> {
        let (stop, stopped) = watch::channel(false);
        let store = StoreServer::new(FaultSchedule::default());
        let listener = TcpListener::bind(ANY_PORT).await?;
        let store_address = listener.local_addr()?;
        tokio::spawn(Arc::clone(&store).run(listener, stopped.clone()));
        let weights = WeightServer::new(3, Duration::from_millis(400));
        let listener = TcpListener::bind(ANY_PORT).await?;
        let weights_address = listener.local_addr()?;
        tokio::spawn(weights.run(listener, stopped));
        let lending = services::start("lending", Duration::from_millis(3)).await?;
        let lookup = services::start("look-up", Duration::from_millis(1)).await?;
        let initial_resources = resources(&[
            ("lending", "/loans", lending.addresses.clone()),
            ("look-up", "/lookup", lookup.addresses.clone()),
        ]);
        for object in initial_resources {
            store.put(object);
        }
        let versions = GROUPS
            .iter()
            .map(|group| (ModelName::new(group.model), WeightVersion(1)));
        let models: BTreeMap<ModelName, WeightVersion> = versions.collect();
        let fleet = Fleet::start(ENGINES, seed, &models, weights_address, store).await?;
        Ok(Self {
            store_address,
            fleet,
            lending,
            _lookup: lookup,
            _stop: stop,
        })
    }

    /// Declared and received share of each group. The received share is its fraction of all
    /// generated tokens.
    fn shares(&self) -> BTreeMap<String, Share> {
        let total_share: f64 = GROUPS.iter().map(|group| group.share).sum();
        let mut tokens: BTreeMap<&str, u64> = BTreeMap::new();
        for group in GROUPS {
            let prompts: Vec<String> = serde_json::from_str(group.prompts).unwrap_or_default();
            let prompts: BTreeSet<&str> = prompts.iter().map(String::as_str).collect();
            let records = self
                .fleet
                .engines
                .iter()
                .flat_map(|engine| engine.server.records());
            let own = records.filter(|record| prompts.contains(&*record.prompt));
            tokens.insert(
                group.name,
                own.map(|record| total_tokens(&record.spans)).sum(),
            );
        }
        let all: u64 = tokens.values().sum();
        let share = |group: &crate::cluster::Group| Share {
            declared: group.share / total_share,
            received: tokens[group.name] as f64 / all.max(1) as f64,
        };
        GROUPS
            .iter()
            .map(|group| (group.name.to_owned(), share(group)))
            .collect()
    }

    /// Number of executions of each loan, summed over all replicas.
    fn executions_per_loan(&self) -> BTreeMap<String, u32> {
        let mut executions = BTreeMap::new();
        for server in &self.lending.servers {
            for (loan, count) in server.record().runs {
                *executions.entry(loan).or_default() += count;
            }
        }
        executions
    }
}
