//! Injection of faults: what happens when a fault begins and when it ends.

use super::{LISTING_DELAY, MIN_LEAVING_TIME, RETURN_DELAY, SimEvent, World};
use crate::faults::{Fault, FaultKind};
use brasspond_control::Event;
use brasspond_resource::{Kind, ObjectKey};
use rand::Rng;
use std::time::Duration;

impl World {
    /// Stops a node process at once and breaks its streams and client connections.
    pub(super) fn crash_node(&mut self, index: usize) {
        let instance = self.nodes[index].instance;
        if self.nodes[index].control.take().is_none() {
            return;
        }
        self.close_streams(|stream| stream.node == index && stream.instance == instance);
        self.break_requests(index, instance);
    }

    /// Applies a fault and schedules its end. A leaving engine schedules its shutdown instead.
    pub(super) fn fault_begins(&mut self, fault: Fault) {
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
                    let listed = SimEvent::MachineListed(engine, Some(true));
                    self.queue.push(now + LISTING_DELAY, listed);
                    self.queue
                        .push(now + MIN_LEAVING_TIME, SimEvent::EngineLeft(engine));
                }
                return;
            }
            FaultKind::FailedSwaps => self.set_swap_failure(0.7),
            FaultKind::StoreDown => self.platform.down = true,
            FaultKind::StoreSlow => self.platform.slow = true,
            FaultKind::LostAnswers => self.platform.loses_answers = true,
            FaultKind::ZoneCut => self.network.set_zone_cut(zone, true),
            FaultKind::ZoneLost => self.lose_zone(zone),
            FaultKind::RegionsParted => self.network.set_regions_partitioned(true),
            FaultKind::PacketLoss => {
                self.network.set_extra_loss(0.2);
                self.client_loss = 0.1;
            }
            FaultKind::OperatorRace => self.operator_writes(true),
        }
        self.queue.push(ends, SimEvent::FaultEnds(fault));
    }

    pub(super) fn fault_ends(&mut self, fault: Fault) {
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
            FaultKind::ZoneCut => self.network.set_zone_cut(zone, false),
            FaultKind::ZoneLost => self.restore_zone(zone),
            FaultKind::RegionsParted => self.network.set_regions_partitioned(false),
            FaultKind::PacketLoss => {
                self.network.set_extra_loss(0.0);
                self.client_loss = 0.0;
            }
        }
    }

    /// Crashes all nodes and engines of a zone at once.
    pub(super) fn lose_zone(&mut self, zone: usize) {
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

    pub(super) fn restore_zone(&mut self, zone: usize) {
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

    /// Resumes a paused node, starting with the events that arrived during the pause.
    pub(super) fn resume_node(&mut self, index: usize) {
        if !std::mem::take(&mut self.nodes[index].paused) {
            return;
        }
        let instance = self.nodes[index].instance;
        for event in std::mem::take(&mut self.nodes[index].backlog) {
            self.feed(index, instance, event);
        }
    }

    pub(super) fn set_swap_failure(&mut self, probability: f64) {
        self.swap_failure = probability;
        for engine in &mut self.engines {
            engine.engine.set_swap_failure(probability);
        }
    }

    /// Shuts down a leaving engine once it has no load, and schedules its return.
    pub(super) fn engine_left(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        if engine.leaving_since.is_none() {
            return;
        }
        if engine.up && engine.engine.load() > 0 {
            let again = self.now + Duration::from_millis(500);
            self.queue.push(again, SimEvent::EngineLeft(index));
            return;
        }
        engine.up = false;
        self.queue.push(
            self.now + LISTING_DELAY,
            SimEvent::MachineListed(index, None),
        );
        self.queue
            .push(self.now + RETURN_DELAY * 2, SimEvent::EngineReturns(index));
    }

    /// Replaces an engine that is down, or one that is leaving and idle, by a new engine with the
    /// initial weights.
    pub(super) fn engine_returns(&mut self, index: usize) {
        let is_leaving = self.engines[index].leaving_since.is_some();
        if self.engines[index].up && !is_leaving {
            return;
        }
        if self.engines[index].up && self.engines[index].engine.load() > 0 {
            return;
        }
        let seed = self.random.random();
        let fresh = self.new_engine(index, seed);
        self.engines[index].engine = fresh;
        self.engines[index].up = true;
        self.engines[index].leaving_since = None;
        let listed = SimEvent::MachineListed(index, Some(false));
        self.queue.push(self.now + LISTING_DELAY, listed);
    }

    /// Updates an engine's entry in the machine list. `None` removes the entry.
    pub(super) fn machine_listed(&mut self, index: usize, leaving: Option<bool>) {
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
}
