//! Simulated engines, their streams to the nodes, and weight transfers.

use crate::clients::Origin;
use crate::world::{SimEvent, World};
use brasspond_control::{AttemptId, Event, RequestId};
use brasspond_emulator::{Engine, EngineEvent, Transfer, WeightStore};
use brasspond_engine_api::{
    AttemptUpdate, Command, EngineCall, EngineOrder, OrderOutcome, WeightSource, append_tokens,
};
use brasspond_rollout::Partial;
use brasspond_types::{EngineName, ModelName, Timestamp, WeightVersion};
use std::collections::BTreeMap;
use std::time::Duration;

/// Timeout of polls and orders. It equals `CONTROL_TIMEOUT` of the real node's engine client.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A connection over which an engine streams the output of an attempt to a node.
pub(crate) struct Stream {
    pub(crate) node: usize,
    pub(crate) instance: u64,
    pub(crate) attempt: AttemptId,
    generated: Partial,
    /// Version in the last progress update.
    reported: Option<WeightVersion>,
    seed: u64,
}

/// An engine with its open streams.
pub(crate) struct SimEngine {
    pub(crate) engine: Engine,
    pub(crate) name: EngineName,
    pub(crate) zone: usize,
    pub(crate) up: bool,
    pub(crate) leaving_since: Option<Timestamp>,
    pub(crate) streams: BTreeMap<u64, Stream>,
    /// Limits the concurrent transfers of weights from this engine to others.
    pub(crate) upload_limiter: WeightStore,
    next_stream: u64,
    /// Time of the pending wake-up.
    wake_at: Option<Timestamp>,
}

impl SimEngine {
    pub(crate) fn new(engine: Engine, zone: usize, upload_limiter: WeightStore) -> Self {
        Self {
            name: engine.name().clone(),
            engine,
            zone,
            up: true,
            leaving_since: None,
            streams: BTreeMap::new(),
            upload_limiter,
            next_stream: 1,
            wake_at: None,
        }
    }
}

impl World {
    /// Starts a node's attempt on an engine. If the engine is down, unreachable or refuses the
    /// attempt, reports to the node that the attempt failed before it ran. `attempt_key` consists
    /// of the node's index, its instance and the attempt's id.
    pub(crate) fn submit(
        &mut self,
        index: usize,
        attempt_key: (usize, u64, AttemptId),
        request: Option<RequestId>,
        call: EngineCall,
    ) {
        let (node, instance, attempt) = attempt_key;
        let now = self.now;
        let connected = self
            .network
            .connects(self.nodes[node].zone, self.engines[index].zone);
        let engine = &mut self.engines[index];
        let mut not_started = !engine.up || !connected;
        let id = engine.next_stream;
        if !not_started {
            engine.next_stream += 1;
            not_started = engine.engine.submit(id, call.clone(), now).is_err();
        }
        if not_started {
            let update = AttemptUpdate::Failed {
                generated: call.resume,
                not_run: true,
            };
            self.report_attempt(node, instance, attempt, index, update);
            return;
        }
        self.oracle.check_new_work(now, engine.leaving_since);
        let stream = Stream {
            node,
            instance,
            attempt,
            generated: call.resume.clone(),
            reported: None,
            seed: call.seed,
        };
        engine.streams.insert(id, stream);
        if let Some(request) = request {
            self.mark_started(node, instance, request);
        }
        self.schedule_wake(index);
    }

    /// Schedules a wake-up for the engine's next event, unless an earlier one is pending.
    pub(crate) fn schedule_wake(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        let Some(next) = engine.engine.next_event() else {
            return;
        };
        // A wake-up lies in the future even if the event is already due, so that simulated time
        // always advances between two wake-ups.
        let earliest = self.now + Duration::from_micros(100);
        let at = next.max(earliest);
        if engine
            .wake_at
            .is_none_or(|planned| at < planned || planned <= self.now)
        {
            engine.wake_at = Some(at);
            self.queue.push(at, SimEvent::EngineWake(index, at));
        }
    }

    pub(crate) fn engine_woke(&mut self, index: usize, planned: Timestamp) {
        if self.engines[index].wake_at != Some(planned) {
            return;
        }
        self.engines[index].wake_at = None;
        if self.engines[index].up {
            self.advance_engine(index);
            self.schedule_wake(index);
        }
    }

    fn advance_engine(&mut self, index: usize) {
        let events = self.engines[index].engine.advance(self.now);
        for event in events {
            match event {
                EngineEvent::Tokens {
                    id, count, version, ..
                } => {
                    self.tokens_generated(index, id, count, version);
                }
                EngineEvent::Finished { id, reason } => {
                    let Some(stream) = self.engines[index].streams.remove(&id) else {
                        continue;
                    };
                    let generated = stream.generated;
                    let update = AttemptUpdate::Finished { generated, reason };
                    self.report_attempt(
                        stream.node,
                        stream.instance,
                        stream.attempt,
                        index,
                        update,
                    );
                }
            }
        }
    }

    fn tokens_generated(&mut self, index: usize, id: u64, count: u32, version: WeightVersion) {
        let engine = &mut self.engines[index];
        let Some(stream) = engine.streams.get_mut(&id) else {
            return;
        };
        let text = format!("{:x}@{}:{count};", stream.seed, version.0);
        append_tokens(&mut stream.generated, version, count, &text);
        if stream.reported != Some(version) {
            stream.reported = Some(version);
            let (node, instance, attempt) = (stream.node, stream.instance, stream.attempt);
            let update = AttemptUpdate::Progress { oldest: version };
            self.report_attempt(node, instance, attempt, index, update);
        }
    }

