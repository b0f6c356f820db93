//! Execution of the nodes' actions, and calls to the object store.

use crate::clients::Origin;
use crate::platform::failed_event;
use crate::world::{SimEvent, World};
use brasspond_control::{Action, Event, PutResult, StoreCall, StoreEvent};
use brasspond_protocol::Envelope;
use brasspond_resource::Revision;
use brasspond_types::EngineName;
use std::time::Duration;

/// Timeout of calls to an unreachable store. It equals `CALL_TIMEOUT` of the real node's store
/// client.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time that a watch waits for changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);
/// One-way delay to the store.
const STORE_DELAY: Duration = Duration::from_millis(1);

/// Probability that a node skips writing a configuration to disk, as if a newer one had replaced it
/// before the write.
const SKIPPED_WRITE_PROBABILITY: f64 = 0.3;

/// A pending watch on the object store.
pub(crate) struct Watcher {
    node: usize,
    instance: u64,
    from: Revision,
    number: u64,
}

impl World {
    pub(crate) fn engine_index(&self, name: &EngineName) -> Option<usize> {
        self.engine_indices.get(name).copied()
    }

    pub(crate) fn apply(&mut self, node: usize, instance: u64, action: Action) {
        let zone = self.nodes[node].zone;
        match action {
            Action::Send {
                to,
                envelope,
                address,
            } => {
                let target = self.node_indices.get(&to).copied();
                if let Some(target) = target.or_else(|| self.node_at(address)) {
                    self.send_datagram(zone, target, &envelope);
                }
            }
            Action::StartAttempt {
                attempt,
                request,
                engine,
                call,
                ..
            } => {
                let Some(index) = self.engine_index(&engine) else {
                    return;
                };
                if let Some(request) = request {
                    self.nodes[node].attempt_requests.insert(attempt, request);
                }
                let delay = self.network.delay(zone, self.engines[index].zone);
                let attempt_key = (node, instance, attempt);
                let event = SimEvent::Submit(index, attempt_key, request, call);
                self.queue.push(self.now + delay, event);
            }
            Action::CancelAttempt(attempt) => {
                self.close_streams(|stream| {
                    (stream.node, stream.instance, stream.attempt) == (node, instance, attempt)
                });
            }
            Action::PollEngine { engine, .. } => self.poll(node, instance, &engine),
            Action::OrderEngine { engine, order, .. } => self.order(node, instance, &engine, order),
            Action::Reply { request, reply } => self.reply(node, instance, request, reply),
            Action::Store(call) => {
                let event = SimEvent::StoreCalled(node, instance, Box::new(call));
                self.queue.push(self.now + STORE_DELAY, event);
            }
            Action::InForce(_) => self.save_to_disk(node),
        }
    }

    /// Sends a message that may get lost, be delayed or arrive twice.
    fn send_datagram(&mut self, from_zone: usize, to: usize, envelope: &Envelope) {
        let zone = self.nodes[to].zone;
        let delays = self.network.datagram(from_zone, zone, &mut self.random);
        for delay in delays {
            let arrival = SimEvent::MessageArrives(to, Box::new(envelope.clone()));
            self.queue.push(self.now + delay, arrival);
        }
    }

    fn save_to_disk(&mut self, node: usize) {
        let skips_write = self.draw(SKIPPED_WRITE_PROBABILITY);
        let node = &mut self.nodes[node];
        let catalogue = node.control().map(|control| control.catalogue().clone());
        if node.has_disk && !skips_write {
            node.disk = catalogue;
        }
    }

    /// Executes a call to the object store. It fails if the zone is cut off from the platform.
    pub(crate) fn store_called(&mut self, node: usize, instance: u64, call: StoreCall) {
        let zone = self.nodes[node].zone;
        if !self.network.reaches_platform(zone) {
            let event = failed_event(&call, PutResult::Lost);
            self.store_answers(node, instance, event, UNREACHABLE_TIMEOUT);
            return;
        }
        let watched = match &call {
            StoreCall::Watch(from) => Some(*from),
            _ => None,
        };
        let before = self.platform.store.revision();
        let answer = self.platform.call(call);
        match (answer.event, watched) {
            (Some(event), _) => self.store_answers(node, instance, event, answer.after),
            (None, Some(from)) => {
                self.next_watch += 1;
                let number = self.next_watch;
                self.watchers.push(Watcher {
                    node,
                    instance,
                    from,
                    number,
                });
                self.queue
                    .push(self.now + WATCH_TIMEOUT, SimEvent::WatchTimeout(number));
            }
            (None, None) => {}
        }
        if self.platform.store.revision() > before {
            self.store_changed();
        }
    }

    fn store_answers(&mut self, node: usize, instance: u64, event: StoreEvent, after: Duration) {
        let event = Box::new(Event::Store(event));
        self.queue
            .push(self.now + after, SimEvent::NodeEvent(node, instance, event));
    }

    /// Sends the changes to all pending watches, unless the store is down.
    pub(crate) fn store_changed(&mut self) {
        if self.platform.down {
            return;
        }
        let delay_milliseconds = if self.platform.slow { 1_500 } else { 2 };
        for watcher in std::mem::take(&mut self.watchers) {
            let changes = self.platform.store.changes_after(watcher.from);
            let event = StoreEvent::Changed(changes);
            let after = Duration::from_millis(delay_milliseconds);
            self.store_answers(watcher.node, watcher.instance, event, after);
        }
    }

    /// Ends a watch after its timeout, with an empty list of changes, or with a read failure while
    /// the store is down.
    pub(crate) fn watch_timed_out(&mut self, number: u64) {
        let position = self
            .watchers
            .iter()
            .position(|watcher| watcher.number == number);
        if let Some(position) = position {
            let watcher = self.watchers.swap_remove(position);
            let event = if self.platform.down {
                StoreEvent::ReadFailed
            } else {
                StoreEvent::Changed(Vec::new())
            };
            self.store_answers(watcher.node, watcher.instance, event, STORE_DELAY);
        }
    }

    /// Whether a caller, not a trainer or an operator, has an open request on a node.
    pub(crate) fn is_caller_waiting(&self, node: usize, instance: u64) -> bool {
        self.clients
            .open
            .iter()
            .any(|((open_node, open_instance, _), origin)| {
                let is_caller = matches!(origin, Origin::Caller(_) | Origin::Loan(_));
                *open_node == node && *open_instance == instance && is_caller
            })
    }
}
