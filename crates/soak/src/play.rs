//! Plays a schedule: starts everything, inflicts the faults, lets callers ask, heals, and
//! collects what was seen.

use crate::callers::{CALLER_LIMIT, Callers, Connections, ENDS, EdgeAddress, Job};
use crate::checks::{CONFIGURATION_TIME, ReplicaSeen, Seen, Written};
use crate::history::{History, Kind};
use crate::proxy::Proxy;
use crate::schedule::{
    Fault, LAST_CALM, Process, ROLL_PAUSE, Schedule, Trouble, Way, is_behind_proxy,
};
use brasspond_platform_standin::caller::{Caller, named_version, with_route};
use brasspond_platform_standin::ending::EndingReplica;
use brasspond_platform_standin::processes::{
    Cluster, Deployment, Machine, Size, configuration, parted,
};
use brasspond_platform_standin::{EVENTS, Store, StoreAddresses, event_data};
use bytes::Bytes;
use nix::sys::signal::Signal;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Pause between two looks at what is due.
const TICK: Duration = Duration::from_millis(20);
/// Pause between two configurations.
const CONFIGURATION_PAUSE: u64 = 4_000;
/// Pause between two versions of the weights.
const VERSION_PAUSE: u64 = 5_000;
/// Time that a process which was told to stop may take.
const GRACE: Duration = Duration::from_secs(8);
/// Time that a killed process is away where its fault does not say.
const RESTART_PAUSE: Duration = Duration::from_millis(300);
/// Callers at each address.
const CALLERS: [Connections; 2] = [Connections::Kept, Connections::New];
/// Time for the last reads of all jobs.
const LAST_READS: Duration = Duration::from_secs(10);

/// What a run took.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Peak {
    /// Processes at a time.
    pub processes: usize,
    /// Their memory together, in KB.
    pub memory_kb: u64,
}

/// A run that was played.
pub struct Played {
    /// What was seen.
    pub seen: Seen,
    /// What it took.
    pub peak: Peak,
}

/// One thing to do to a process, by its fault.
enum Step {
    Begin(Fault),
    End(Fault),
}

struct Run {
    schedule: Schedule,
    cluster: Cluster,
    plain: Vec<Arc<EndingReplica>>,
    engines: Vec<Arc<EndingReplica>>,
    edge_proxies: Vec<Proxy>,
    /// Proxies before some plain replicas and engines, by their places.
    plain_proxies: BTreeMap<usize, Proxy>,
    engine_proxies: BTreeMap<usize, Proxy>,
    store_proxies: StoreProxies,
    callers: Arc<Callers>,
    written: Vec<Written>,
    new_routes: Arc<Mutex<BTreeMap<String, u64>>>,
    peak: Peak,
    /// Machines that were killed or told to stop here, with when they start again.
    away: Vec<(Place, tokio::time::Instant)>,
    /// Edges that are told to stop in turn, with when.
    rolling: Vec<(u64, Place)>,
    ended_alone: Vec<String>,
    last_leader: usize,
}

struct StoreProxies {
    edges: Proxy,
    storage: Proxy,
}

/// A machine of the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Edge(usize),
    Storage(usize),
}

/// Plays a schedule; logs and reports go into `folder`. `tell` hears of each fault.
///
/// # Errors
/// A proxy has no port, or the logs cannot be kept.
pub async fn play(
    schedule: &Schedule,
    folder: &Path,
    tell: impl Fn(&str),
) -> std::io::Result<Played> {
    let mut run = Run::start(schedule).await?;
    let steps = steps_of(schedule);
    run.play(steps, &tell).await;
    run.finish().await;
    run.keep_logs(folder)?;
    Ok(run.collect())
}

/// Beginnings and ends of all faults in the order of time.
fn steps_of(schedule: &Schedule) -> Vec<(u64, Step)> {
    let begins = schedule
        .faults
        .iter()
        .map(|fault| (fault.at, Step::Begin(*fault)));
    let ends = schedule
        .faults
        .iter()
        .map(|fault| (fault.end(), Step::End(*fault)));
    let mut steps: Vec<(u64, Step)> = begins.chain(ends).collect();
    steps.sort_by_key(|(at, _)| *at);
    steps
}

