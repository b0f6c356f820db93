//! The simulated world: state of the fleet and dispatch of scheduled events in time order.

mod inject;

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

/// Delay until the machine list shows that an engine is leaving, has left or has returned.
/// Crashes are not listed.
const LISTING_DELAY: Duration = Duration::from_secs(1);
/// Delay until a drained node restarts. An engine that left returns after twice this delay.
const RETURN_DELAY: Duration = Duration::from_secs(2);
/// Shortest time that a leaving engine keeps running unless it crashes. It exceeds the oracle's
/// grace period, so that forbidden new work can be observed.
const MIN_LEAVING_TIME: Duration = Duration::from_secs(5);

/// An event that is scheduled in the simulation.
///
/// A `usize` is the index of a node, engine or trainer. A `u64` after a node index is the instance
/// of its process, so that events for an earlier process are dropped.
pub(crate) enum SimEvent {
    NodeTick(usize, u64),
    NodeEvent(usize, u64, Box<Event>),
    MessageArrives(usize, Box<Envelope>),
    /// A node's attempt, identified by node, instance and attempt, reaches an engine.
    Submit(
        usize,
        (usize, u64, AttemptId),
        Option<RequestId>,
        Box<EngineCall>,
    ),
    EngineWake(usize, Timestamp),
    StoreCalled(usize, u64, Box<StoreCall>),
    /// The watch with this number reaches its timeout.
    WatchTimeout(u64),
    ClientAnswer(Origin, Option<Box<(Reply, Option<Partial>)>>),
    TrainerTick(usize),
    CallerArrives,
    LoanArrives,
    LoanRetry(u64),
    ServiceRuns(RequestKey, u64),
    OperatorTick,
    FaultBegins(Fault),
    FaultEnds(Fault),
    NodeRestarts(usize),
    EngineReturns(usize),
    EngineLeft(usize),
    /// The machine list shows an engine, with its leaving flag, or removes its entry.
    MachineListed(usize, Option<bool>),
}

/// A node: its machine, and its process while one runs.
pub(crate) struct SimNode {
    control: Option<Control>,
    instance: u64,
    pub(crate) zone: usize,
    name: NodeName,
    address: SocketAddr,
    paused: bool,
    /// Events that arrived while the node was paused.
    backlog: Vec<Event>,
    pub(crate) has_disk: bool,
    /// Configuration on disk, which survives restarts.
    pub(crate) disk: Option<Arc<Catalogue>>,
    pub(crate) attempt_requests: BTreeMap<AttemptId, RequestId>,
    incarnation: u64,
    draining: bool,
}

impl SimNode {
    pub(crate) fn control(&self) -> Option<&Control> {
        self.control.as_ref()
    }

    /// Instance number of the running process, or `None` while no process runs.
    pub(crate) fn instance(&self) -> Option<u64> {
        self.control.as_ref().map(|_| self.instance)
    }
}

/// Callback that receives each action together with the index of the node that took it.
type Observer = Box<dyn FnMut(usize, &Action)>;

/// A simulated fleet with its clients and platform.
pub struct World {
    pub(crate) config: WorldConfig,
    pub(crate) now: Timestamp,
    pub(crate) queue: Queue<SimEvent>,
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
    /// Probability that an answer to a client is lost.
    pub(crate) client_loss: f64,
    pub(crate) trainers: Vec<SimTrainer>,
    pub(crate) callers: Callers,
    pub(crate) operators: Operators,
    pub(crate) oracle: Oracle,
    /// Current probability that an engine fails to swap its weights.
    swap_failure: f64,
    observer: Option<Observer>,
}

/// Builds the resource that publishes a version of a model.
pub(crate) fn weight_version_object(model: &ModelName, version: u64) -> Object {
    let spec = WeightVersionSpec {
        model: model.clone(),
        version: WeightVersion(version),
        megabytes: 0,
    };
    build_object(&format!("{model}-{version}"), Spec::WeightVersion(spec))
}

fn build_object(name: &str, spec: Spec) -> Object {
    let metadata = Metadata {
        name: name.to_owned(),
        ..Metadata::default()
    };
    Object { metadata, spec }
}

/// Address of a node (`kind` 1) or an engine (`kind` 2).
fn address(kind: u8, index: usize) -> SocketAddr {
    let ip = Ipv4Addr::new(10, kind, (index / 250) as u8, (index % 250) as u8 + 1);
    SocketAddr::new(IpAddr::V4(ip), 7_000)
}

impl World {
    /// Builds a fleet, starts its nodes, and schedules its clients and faults.
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

    pub(crate) fn oracle(&self) -> &Oracle {
        &self.oracle
    }

    /// Current time of the simulated clock.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Writes a resource to the object store without delay, bypassing the nodes.
    pub(crate) fn write_directly(&mut self, object: Object) {
        if self.platform.store.put(object, None).is_ok() {
            self.store_changed();
        }
    }

