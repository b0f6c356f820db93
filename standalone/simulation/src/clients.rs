//! Client requests to the nodes, and their answers.

use crate::world::{SimEvent, World};
use brasspond_control::{Event, Reply, RequestId};
use brasspond_rollout::Partial;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// One-way delay between a client and a node.
const CLIENT_DELAY: Duration = Duration::from_millis(1);

/// Sender of a request, with the number of the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Origin {
    Trainer(usize, u64),
    Caller(u64),
    Loan(u64),
    Operator(u64),
}

/// Key of a request at a node: node index, process instance and request number.
pub(crate) type RequestKey = (usize, u64, RequestId);

/// Open client requests and what was recorded about them.
#[derive(Debug, Default)]
pub(crate) struct Clients {
    pub(crate) open: BTreeMap<RequestKey, Origin>,
    /// Output of finished attempts, by request.
    pub(crate) answers: BTreeMap<RequestKey, Partial>,
    /// Senders of requests that an engine has started.
    pub(crate) started: BTreeSet<Origin>,
    next: u64,
}

impl World {
    /// Sends a request to a node. Returns `false` if no process runs on the node.
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
            SimEvent::NodeEvent(node, instance, event),
        );
        true
    }

    /// Passes a node's reply on to the client.
    pub(crate) fn reply(&mut self, node: usize, instance: u64, request: RequestId, reply: Reply) {
        let key = (node, instance, request);
        let Some(origin) = self.clients.open.remove(&key) else {
            return;
        };
        if let Origin::Loan(call) = origin {
            self.claim_decided(key, call, reply);
            return;
        }
        let answer = self.clients.answers.remove(&key);
        self.answer_client(origin, Some((reply, answer)));
    }

    /// Sends an answer to a client; `None` reports a broken connection. A lost answer also appears
    /// to the client as a broken connection.
    pub(crate) fn answer_client(
        &mut self,
        origin: Origin,
        answer: Option<(Reply, Option<Partial>)>,
    ) {
        let lost = self.draw(self.client_loss);
        let answer = answer.filter(|_| !lost);
        let event = SimEvent::ClientAnswer(origin, answer.map(Box::new));
        self.queue.push(self.now + CLIENT_DELAY, event);
    }

    /// Breaks all client connections to a node process.
    pub(crate) fn break_requests(&mut self, node: usize, instance: u64) {
        let broken: Vec<(RequestKey, Origin)> = self
            .clients
            .open
            .iter()
            .filter(|((open_node, open_instance, _), _)| {
                *open_node == node && *open_instance == instance
            })
            .map(|(key, origin)| (*key, *origin))
            .collect();
        for (key, origin) in broken {
            self.clients.open.remove(&key);
            self.answer_client(origin, None);
        }
    }

    /// Records that an engine has started a request.
    pub(crate) fn mark_started(&mut self, node: usize, instance: u64, request: RequestId) {
        if let Some(origin) = self.clients.open.get(&(node, instance, request)) {
            self.clients.started.insert(*origin);
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
            Origin::Loan(call) => self.loan_answered(call, answer.map(|(reply, _)| reply)),
            Origin::Operator(call) => self.operator_answered(call, answer.map(|(reply, _)| reply)),
        }
    }
}