impl Run {
    async fn start(schedule: &Schedule) -> std::io::Result<Self> {
        let (store, addresses) = Store::start().await;
        let store_proxies = StoreProxies {
            edges: Proxy::start(addresses.edges).await?,
            storage: Proxy::start(addresses.storage).await?,
        };
        let proxied = StoreAddresses {
            edges: store_proxies.edges.address,
            storage: store_proxies.storage.address,
        };
        let size = Size {
            edges: schedule.edges,
            storage: schedule.storage,
        };
        let first = configuration(1);
        let deployment = Deployment {
            region_of: Some(parted),
            ..Deployment::default()
        };
        let cluster = Cluster::start_deployed(first, store, proxied, size, deployment).await;
        let mut plain = Vec::new();
        let mut engines = Vec::new();
        let mut plain_proxies = BTreeMap::new();
        let mut engine_proxies = BTreeMap::new();
        let store = &cluster.store;
        for number in 0..schedule.replicas {
            let (replica, proxy) = start_replica(store, "plain", number).await?;
            plain.push(replica);
            plain_proxies.extend(proxy.map(|proxy| (number, proxy)));
            let (replica, proxy) = start_replica(store, "engines", number).await?;
            engines.push(replica);
            engine_proxies.extend(proxy.map(|proxy| (number, proxy)));
        }
        // What runs is to be counted: the cluster's own replicas leave.
        for id in ["plain-0", "engine-0", "engine-1"] {
            cluster.store.remove("servers", id);
        }
        let mut edge_proxies = Vec::new();
        let mut edges = Vec::new();
        for (edge, machine) in cluster.edges.iter().enumerate() {
            let proxy = Proxy::start(machine.front).await?;
            edges.push(EdgeAddress {
                edge,
                address: machine.front,
                is_proxied: false,
            });
            edges.push(EdgeAddress {
                edge,
                address: proxy.address,
                is_proxied: true,
            });
            edge_proxies.push(proxy);
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        let callers = Arc::new(Callers {
            history: Arc::new(History::default()),
            edges,
            is_over: AtomicBool::new(false),
            is_calm: AtomicBool::new(false),
            next: AtomicU64::new(1),
            newest_version: AtomicU64::new(1),
            seed: schedule.seed,
            jobs: Mutex::default(),
        });
        for to in callers.edges.clone() {
            for connections in CALLERS {
                tokio::spawn(Arc::clone(&callers).run_caller(to, connections));
            }
        }
        tokio::spawn(Arc::clone(&callers).run_trainer());
        tokio::spawn(Arc::clone(&callers).run_ending());
        Ok(Self {
            schedule: schedule.clone(),
            cluster,
            plain,
            engines,
            edge_proxies,
            plain_proxies,
            engine_proxies,
            store_proxies,
            callers,
            written: Vec::new(),
            new_routes: Arc::default(),
            peak: Peak::default(),
            away: Vec::new(),
            rolling: Vec::new(),
            ended_alone: Vec::new(),
            last_leader: 0,
        })
    }

    fn now(&self) -> u64 {
        self.callers.history.now()
    }

    async fn play(&mut self, steps: Vec<(u64, Step)>, tell: &impl Fn(&str)) {
        let mut steps = steps.into_iter().peekable();
        let mut next_configuration = CONFIGURATION_PAUSE;
        let mut next_version = VERSION_PAUSE;
        let last = self.schedule.length.saturating_sub(LAST_CALM);
        while self.now() < self.schedule.length {
            let now = self.now();
            while let Some((_, step)) = steps.next_if(|(at, _)| *at <= now) {
                match step {
                    Step::Begin(fault) => {
                        tell(&format!("{:>7} ms  {:?}", now, fault.trouble));
                        self.begin(&fault);
                    }
                    Step::End(fault) => self.end(&fault),
                }
            }
            self.roll();
            self.restart_those_due();
            self.look_for_ended();
            self.measure();
            if now >= next_configuration {
                next_configuration += CONFIGURATION_PAUSE;
                self.write_configuration();
            }
            if now >= next_version && now < last {
                next_version += VERSION_PAUSE;
                self.name_version();
            }
            if now >= last {
                self.callers.is_calm.store(true, Ordering::Relaxed);
            }
            tokio::time::sleep(TICK).await;
        }
    }

    fn machine(&mut self, place: Place) -> &mut Machine {
        match place {
            Place::Edge(number) => &mut self.cluster.edges[number],
            Place::Storage(number) => &mut self.cluster.storage[number],
        }
    }

    fn place(&mut self, process: Process) -> Place {
        match process {
            Process::Edge(number) => Place::Edge(number),
            Process::Storage(number) => Place::Storage(number),
            Process::Leader => Place::Storage(self.leader()),
        }
    }

    /// The storage process that leads; the one that last did, where all have just started.
    fn leader(&mut self) -> usize {
        if let Some((_, leader)) = self.cluster.leaderships().last() {
            self.last_leader = *leader;
        }
        self.last_leader
    }

    fn is_away(&self, place: Place) -> bool {
        self.away.iter().any(|(other, _)| *other == place)
    }

    fn begin(&mut self, fault: &Fault) {
        let lasting = Duration::from_millis(fault.lasting);
        match fault.trouble {
            Trouble::Freeze(process) => {
                let place = self.place(process);
                self.freeze(place, lasting);
            }
            Trouble::Kill(process) => {
                let place = self.place(process);
                self.kill(place, lasting);
            }
            Trouble::Terminate(process) => {
                let place = self.place(process);
                self.terminate(place);
            }
            Trouble::HangUp(process) => {
                let place = self.place(process);
                self.signal(place, Signal::SIGHUP);
            }
            Trouble::Roll => self.begin_roll(),
            Trouble::KillAll => {
                for place in self.places() {
                    self.kill(place, RESTART_PAUSE);
                }
            }
            Trouble::Wipe(number) => {
                let place = Place::Storage(number);
                self.kill(place, RESTART_PAUSE);
                self.machine(place).wipe();
            }
            Trouble::CutRegion(region) => {
                for place in self.places() {
                    if self.machine(place).region == region.name() {
                        self.freeze(place, lasting);
                    }
                }
            }
            Trouble::Harm(way, harm) => {
                if let Some(proxy) = self.proxy(way) {
                    proxy.harm(harm);
                }
            }
            Trouble::StoreDown => self.cluster.store.down.store(true, Ordering::Relaxed),
            Trouble::StoreSilent => self.cluster.store.silent.store(true, Ordering::Relaxed),
            Trouble::StoreRefuses => {
                let refuses = &self.cluster.store.refuses_storage;
                refuses.store(true, Ordering::Relaxed);
            }
            Trouble::StoreLoses(count) => self.cluster.store.loses.store(count, Ordering::Relaxed),
            Trouble::StoreSlow(ms) => self.cluster.store.slow_ms.store(ms, Ordering::Relaxed),
            Trouble::EndPlain(number) => self.plain[number].end(),
            Trouble::EndEngine(number) => self.engines[number].end(),
            Trouble::RebirthPlain(number) => self.plain[number].end_and_keep_id(),
            Trouble::RebirthEngine(number) => self.engines[number].end_and_keep_id(),
            Trouble::Configuration => self.write_configuration(),
            Trouble::MutePlain(number) => {
                self.present(number).silent.store(true, Ordering::Relaxed)
            }
            Trouble::BreakPlain(number) => {
                self.present(number).breaks.store(true, Ordering::Relaxed);
            }
            Trouble::FailPlain(number) => self.present(number).fails.store(true, Ordering::Relaxed),
            Trouble::SlowPlain(number, ms) => {
                let pause = Duration::from_millis(ms);
                *self.present(number).answers_after.lock().expect("lock") = pause;
            }
        }
    }

    fn end(&self, fault: &Fault) {
        match fault.trouble {
            Trouble::Harm(way, _) => {
                if let Some(proxy) = self.proxy(way) {
                    proxy.heal();
                }
            }
            Trouble::StoreDown => self.cluster.store.down.store(false, Ordering::Relaxed),
            Trouble::StoreSilent => self.cluster.store.silent.store(false, Ordering::Relaxed),
            Trouble::StoreRefuses => {
                let refuses = &self.cluster.store.refuses_storage;
                refuses.store(false, Ordering::Relaxed);
            }
            Trouble::StoreSlow(_) => self.cluster.store.slow_ms.store(0, Ordering::Relaxed),
            Trouble::MutePlain(number)
            | Trouble::BreakPlain(number)
            | Trouble::FailPlain(number)
            | Trouble::SlowPlain(number, _) => {
                let replica = self.present(number);
                replica.silent.store(false, Ordering::Relaxed);
                replica.breaks.store(false, Ordering::Relaxed);
                replica.fails.store(false, Ordering::Relaxed);
                *replica.answers_after.lock().expect("lock") = Duration::ZERO;
            }
            _ => {}
        }
    }

    fn present(&self, plain: usize) -> Arc<brasspond_platform_standin::Replica> {
        let lives = self.plain[plain].lives();
        Arc::clone(lives.last().expect("a first life"))
    }

    /// The proxy on a way; none: a file names a replica that is reached without one.
    fn proxy(&self, way: Way) -> Option<&Proxy> {
        match way {
            Way::Edge(number) => self.edge_proxies.get(number),
            Way::StoreOfEdges => Some(&self.store_proxies.edges),
            Way::StoreOfStorage => Some(&self.store_proxies.storage),
            Way::Plain(number) => self.plain_proxies.get(&number),
            Way::Engine(number) => self.engine_proxies.get(&number),
        }
    }

    fn places(&self) -> Vec<Place> {
        let edges = (0..self.cluster.edges.len()).map(Place::Edge);
        let storage = (0..self.cluster.storage.len()).map(Place::Storage);
        edges.chain(storage).collect()
    }

    /// Signals a process, also one that is about to stop.
    fn signal(&mut self, place: Place, signal: Signal) {
        if !self.machine(place).has_ended() {
            self.machine(place).signal(signal);
        }
    }

    fn freeze(&mut self, place: Place, lasting: Duration) {
        if self.machine(place).has_ended() {
            return;
        }
        self.signal(place, Signal::SIGSTOP);
        let Some(pid) = self.machine(place).pid() else {
            return;
        };
        tokio::spawn(async move {
            tokio::time::sleep(lasting).await;
            // It may have been killed meanwhile; its identity is not given again so soon.
            let pid = nix::unistd::Pid::from_raw(pid as i32);
            let _ = nix::sys::signal::kill(pid, Signal::SIGCONT);
        });
    }

    fn kill(&mut self, place: Place, lasting: Duration) {
        self.machine(place).kill();
        self.comes_back(place, lasting);
    }

    /// Starts again once it has stopped, or is killed after its grace.
    fn terminate(&mut self, place: Place) {
        self.signal(place, Signal::SIGTERM);
        if !self.is_away(place) {
            self.comes_back(place, GRACE);
        }
    }

    fn comes_back(&mut self, place: Place, after: Duration) {
        let at = tokio::time::Instant::now() + after;
        self.away.retain(|(other, _)| *other != place);
        self.away.push((place, at));
    }

    fn begin_roll(&mut self) {
        let mut at = self.now();
        for number in 0..self.cluster.edges.len() {
            self.rolling.push((at, Place::Edge(number)));
            at += ROLL_PAUSE;
        }
    }

    /// Tells those edges to stop whose turn it is.
    fn roll(&mut self) {
        let now = self.now();
        let rolling = std::mem::take(&mut self.rolling);
        let (due, later) = rolling.into_iter().partition(|(at, _)| *at <= now);
        self.rolling = later;
        let due: Vec<(u64, Place)> = due;
        for (_, place) in due {
            self.terminate(place);
        }
    }

    /// Starts those again whose time has come, or that stopped as they were told.
    fn restart_those_due(&mut self) {
        let now = tokio::time::Instant::now();
        let away = std::mem::take(&mut self.away);
        for (place, at) in away {
            let is_killed = self.machine(place).pid().is_none();
            let has_stopped = !is_killed && self.machine(place).has_ended();
            if now < at && !has_stopped {
                self.away.push((place, at));
                continue;
            }
            self.machine(place).kill();
            self.machine(place).start();
        }
    }

    /// Processes that ended though nobody told them to.
    fn look_for_ended(&mut self) {
        for place in self.places() {
            if !self.is_away(place) && self.machine(place).has_ended() {
                let name = self.machine(place).name.clone();
                self.ended_alone.push(name);
                self.comes_back(place, RESTART_PAUSE);
            }
        }
    }

    fn measure(&mut self) {
        let machines = self.cluster.edges.iter().chain(&self.cluster.storage);
        let pids: Vec<u32> = machines.filter_map(Machine::pid).collect();
        let memory = pids.iter().filter_map(|pid| memory_kb(*pid)).sum();
        self.peak.processes = self.peak.processes.max(pids.len());
        self.peak.memory_kb = self.peak.memory_kb.max(memory);
    }

    /// Writes a configuration with a route of its own, and asks for it at each edge later.
    fn write_configuration(&mut self) {
        let version = self.written.last().map_or(2, |last| last.version + 1);
        let prefix = format!("/new-{version}/");
        // The routes before it stay, so that each is to be served for good.
        let versions = 2..=version;
        let written = versions.fold(configuration(version), |all, version| {
            with_route(all, &format!("/new-{version}/"))
        });
        self.cluster.store.put("config", "main", written);
        self.written.push(Written {
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
                tokio::time::sleep(Duration::from_millis(CONFIGURATION_TIME)).await;
                let mut caller = Caller::new(to.address);
                let body = Bytes::from_static(b"new");
                let asked = callers.ask(&mut caller, to, Kind::NewRoute, &path, body);
                let (id, _) = asked.await;
                new_routes.lock().expect("lock").insert(id, version);
            });
        }
    }