    /// Returns `true` with the given probability.
    pub(crate) fn draw(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.random.random_bool(probability)
    }

    pub(crate) fn node_at(&self, address: SocketAddr) -> Option<usize> {
        self.nodes.iter().position(|node| node.address == address)
    }

    /// Calls `observer` with each action and the index of its node, before the action is applied.
    pub fn observe(&mut self, observer: impl FnMut(usize, &Action) + 'static) {
        self.observer = Some(Box::new(observer));
    }

    /// Processes every event that is due by `until` and advances the clock to that time.
    pub fn run_until(&mut self, until: Timestamp) {
        while let Some((at, event)) = self.queue.pop_until(until) {
            self.now = at.max(self.now);
            self.dispatch(event);
        }
        self.now = until.max(self.now);
    }

    fn dispatch(&mut self, event: SimEvent) {
        match event {
            SimEvent::NodeTick(node, instance) => self.node_ticks(node, instance),
            SimEvent::NodeEvent(node, instance, event) => self.feed(node, instance, *event),
            SimEvent::MessageArrives(node, envelope) => {
                let instance = self.nodes[node].instance;
                self.feed(node, instance, Event::Peer(envelope));
            }
            SimEvent::Submit(engine, attempt_key, request, call) => {
                self.submit(engine, attempt_key, request, *call);
            }
            SimEvent::EngineWake(engine, planned) => self.engine_woke(engine, planned),
            SimEvent::StoreCalled(node, instance, call) => self.store_called(node, instance, *call),
            SimEvent::WatchTimeout(number) => self.watch_timed_out(number),
            SimEvent::ClientAnswer(origin, answer) => {
                self.client_answered(origin, answer.map(|answer| *answer));
            }
            SimEvent::TrainerTick(index) => self.trainer_ticks(index),
            SimEvent::CallerArrives => self.caller_arrives(),
            SimEvent::LoanArrives => self.loan_arrives(),
            SimEvent::LoanRetry(loan) => self.request_loan(loan),
            SimEvent::ServiceRuns(key, call) => self.service_runs(key, call),
            SimEvent::OperatorTick => self.operator_ticks(),
            SimEvent::FaultBegins(fault) => self.fault_begins(fault),
            SimEvent::FaultEnds(fault) => self.fault_ends(fault),
            SimEvent::NodeRestarts(index) => {
                if self.nodes[index].control.is_none() {
                    self.start_node(index);
                }
            }
            SimEvent::EngineReturns(index) => self.engine_returns(index),
            SimEvent::EngineLeft(index) => self.engine_left(index),
            SimEvent::MachineListed(index, leaving) => self.machine_listed(index, leaving),
        }
    }

    fn node_ticks(&mut self, index: usize, instance: u64) {
        if self.nodes[index].instance() != Some(instance) {
            return;
        }
        let next = self.now + self.config.tick;
        self.queue.push(next, SimEvent::NodeTick(index, instance));
        if self.nodes[index].paused {
            return;
        }
        self.feed(index, instance, Event::Tick);
        let node = &self.nodes[index];
        let is_drained = node.draining && node.control().is_some_and(Control::is_drained);
        let has_waiting_caller = self.is_caller_waiting(index, instance);
        let stops_anyway = self
            .config
            .parameters
            .mutations
            .is_on(brasspond_types::Mutation::StopWithoutDraining);
        if is_drained && (!has_waiting_caller || stops_anyway) {
            let aborted = self.requests_at(index, instance);
            self.oracle.check_planned_stop(self.now, aborted);
            self.crash_node(index);
            self.queue
                .push(self.now + RETURN_DELAY, SimEvent::NodeRestarts(index));
        }
    }

    /// Passes an event to a node and applies the resulting actions. A paused node queues the event.
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

    /// Stores the output of a finished attempt until the node replies to the request.
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

    /// Checks that every running node has applied the newest configuration of the object store.
    pub(crate) fn check_configurations(&mut self) {
        let expected = self.platform.store.catalogue().clone();
        for (index, node) in self.nodes.iter().enumerate() {
            let Some(control) = node.control() else {
                continue;
            };
            let applied = control.revision();
            let same = **control.catalogue() == expected;
            self.oracle
                .check_configuration(self.now, index, applied, expected.revision, same);
        }
    }

    /// Checks that every trainer has received every sample of every step.
    pub(crate) fn check_all_delivered(&mut self) {
        for group in self.config.groups.clone() {
            for step in 1..=group.steps {
                let id = brasspond_types::StepId {
                    group: GroupName::new(&group.name),
                    step,
                };
                let slots = group.prompts * group.samples_per_prompt;
                self.oracle.check_step_complete(self.now, &id, slots);
            }
        }
    }
}
