//! The world: everything that happens, in order of time.

use crate::actions::Watcher;
use crate::callers::Callers;
use crate::clients::{Clients, Origin, RequestKey};
use crate::config::WorldConfig;
use crate::engines::SimEngine;
use crate::faults::{Fault, FaultKind};
use crate::meter::Meter;
use crate::network::Network;
use crate::operators::Operators;
use crate::oracle::Oracle;
use crate::platform::Platform;
use crate::queue::Queue;
use crate::trainers::SimTrainer;
use brasspond_control::{AttemptId, Control, Event, Reply, RequestId, StoreCall};
use brasspond_emulator::{Engine, WeightStore};
use brasspond_engine_api::{AttemptUpdate, EngineCall};
use brasspond_membership::{Instance, Member, MemberState};
use brasspond_protocol::{Envelope, KEY_BYTES, Sealer};
use brasspond_resource::{
    Catalogue, GroupLimits, Kind, MachineRole, MachineSpec, Metadata, ModelSpec, Object, ObjectKey,
    ResearchGroupSpec, Spec, WeightVersionSpec,
};
use brasspond_rollout::Partial;
use brasspond_types::{EngineName, GroupName, ModelName, NodeName, Timestamp, WeightVersion};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time until the platform's list shows what happened to a machine.
const LIST_LAG: Duration = Duration::from_secs(1);
/// Time after which a drained node or an engine that left comes back.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// Time a leaving engine stays at least.
const LEAVING_TIME: Duration = Duration::from_secs(5);

/// Something that happens.
pub(crate) enum Happening {
    NodeTick(usize, u64),
    NodeEvent(usize, u64, Box<Event>),
    Arrives(usize, Box<Envelope>),
    Submit(
        usize,
        (usize, u64, AttemptId),
        Option<RequestId>,
        Box<EngineCall>,
    ),
    EngineWake(usize, Timestamp),
    StoreCalled(usize, u64, Box<StoreCall>),
    WatchEnds(u64),
    ClientAnswer(Origin, Option<Box<(Reply, Option<Partial>)>>),
    TrainerTick(usize),
    CallerArrives,
    LoanArrives,
    LoanRetry(u64),
    ServiceRuns(RequestKey, u64),
    OperatorTick,
    FaultBegins(Fault),
    FaultEnds(Fault),
    NodeReturns(usize),
    EngineReturns(usize),
    EngineLeft(usize),
    MachineListed(usize, Option<bool>),
}

/// A node process, or the machine without one.
pub(crate) struct SimNode {
    control: Option<Control>,
    instance: u64,
    pub(crate) zone: usize,
    name: NodeName,
    address: SocketAddr,
    paused: bool,
    backlog: Vec<Event>,
    pub(crate) has_disk: bool,
    pub(crate) disk: Option<Arc<Catalogue>>,
    pub(crate) attempt_requests: BTreeMap<AttemptId, RequestId>,
    pub(crate) meter: Meter,
    incarnation: u64,
    draining: bool,
}

impl SimNode {
    pub(crate) fn control(&self) -> Option<&Control> {
        self.control.as_ref()
    }

    /// The process, if one runs.
    pub(crate) fn instance(&self) -> Option<u64> {
        self.control.as_ref().map(|_| self.instance)
    }
}

/// A simulated fleet with its clients and platform.
pub struct World {
    pub(crate) config: WorldConfig,
    pub(crate) now: Timestamp,
    pub(crate) queue: Queue<Happening>,
    pub(crate) random: ChaCha8Rng,
    pub(crate) network: Network,
    pub(crate) nodes: Vec<SimNode>,
    pub(crate) node_indices: HashMap<NodeName, usize>,
    pub(crate) engines: Vec<SimEngine>,
    pub(crate) engine_indices: HashMap<EngineName, usize>,
    pub(crate) platform: Platform,
    pub(crate) watchers: Vec<Watcher>,
    pub(crate) next_watch: u64,
    pub(crate) clients: Clients,
    pub(crate) client_loss: f64,
    pub(crate) trainers: Vec<SimTrainer>,
    pub(crate) callers: Callers,
    pub(crate) operators: Operators,
    pub(crate) oracle: Oracle,
    pub(crate) sealer: Option<Sealer>,
    pub(crate) newest_published: BTreeMap<ModelName, (u64, Timestamp)>,
    swap_failure: f64,
}