    fn name_version(&mut self) {
        let version = self.callers.newest_version.load(Ordering::Relaxed) + 1;
        let named = named_version(version);
        self.cluster.store.put("versions", "model", named);
        self.callers
            .newest_version
            .store(version, Ordering::Relaxed);
    }

    /// Lets callers end and reads all jobs once more from the start.
    async fn finish(&mut self) {
        let jobs = self.callers.jobs.lock().expect("lock").clone();
        let reads = jobs.values().map(|job| self.callers.read_job(job));
        let all = futures::future::join_all(reads);
        // A job that cannot be read is found by the checks.
        let _ = tokio::time::timeout(LAST_READS, all).await;
        self.callers.is_over.store(true, Ordering::Relaxed);
        // Calls under way end before the processes do.
        tokio::time::sleep(CALLER_LIMIT).await;
        for place in self.places() {
            self.machine(place).kill();
        }
    }

    fn keep_logs(&self, folder: &Path) -> std::io::Result<()> {
        let logs = folder.join("logs");
        std::fs::create_dir_all(&logs)?;
        for entry in std::fs::read_dir(self.cluster.folder())? {
            let machine = entry?.path();
            let name = machine.file_name().unwrap_or_default().to_os_string();
            for file in std::fs::read_dir(&machine)? {
                let file = file?.path();
                if file.extension().is_some_and(|kind| kind == "log") {
                    let number = file.file_stem().unwrap_or_default().to_string_lossy();
                    let kept = format!("{}-{number}.log", name.to_string_lossy());
                    std::fs::copy(&file, logs.join(kept))?;
                }
            }
        }
        Ok(())
    }

