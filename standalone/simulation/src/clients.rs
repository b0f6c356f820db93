//! Requests from outside to the nodes, and their answers.

use crate::world::{Happening, World};
use brasspond_control::{Event, Reply, RequestId};
use brasspond_rollout::Partial;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// One-way delay between a client and a node.
const CLIENT_DELAY: Duration = Duration::from_millis(1);

/// Who sent a request, with a number of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Origin {
    Trainer(usize, u64),
    Caller(u64),
    Once(u64),
    Operator(u64),
}

/// A request at a node: node, process, request.
pub(crate) type RequestKey = (usize, u64, RequestId);

/// All requests under way.
#[derive(Debug, Default)]
pub(crate) struct Clients {
    pub(crate) open: BTreeMap<RequestKey, Origin>,
    /// Whole answers that a node passed on, by request.
    pub(crate) answers: BTreeMap<RequestKey, Partial>,
    /// Requests of callers that an engine began.
    pub(crate) begun: BTreeSet<Origin>,
    next: u64,
}

impl World {
    /// Sends a request to a node; false if the node cannot be connected to.
    pub(crate) fn send_request(
        &mut self,
        node: usize,
        origin: Origin,
        build: impl FnOnce(RequestId) -> Event,
    ) -> bool {
        let Some(instance) = self.nodes[node].instance() else {
            return false;
        };
        self.clients.next += 1;
        let request = RequestId(self.clients.next);
        self.clients.open.insert((node, instance, request), origin);
        let event = Box::new(build(request));
        self.queue.push(
            self.now + CLIENT_DELAY,
            Happening::NodeEvent(node, instance, event),
        );
        true
    }

    /// A node answers a request; the answer may be lost on its way.
    pub(crate) fn reply(&mut self, node: usize, instance: u64, request: RequestId, reply: Reply) {
        let key = (node, instance, request);
        let Some(origin) = self.clients.open.remove(&key) else {
            return;
        };
        if let Origin::Once(call) = origin {
            self.once_decided(key, call, reply);
            return;
        }
        let answer = self.clients.answers.remove(&key);
        self.answer_client(origin, Some((reply, answer)));
    }

    /// Reports to a client the end of its request; none where the connection broke.
    pub(crate) fn answer_client(
        &mut self,
        origin: Origin,
        answer: Option<(Reply, Option<Partial>)>,
    ) {
        let lost = self.draw(self.client_loss);
        let answer = answer.filter(|_| !lost);
        let happening = Happening::ClientAnswer(origin, answer.map(Box::new));
        self.queue.push(self.now + CLIENT_DELAY, happening);
    }

    /// A node died: all connections to it break.
    pub(crate) fn break_requests(&mut self, node: usize, instance: u64) {
        let broken: Vec<(RequestKey, Origin)> = self
            .clients
            .open
            .iter()
            .filter(|((at, process, _), _)| *at == node && *process == instance)
            .map(|(key, origin)| (*key, *origin))
            .collect();
        for (key, origin) in broken {
            self.clients.open.remove(&key);
            self.answer_client(origin, None);
        }
    }

    /// An engine began a caller's request.
    pub(crate) fn mark_begun(&mut self, node: usize, instance: u64, request: RequestId) {
        if let Some(origin) = self.clients.open.get(&(node, instance, request)) {
            self.clients.begun.insert(*origin);
        }
    }

    pub(crate) fn client_answered(
        &mut self,
        origin: Origin,
        answer: Option<(Reply, Option<Partial>)>,
    ) {
        match origin {
            Origin::Trainer(index, call) => {
                self.trainer_answered(index, call, answer.map(|(reply, _)| reply));
            }
            Origin::Caller(call) => self.caller_answered(call, answer),
            Origin::Once(call) => self.once_answered(call, answer.map(|(reply, _)| reply)),
            Origin::Operator(call) => self.operator_answered(call, answer.map(|(reply, _)| reply)),
        }
    }
}