/// The resource that publishes a version of a model.
pub(crate) fn weight_object(model: &ModelName, version: u64) -> Object {
    let spec = WeightVersionSpec {
        model: model.clone(),
        version: WeightVersion(version),
        megabytes: 0,
    };
    named(&format!("{model}-{version}"), Spec::WeightVersion(spec))
}

fn named(name: &str, spec: Spec) -> Object {
    let metadata = Metadata {
        name: name.to_owned(),
        ..Metadata::default()
    };
    Object { metadata, spec }
}

fn address(kind: u8, index: usize) -> SocketAddr {
    let ip = Ipv4Addr::new(10, kind, (index / 250) as u8, (index % 250) as u8 + 1);
    SocketAddr::new(IpAddr::V4(ip), 7_000)
}

impl World {
    /// Builds a fleet and schedules what begins by itself.
    pub fn new(config: WorldConfig) -> Self {
        let mut world = Self {
            now: Timestamp::ZERO,
            queue: Queue::new(),
            random: ChaCha8Rng::seed_from_u64(config.seed),
            network: Network::new(&config),
            nodes: Vec::new(),
            node_indices: HashMap::new(),
            engines: Vec::new(),
            engine_indices: HashMap::new(),
            platform: Platform::new(&config),
            watchers: Vec::new(),
            next_watch: 0,
            clients: Clients::default(),
            client_loss: 0.0,
            trainers: config.groups.iter().cloned().map(SimTrainer::new).collect(),
            callers: Callers::default(),
            operators: Operators::default(),
            oracle: Oracle::default(),
            sealer: config
                .count_bytes
                .then(|| Sealer::new(vec![[7; KEY_BYTES]])),
            newest_published: BTreeMap::new(),
            swap_failure: config.engine.swap_failure,
            config,
        };
        world.write_resources();
        world.build_engines();
        world.build_nodes();
        world.schedule_clients();
        world
    }

    /// The oracle.
    pub fn oracle(&self) -> &Oracle {
        &self.oracle
    }

    /// Time of the simulated clock.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Meters of the nodes.
    pub fn meters(&self) -> Vec<&Meter> {
        self.nodes.iter().map(|node| &node.meter).collect()
    }

    /// Lists and watches the store served.
    pub fn store_reads(&self) -> u64 {
        self.platform.reads
    }

    /// The nodes' decisions, of those that run.
    pub fn controls(&self) -> Vec<&Control> {
        self.nodes.iter().filter_map(SimNode::control).collect()
    }

    /// Revision of the store.
    pub fn store_revision(&self) -> brasspond_resource::Revision {
        self.platform.store.revision()
    }

    /// Starts the meters anew.
    pub fn reset_meters(&mut self) {
        for node in &mut self.nodes {
            node.meter = Meter::default();
        }
    }

    /// Writes a resource as the platform or an operator would, at once.
    pub fn write_directly(&mut self, object: Object) {
        if self.platform.store.put(object, None).is_ok() {
            self.store_changed();
        }
    }

    /// Publishes a version of a model, at once.
    pub fn publish(&mut self, model: &ModelName, version: u64) {
        self.write_directly(weight_object(model, version));
    }

    /// Kills a node's process for good.
    pub fn kill_node(&mut self, index: usize) {
        self.crash_node(index);
    }

    pub(crate) fn draw(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.random.random_bool(probability)
    }

    fn write_resources(&mut self) {
        let mut objects = Vec::new();
        for group in &self.config.groups {
            let spec = ResearchGroupSpec {
                share: group.share,
                models: [ModelName::new(&group.name)].into(),
                max_staleness: group.max_staleness,
                swap_policy: group.swap,
                limits: GroupLimits {
                    open_steps: 16,
                    ..GroupLimits::default()
                },
                trainer: format!("{}-trainer", group.name),
                scoring_service: None,
            };
            objects.push(named(&group.name, Spec::ResearchGroup(spec)));
            let model = ModelSpec {
                group: GroupName::new(&group.name),
                max_tokens: group.max_tokens,
            };
            objects.push(named(&group.name, Spec::Model(model)));
            objects.push(weight_object(&ModelName::new(&group.name), 1));
        }
        for index in 0..self.config.engines {
            objects.push(self.machine(index, false));
        }
        for object in objects {
            let _ = self.platform.store.put(object, None);
        }
    }