    fn collect(self) -> Played {
        let jobs = self.callers.jobs.lock().expect("lock").clone();
        let items = || jobs.values().flat_map(|job| &job.plan.items);
        let texts = items().map(|item| (item.id.clone(), whole_text(&item.id)));
        let texts = texts.collect();
        let scores = items().map(|item| (item.id.clone(), item.score.clone()));
        let scores = scores.collect();
        let history = &self.callers.history;
        let plain = self.plain.iter().enumerate();
        let plain = plain.map(|(number, one)| (format!("plain-{number}"), one));
        let engines = self.engines.iter().enumerate();
        let engines = engines.map(|(number, one)| (format!("engine-{number}"), one));
        let all = plain.chain(engines);
        let replicas = all.map(|(name, one)| (name, seen_by(one, history)));
        let ends = self.callers.history.calls();
        let ends = ends.iter().filter(|call| call.kind == Kind::Ending);
        let ends = ends.map(|call| {
            self.plain
                .iter()
                .map(|one| one.runs_of(&call.id))
                .sum::<u32>()
        });
        let seen = Seen {
            ends: ends.sum::<u32>() as usize,
            calls: self.callers.history.calls(),
            pages: self.callers.history.pages(),
            job_ends: self.callers.history.ends(),
            scores,
            versions: jobs
                .iter()
                .map(|(id, job)| (id.clone(), job.oldest))
                .collect(),
            newest_version: self.callers.newest_version.load(Ordering::Relaxed),
            jobs: jobs
                .iter()
                .map(|(id, job)| (id.clone(), ids(job)))
                .collect(),
            texts,
            replicas: replicas.collect(),
            written: self.written,
            new_routes: self.new_routes.lock().expect("lock").clone(),
            ended_alone: self.ended_alone,
        };
        Played {
            seen,
            peak: self.peak,
        }
    }
}