    /// Sends an update on an attempt to its node. If the zones are partitioned, a finished attempt
    /// is reported as failed; all other updates still arrive.
    fn report_attempt(
        &mut self,
        node: usize,
        instance: u64,
        attempt: AttemptId,
        engine: usize,
        update: AttemptUpdate,
    ) {
        let from = self.engines[engine].zone;
        let to = self.nodes[node].zone;
        let connects = self.network.connects(from, to);
        let update = match update {
            AttemptUpdate::Finished { .. } if !connects => AttemptUpdate::Failed {
                generated: Partial::default(),
                not_run: false,
            },
            update => update,
        };
        let at = self.now + self.network.delay(from, to);
        let event = Event::Attempt { attempt, update };
        self.queue
            .push(at, SimEvent::NodeEvent(node, instance, Box::new(event)));
    }

    /// Closes the streams for which `should_close` returns `true` and cancels their requests.
    pub(crate) fn close_streams(&mut self, should_close: impl Fn(&Stream) -> bool) {
        let now = self.now;
        for index in 0..self.engines.len() {
            let engine = &mut self.engines[index];
            let closed: Vec<u64> = engine
                .streams
                .iter()
                .filter(|(_, stream)| should_close(stream))
                .map(|(id, _)| *id)
                .collect();
            for id in closed {
                engine.streams.remove(&id);
                engine.engine.cancel(id, now);
            }
        }
    }

    /// Breaks all streams of an engine and reports their attempts as failed.
    pub(crate) fn break_streams(&mut self, index: usize) {
        let streams = std::mem::take(&mut self.engines[index].streams);
        for stream in streams.into_values() {
            let generated = stream.generated;
            let update = AttemptUpdate::Failed {
                generated,
                not_run: false,
            };
            self.report_attempt(stream.node, stream.instance, stream.attempt, index, update);
        }
    }

    /// Polls an engine for a node. If the engine is unreachable, the node receives an event
    /// without a report after [`CALL_TIMEOUT`].
    pub(crate) fn poll(&mut self, node: usize, instance: u64, name: &EngineName) {
        let Some(index) = self.engine_index(name) else {
            return;
        };
        let asked_at = self.now;
        let zone = self.nodes[node].zone;
        let reachable =
            self.engines[index].up && self.network.connects(zone, self.engines[index].zone);
        let delay = self.network.delay(zone, self.engines[index].zone);
        let (report, after) = if reachable {
            let report = self.engines[index].engine.report(self.now);
            (Some(Box::new(report)), delay * 2)
        } else {
            (None, CALL_TIMEOUT)
        };
        let engine = name.clone();
        let event = Event::EngineReport {
            engine,
            asked_at,
            report,
        };
        let at = self.now + after;
        self.queue
            .push(at, SimEvent::NodeEvent(node, instance, Box::new(event)));
    }

    /// Passes a node's order to an engine and schedules the outcome for the node.
    pub(crate) fn order(
        &mut self,
        node: usize,
        instance: u64,
        name: &EngineName,
        order: EngineOrder,
    ) {
        let Some(index) = self.engine_index(name) else {
            return;
        };
        let zone = self.nodes[node].zone;
        let reachable =
            self.engines[index].up && self.network.connects(zone, self.engines[index].zone);
        let delay = self.network.delay(zone, self.engines[index].zone);
        let (outcome, after) = if reachable {
            let transfer = match &order.command {
                Command::Claim => Ok(Duration::ZERO),
                Command::Load {
                    model,
                    version,
                    source,
                    ..
                } => self.begin_transfer(index, model, *version, source),
            };
            let outcome = self.engines[index].engine.order(&order, transfer, self.now);
            self.schedule_wake(index);
            (outcome, delay * 2)
        } else {
            (OrderOutcome::Unreachable, CALL_TIMEOUT)
        };
        let engine = name.clone();
        let event = Event::EngineOrdered {
            engine,
            order,
            outcome,
        };
        let at = self.now + after;
        self.queue
            .push(at, SimEvent::NodeEvent(node, instance, Box::new(event)));
    }

    /// Reserves a transfer slot at the source of the weights and returns the transfer time.
    fn begin_transfer(
        &mut self,
        index: usize,
        model: &ModelName,
        version: WeightVersion,
        source: &WeightSource,
    ) -> Result<Duration, OrderOutcome> {
        let now = self.now;
        let transfer = match source {
            WeightSource::Store => self.platform.weights.begin(now),
            WeightSource::Peer { engine, .. } => {
                let from = self.engine_index(engine).ok_or(OrderOutcome::SourceGone)?;
                let connects = self
                    .network
                    .connects(self.engines[from].zone, self.engines[index].zone);
                let source = &mut self.engines[from];
                let has_version = source.engine.models().get(model) == Some(&version);
                if !source.up || !connects {
                    return Err(OrderOutcome::SourceGone);
                }
                if !has_version {
                    return Err(OrderOutcome::SourceBusy);
                }
                source.upload_limiter.begin(now)
            }
        };
        match transfer {
            Transfer::Begun(time) => Ok(time),
            Transfer::Busy => Err(OrderOutcome::SourceBusy),
        }
    }

    /// Number of open requests on a node, not counting those of trainers.
    pub(crate) fn requests_at(&self, node: usize, instance: u64) -> usize {
        let open = self
            .clients
            .open
            .iter()
            .filter(|((open_node, open_instance, _), origin)| {
                *open_node == node
                    && *open_instance == instance
                    && !matches!(origin, Origin::Trainer(..))
            });
        open.count()
    }
}
