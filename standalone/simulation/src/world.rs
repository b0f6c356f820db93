//! The world: everything that happens, in order of time.

mod disturb;

mod build;

use crate::actions::Watcher;
use crate::callers::Callers;
use crate::clients::{Clients, Origin, RequestKey};
use crate::config::WorldConfig;
use crate::engines::SimEngine;
use crate::faults::Fault;
use crate::network::Network;
use crate::operators::Operators;
use crate::oracle::Oracle;
use crate::platform::Platform;
use crate::queue::Queue;
use crate::trainers::SimTrainer;
use brasspond_control::{Action, AttemptId, Control, Event, Reply, RequestId, StoreCall};
use brasspond_engine_api::{AttemptUpdate, EngineCall};
use brasspond_protocol::Envelope;
use brasspond_resource::{Catalogue, Metadata, Object, Spec, WeightVersionSpec};
use brasspond_rollout::Partial;
use brasspond_types::{EngineName, GroupName, ModelName, NodeName, Timestamp, WeightVersion};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// Time until the platform's list shows what happened to a machine; drawn up for the
/// simulation.
const LIST_LAG: Duration = Duration::from_secs(1);
/// Time after which a drained node or an engine that left comes back; drawn up for the
/// simulation.
const RETURN_TIME: Duration = Duration::from_secs(2);
/// Shortest time a leaving engine stays: above the grace of the oracle, so that it can see new
/// work.
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

/// Is shown each action of each node, by the node's index.
type Observer = Box<dyn FnMut(usize, &Action)>;

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
    swap_failure: f64,
    observer: Option<Observer>,
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
            swap_failure: config.engine.swap_failure,
            observer: None,
            config,
        };
        world.write_resources();
        world.build_engines();
        world.build_nodes();
        world.schedule_clients();
        world
    }

    /// The oracle.
    pub(crate) fn oracle(&self) -> &Oracle {
        &self.oracle
    }

    /// Time of the simulated clock.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Writes a resource as the platform or an operator would, at once.
    pub(crate) fn write_directly(&mut self, object: Object) {
        if self.platform.store.put(object, None).is_ok() {
            self.store_changed();
        }
    }

    pub(crate) fn draw(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.random.random_bool(probability)
    }

    pub(crate) fn node_at(&self, address: SocketAddr) -> Option<usize> {
        self.nodes.iter().position(|node| node.address == address)
    }

    /// Shows each action of each node, with the node's index, before it is applied.
    pub fn observe(&mut self, observer: impl FnMut(usize, &Action) + 'static) {
        self.observer = Some(Box::new(observer));
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

    /// Feeds an event to a node's decisions and applies what they decide.
    pub(crate) fn feed(&mut self, index: usize, instance: u64, event: Event) {
        if self.nodes[index].instance() != Some(instance) {
            return;
        }
        if self.nodes[index].paused {
            self.nodes[index].backlog.push(event);
            return;
        }
        self.record_answer(index, instance, &event);
        let node = &mut self.nodes[index];
        let Some(control) = &mut node.control else {
            return;
        };
        let actions = control.handle(event, self.now);
        let ready = control.is_ready().then(|| control.revision());
        if let Some(revision) = ready {
            self.oracle.check_revision(self.now, index, revision);
        }
        for action in actions {
            if let Some(observer) = &mut self.observer {
                observer(index, &action);
            }
            self.apply(index, instance, action);
        }
    }

    /// Keeps the whole answer that a node passes on to its caller.
    fn record_answer(&mut self, index: usize, instance: u64, event: &Event) {
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

    /// Checks that all nodes have the store's newest configuration in force.
    pub(crate) fn check_everywhere(&mut self) {
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
    pub(crate) fn check_all_delivered(&mut self) {
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