/// Starts a replica of a service, some behind proxies.
async fn start_replica(
    store: &Arc<Store>,
    service: &'static str,
    number: usize,
) -> std::io::Result<(Arc<EndingReplica>, Option<Proxy>)> {
    let name = format!("soak-{service}-{number}");
    let listener = EndingReplica::listen().await;
    let address = listener.local_addr()?;
    let proxy = match is_behind_proxy(number) {
        true => Some(Proxy::start(address).await?),
        false => None,
    };
    let told = proxy.as_ref().map_or(address, |proxy| proxy.address);
    let replica = EndingReplica::start_at(store, service, &name, ENDS, listener, told);
    Ok((replica, proxy))
}

fn ids(job: &Job) -> Vec<String> {
    let items = job.plan.items.iter();
    items.map(|item| item.id.clone()).collect()
}

fn seen_by(replica: &EndingReplica, history: &History) -> ReplicaSeen {
    let mut seen = ReplicaSeen::default();
    for life in replica.lives() {
        for (id, runs) in &*life.runs.lock().expect("lock") {
            *seen.runs.entry(id.clone()).or_default() += runs;
        }
        seen.orders.push(life.orders.lock().expect("lock").clone());
        let arrivals = life.named_arrivals().into_iter();
        let arrivals = arrivals.map(|one| (one.id, history.time_of(one.at)));
        seen.arrivals.extend(arrivals);
        for (id, at) in &*life.whole_at.lock().expect("lock") {
            let at = history.time_of(*at);
            let first = seen.whole_at.entry(id.clone()).or_insert(at);
            *first = at.min(*first);
        }
    }
    seen
}

/// The text that an item must have.
fn whole_text(id: &str) -> String {
    let events: Vec<String> = (1..=EVENTS).map(|number| event_data(id, number)).collect();
    events.join("\n")
}

/// Memory of a process, in KB; none where it has ended.
fn memory_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_ascii_whitespace().nth(1)?.parse().ok()
}
