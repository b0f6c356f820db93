//! Construction of the fleet: resources, engines, nodes and the first scheduled events.

use super::{SimEvent, SimNode, World, address, build_object, weight_version_object};
use crate::engines::SimEngine;
use brasspond_control::Control;
use brasspond_emulator::{Engine, WeightStore};
use brasspond_membership::{Instance, Member, MemberState};
use brasspond_resource::{
    Catalogue, GroupLimits, MachineRole, MachineSpec, ModelSpec, Object, ResearchGroupSpec, Spec,
};
use brasspond_types::{EngineName, GroupName, ModelName, NodeName, Timestamp, WeightVersion};
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;

impl World {
    pub(super) fn write_resources(&mut self) {
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
            };
            objects.push(build_object(&group.name, Spec::ResearchGroup(spec)));
            let model = ModelSpec {
                group: GroupName::new(&group.name),
                max_tokens: group.max_tokens,
            };
            objects.push(build_object(&group.name, Spec::Model(model)));
            objects.push(weight_version_object(&ModelName::new(&group.name), 1));
        }
        for index in 0..self.config.engines {
            objects.push(self.machine(index, false));
        }
        for object in objects {
            let written = self.platform.store.put(object, None);
            debug_assert!(
                written.is_ok(),
                "the object store accepts the initial resources"
            );
        }
    }

    pub(super) fn machine(&self, index: usize, leaving: bool) -> Object {
        let zone = index % self.config.zones();
        let spec = MachineSpec {
            role: MachineRole::Engine,
            address: address(2, index),
            locality: self.network.locality(zone),
            pool: None,
            leaving,
        };
        build_object(&format!("engine-{index}"), Spec::Machine(spec))
    }

    pub(super) fn new_engine(&mut self, index: usize, seed: u64) -> Engine {
        let models = self.config.groups.iter();
        let models = models.map(|group| (ModelName::new(&group.name), WeightVersion(1)));
        let mut parameters = self.config.engine.clone();
        parameters.swap_failure = self.swap_failure;
        let name = EngineName::new(format!("engine-{index}"));
        Engine::new(name, parameters, models.collect(), seed, self.now)
    }

    pub(super) fn build_engines(&mut self) {
        for index in 0..self.config.engines {
            let seed = self.random.random();
            let engine = self.new_engine(index, seed);
            let upload_limiter =
                WeightStore::new(self.config.upload_slots, self.config.weight_transfer);
            let zone = index % self.config.zones();
            let engine = SimEngine::new(engine, zone, upload_limiter);
            self.engine_indices.insert(engine.name.clone(), index);
            self.engines.push(engine);
        }
    }

    pub(super) fn build_nodes(&mut self) {
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
                incarnation: 0,
                draining: false,
            });
        }
        for index in 0..self.config.nodes {
            self.start_node(index);
        }
    }

    pub(super) fn member(&self, index: usize) -> Member {
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

    pub(super) fn start_node(&mut self, index: usize) {
        /// Number of seed addresses from which a starting node discovers the others.
        const SEEDS: usize = 3;
        let instance = self.random.random();
        let node = &mut self.nodes[index];
        node.instance = instance;
        node.incarnation += 1_000;
        node.paused = false;
        node.draining = false;
        node.backlog.clear();
        node.attempt_requests.clear();
        let stored = node
            .disk
            .as_ref()
            .map(|catalogue| Catalogue::clone(catalogue));
        let member = self.member(index);
        let seeds = (0..SEEDS.min(self.nodes.len())).map(|seed| self.nodes[seed].address);
        let control = Control::new(
            member,
            seeds.collect(),
            stored,
            self.config.parameters.clone(),
        );
        self.nodes[index].control = Some(control);
        let jitter = self.random.random_range(0.0..1.0);
        let first = self.now + self.config.tick.mul_f64(jitter);
        self.queue.push(first, SimEvent::NodeTick(index, instance));
    }

    pub(super) fn schedule_clients(&mut self) {
        for index in 0..self.trainers.len() {
            let at = self.now + Duration::from_millis(10 * index as u64);
            self.queue.push(at, SimEvent::TrainerTick(index));
        }
        if self.config.callers.model_rate > 0.0 {
            self.queue.push(self.now, SimEvent::CallerArrives);
        }
        if self.config.callers.loan_rate > 0.0 {
            self.queue.push(self.now, SimEvent::LoanArrives);
        }
        if self.config.operator_period > Duration::ZERO {
            let at = self.now + self.config.operator_period;
            self.queue.push(at, SimEvent::OperatorTick);
        }
        for fault in self.config.faults.clone() {
            self.queue
                .push(Timestamp::ZERO + fault.at, SimEvent::FaultBegins(fault));
        }
    }
}