    fn machine(&self, index: usize, leaving: bool) -> Object {
        let zone = index % self.config.zones();
        let spec = MachineSpec {
            role: MachineRole::Engine,
            address: address(2, index),
            locality: self.network.locality(zone),
            pool: None,
            leaving,
        };
        named(&format!("engine-{index}"), Spec::Machine(spec))
    }

    fn new_engine(&mut self, index: usize, seed: u64) -> Engine {
        let models = self.config.groups.iter();
        let models = models.map(|group| (ModelName::new(&group.name), WeightVersion(1)));
        let mut parameters = self.config.engine.clone();
        parameters.swap_failure = self.swap_failure;
        let name = EngineName::new(format!("engine-{index}"));
        Engine::new(name, parameters, models.collect(), seed, self.now)
    }

    fn build_engines(&mut self) {
        for index in 0..self.config.engines {
            let seed = self.random.random();
            let engine = self.new_engine(index, seed);
            let uploads = WeightStore::new(self.config.upload_slots, self.config.weight_transfer);
            let zone = index % self.config.zones();
            let engine = SimEngine::new(engine, zone, uploads);
            self.engine_indices.insert(engine.name.clone(), index);
            self.engines.push(engine);
        }
    }

    fn build_nodes(&mut self) {
        for index in 0..self.config.nodes {
            let zone = index % self.config.zones();
            let name = NodeName::new(format!("node-{index}"));
            self.node_indices.insert(name.clone(), index);
            self.nodes.push(SimNode {
                control: None,
                instance: 0,
                zone,
                name,
                address: address(1, index),
                paused: false,
                backlog: Vec::new(),
                has_disk: index < 2,
                disk: None,
                attempt_requests: BTreeMap::new(),
                meter: Meter::default(),
                incarnation: 0,
                draining: false,
            });
        }
        for index in 0..self.config.nodes {
            self.start_node(index);
        }
        if self.config.preloaded {
            self.preload();
        }
    }

    /// Lets every node know all others and the configuration.
    fn preload(&mut self) {
        let members: Vec<Member> = (0..self.nodes.len())
            .map(|index| self.member(index))
            .collect();
        let catalogue = self.platform.store.catalogue().clone();
        for node in &mut self.nodes {
            if let Some(control) = &mut node.control {
                control.preload(&members, catalogue.clone(), Timestamp::ZERO);
            }
        }
    }

    fn member(&self, index: usize) -> Member {
        let node = &self.nodes[index];
        Member {
            name: node.name.clone(),
            address: node.address,
            locality: self.network.locality(node.zone),
            instance: Instance(node.instance),
            incarnation: node.incarnation,
            state: MemberState::Alive,
        }
    }

    fn start_node(&mut self, index: usize) {
        /// Nodes that a starting one asks for the others.
        const SEEDS: usize = 3;
        let instance = self.random.random();
        let node = &mut self.nodes[index];
        node.instance = instance;
        node.incarnation += 1_000;
        node.paused = false;
        node.draining = false;
        node.backlog.clear();
        node.attempt_requests.clear();
        let kept = node
            .disk
            .as_ref()
            .map(|catalogue| Catalogue::clone(catalogue));
        let member = self.member(index);
        let seeds = (0..SEEDS.min(self.nodes.len())).map(|seed| self.nodes[seed].address);
        let control = Control::new(
            member,
            seeds.collect(),
            kept,
            self.config.parameters.clone(),
        );
        self.nodes[index].control = Some(control);
        let jitter = self.random.random_range(0.0..1.0);
        let first = self.now + self.config.tick.mul_f64(jitter);
        self.queue.push(first, Happening::NodeTick(index, instance));
    }

    pub(crate) fn node_at(&self, address: SocketAddr) -> Option<usize> {
        self.nodes.iter().position(|node| node.address == address)
    }

    fn schedule_clients(&mut self) {
        for index in 0..self.trainers.len() {
            let at = self.now + Duration::from_millis(10 * index as u64);
            self.queue.push(at, Happening::TrainerTick(index));
        }
        if self.config.callers.model_rate > 0.0 {
            self.queue.push(self.now, Happening::CallerArrives);
        }
        if self.config.callers.loan_rate > 0.0 {
            self.queue.push(self.now, Happening::LoanArrives);
        }
        if self.config.operator_period > Duration::ZERO {
            let at = self.now + self.config.operator_period;
            self.queue.push(at, Happening::OperatorTick);
        }
        for fault in self.config.faults.clone() {
            self.queue
                .push(Timestamp::ZERO + fault.at, Happening::FaultBegins(fault));
        }
    }

    /// Lets everything happen that is due by `until`.
    pub fn run_until(&mut self, until: Timestamp) {
        while let Some((at, happening)) = self.queue.pop_until(until) {
            self.now = at.max(self.now);
            self.happen(happening);
        }
        self.now = until.max(self.now);
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::NodeTick(node, instance) => self.node_ticks(node, instance),
            Happening::NodeEvent(node, instance, event) => self.feed(node, instance, *event),
            Happening::Arrives(node, envelope) => {
                let instance = self.nodes[node].instance;
                self.feed(node, instance, Event::Peer(envelope));
            }
            Happening::Submit(engine, origin, request, call) => {
                self.submit(engine, origin, request, *call);
            }
            Happening::EngineWake(engine, planned) => self.engine_woke(engine, planned),
            Happening::StoreCalled(node, instance, call) => {
                self.store_called(node, instance, *call)
            }
            Happening::WatchEnds(number) => self.watch_ends(number),
            Happening::ClientAnswer(origin, answer) => {
                self.client_answered(origin, answer.map(|answer| *answer));
            }
            Happening::TrainerTick(index) => self.trainer_ticks(index),
            Happening::CallerArrives => self.caller_arrives(),
            Happening::LoanArrives => self.loan_arrives(),
            Happening::LoanRetry(loan) => self.ask_for_loan(loan),
            Happening::ServiceRuns(key, call) => self.service_runs(key, call),
            Happening::OperatorTick => self.operator_ticks(),
            Happening::FaultBegins(fault) => self.fault_begins(fault),
            Happening::FaultEnds(fault) => self.fault_ends(fault),
            Happening::NodeReturns(index) => {
                if self.nodes[index].control.is_none() {
                    self.start_node(index);
                }
            }
            Happening::EngineReturns(index) => self.engine_returns(index),
            Happening::EngineLeft(index) => self.engine_left(index),
            Happening::MachineListed(index, leaving) => self.machine_listed(index, leaving),
        }
    }

    fn node_ticks(&mut self, index: usize, instance: u64) {
        if self.nodes[index].instance() != Some(instance) {
            return;
        }
        let next = self.now + self.config.tick;
        self.queue.push(next, Happening::NodeTick(index, instance));
        if self.nodes[index].paused {
            return;
        }
        self.feed(index, instance, Event::Tick);
        let node = &self.nodes[index];
        let is_drained = node.draining && node.control().is_some_and(Control::is_drained);
        let waits = self.is_caller_waiting(index, instance);
        let cuts_anyway = self
            .config
            .parameters
            .mutations
            .is_on(brasspond_types::Mutation::StopWithoutDraining);
        if is_drained && (!waits || cuts_anyway) {
            let cut = self.requests_at(index, instance);
            self.oracle.check_stopped(self.now, cut);
            self.crash_node(index);
            self.queue
                .push(self.now + RETURN_TIME, Happening::NodeReturns(index));
        }
    }

    /// Feeds an event to a node's decisions and carries out what they decide.
    pub(crate) fn feed(&mut self, index: usize, instance: u64, event: Event) {
        if self.nodes[index].instance() != Some(instance) {
            return;
        }
        if self.nodes[index].paused {
            self.nodes[index].backlog.push(event);
            return;
        }
        self.note_answer(index, instance, &event);
        let measure = self.config.measure_time;
        let node = &mut self.nodes[index];
        let Some(control) = &mut node.control else {
            return;
        };
        let begun = measure.then(Instant::now);
        let actions = control.handle(event, self.now);
        if let Some(begun) = begun {
            node.meter.busy += begun.elapsed();
        }
        node.meter.events += 1;
        let ready = control.is_ready().then(|| control.revision());
        if let Some(revision) = ready {
            self.oracle.check_revision(self.now, index, revision);
        }
        for action in actions {
            self.carry_out(index, instance, action);
        }
    }

    /// Keeps the whole answer that a node passes on to its caller.
    fn note_answer(&mut self, index: usize, instance: u64, event: &Event) {
        let Event::Attempt {
            attempt,
            update: AttemptUpdate::Finished { generated, .. },
        } = event
        else {
            return;
        };
        if let Some(request) = self.nodes[index].attempt_requests.remove(attempt) {
            let key = (index, instance, request);
            self.clients.answers.insert(key, generated.clone());
        }
    }

    fn crash_node(&mut self, index: usize) {
        let instance = self.nodes[index].instance;
        if self.nodes[index].control.take().is_none() {
            return;
        }
        self.close_streams(|stream| stream.node == index && stream.instance == instance);
        self.break_requests(index, instance);
    }

    fn fault_begins(&mut self, fault: Fault) {
        let node = fault.target % self.nodes.len();
        let engine = fault.target % self.engines.len().max(1);
        let zone = fault.target % self.config.zones();
        let ends = self.now + fault.lasts;
        match fault.kind {
            FaultKind::NodeCrash => self.crash_node(node),
            FaultKind::NodePause => self.nodes[node].paused = true,
            FaultKind::NodeDrain => {
                if let Some(instance) = self.nodes[node].instance() {
                    self.nodes[node].draining = true;
                    self.feed(node, instance, Event::Drain);
                }
            }
            FaultKind::EngineCrash => {
                self.engines[engine].up = false;
                self.break_streams(engine);
            }
            FaultKind::EngineLeave => {
                let now = self.now;
                let target = &mut self.engines[engine];
                if target.up && target.leaving_since.is_none() {
                    target.engine.leave(now);
                    target.leaving_since = Some(now);
                    let listed = Happening::MachineListed(engine, Some(true));
                    self.queue.push(now + LIST_LAG, listed);
                    self.queue
                        .push(now + LEAVING_TIME, Happening::EngineLeft(engine));
                }
                return;
            }
            FaultKind::FailedSwaps => self.set_swap_failure(0.7),
            FaultKind::StoreDown => self.platform.down = true,
            FaultKind::StoreSlow => self.platform.slow = true,
            FaultKind::LostAnswers => self.platform.loses_answers = true,
            FaultKind::ZoneCut => self.network.cut_zone(zone, true),
            FaultKind::ZoneLost => self.lose_zone(zone),
            FaultKind::RegionsParted => self.network.part_regions(true),
            FaultKind::PacketLoss => {
                self.network.set_extra_loss(0.2);
                self.client_loss = 0.1;
            }
            FaultKind::OperatorRace => self.operator_writes(true),
        }
        self.queue.push(ends, Happening::FaultEnds(fault));
    }

    fn fault_ends(&mut self, fault: Fault) {
        let node = fault.target % self.nodes.len();
        let engine = fault.target % self.engines.len().max(1);
        let zone = fault.target % self.config.zones();
        match fault.kind {
            FaultKind::NodeCrash => {
                if self.nodes[node].control.is_none() {
                    self.start_node(node);
                }
            }
            FaultKind::NodePause => self.resume_node(node),
            FaultKind::NodeDrain | FaultKind::EngineLeave | FaultKind::OperatorRace => {}
            FaultKind::EngineCrash => self.engine_returns(engine),
            FaultKind::FailedSwaps => self.set_swap_failure(self.config.engine.swap_failure),
            FaultKind::StoreDown => {
                self.platform.down = false;
                self.store_changed();
            }
            FaultKind::StoreSlow => self.platform.slow = false,
            FaultKind::LostAnswers => self.platform.loses_answers = false,
            FaultKind::ZoneCut => self.network.cut_zone(zone, false),
            FaultKind::ZoneLost => self.restore_zone(zone),
            FaultKind::RegionsParted => self.network.part_regions(false),
            FaultKind::PacketLoss => {
                self.network.set_extra_loss(0.0);
                self.client_loss = 0.0;
            }
        }
    }

    /// All nodes and engines of a zone crash at once.
    fn lose_zone(&mut self, zone: usize) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].zone == zone {
                self.crash_node(index);
            }
        }
        for index in 0..self.engines.len() {
            if self.engines[index].zone == zone {
                self.engines[index].up = false;
                self.break_streams(index);
            }
        }
    }

    fn restore_zone(&mut self, zone: usize) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].zone == zone && self.nodes[index].control.is_none() {
                self.start_node(index);
            }
        }
        for index in 0..self.engines.len() {
            if self.engines[index].zone == zone {
                self.engine_returns(index);
            }
        }
    }

    /// A paused process goes on: first with all that waited in its sockets.
    fn resume_node(&mut self, index: usize) {
        if !std::mem::take(&mut self.nodes[index].paused) {
            return;
        }
        let instance = self.nodes[index].instance;
        for event in std::mem::take(&mut self.nodes[index].backlog) {
            self.feed(index, instance, event);
        }
    }

    fn set_swap_failure(&mut self, probability: f64) {
        self.swap_failure = probability;
        for engine in &mut self.engines {
            engine.engine.set_swap_failure(probability);
        }
    }

    fn engine_left(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        if engine.leaving_since.is_none() {
            return;
        }
        if engine.up && engine.engine.load() > 0 {
            let again = self.now + Duration::from_millis(500);
            self.queue.push(again, Happening::EngineLeft(index));
            return;
        }
        engine.up = false;
        self.queue
            .push(self.now + LIST_LAG, Happening::MachineListed(index, None));
        self.queue
            .push(self.now + RETURN_TIME * 2, Happening::EngineReturns(index));
    }

    /// An engine comes back, with the weights it was built with.
    fn engine_returns(&mut self, index: usize) {
        let is_leaving = self.engines[index].leaving_since.is_some();
        if self.engines[index].up && !is_leaving {
            return;
        }
        if self.engines[index].up && self.engines[index].engine.load() > 0 {
            return;
        }
        let seed = self.random.random();
        let fresh = self.new_engine(index, seed);
        self.engines[index].replace(fresh);
        self.engines[index].up = true;
        self.engines[index].leaving_since = None;
        let listed = Happening::MachineListed(index, Some(false));
        self.queue.push(self.now + LIST_LAG, listed);
    }

    fn machine_listed(&mut self, index: usize, leaving: Option<bool>) {
        match leaving {
            Some(leaving) => {
                let object = self.machine(index, leaving);
                let key = object.key();
                let same = self
                    .platform
                    .store
                    .get(&key)
                    .map(|known| known.spec == object.spec);
                if same != Some(true) {
                    self.write_directly(object);
                }
            }
            None => {
                let key = ObjectKey {
                    kind: Kind::Machine,
                    name: format!("engine-{index}"),
                };
                if self.platform.store.remove(&key, None).is_ok() {
                    self.store_changed();
                }
            }
        }
    }

    /// Checks that all nodes have the store's newest configuration in force.
    pub fn check_everywhere(&mut self) {
        let wanted = self.platform.store.catalogue().clone();
        for (index, node) in self.nodes.iter().enumerate() {
            let Some(control) = node.control() else {
                continue;
            };
            let has = control.revision();
            let same = **control.catalogue() == wanted;
            self.oracle
                .check_everywhere(self.now, index, has, wanted.revision, same);
        }
    }

    /// Checks that every trainer has every sample of every step.
    pub fn check_all_delivered(&mut self) {
        for group in self.config.groups.clone() {
            for step in 1..=group.steps {
                let id = brasspond_types::StepId {
                    group: GroupName::new(&group.name),
                    step,
                };
                let slots = group.prompts * group.samples_per_prompt;
                self.oracle.check_complete(self.now, &id, slots);
            }
        }
    }
}
