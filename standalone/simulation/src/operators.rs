//! Simulated operators that change the shares of groups, sometimes concurrently.

use crate::clients::Origin;
use crate::world::{SimEvent, World};
use brasspond_control::{Event, Reply, WriteOperation, WriteReply};
use brasspond_dissemination::Operation;
use brasspond_resource::{Kind, Object, ObjectKey, Revision, Spec};
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Difference between the shares of successive writes, which makes each write identifiable.
const SHARE_STEP: f64 = 1e-6;

/// Open writes, with the share that each one writes.
#[derive(Debug, Default)]
pub(crate) struct Operators {
    writes: BTreeMap<u64, f64>,
    next: u64,
}

impl World {
    /// Changes the share of a random group. With `racing`, two writes start from the same resource
    /// version.
    pub(crate) fn operator_writes(&mut self, racing: bool) {
        let group = self.random.random_range(0..self.config.groups.len());
        let key = ObjectKey {
            kind: Kind::ResearchGroup,
            name: self.config.groups[group].name.clone(),
        };
        let reader = self.random.random_range(0..self.nodes.len());
        let seen = self.nodes[reader]
            .control()
            .and_then(|control| control.catalogue().get(&key));
        let Some(seen) = seen.cloned() else {
            return;
        };
        for _ in 0..if racing { 2 } else { 1 } {
            self.write_share(&seen, group);
        }
    }

    fn write_share(&mut self, seen: &Object, group: usize) {
        self.operators.next += 1;
        let call = self.operators.next;
        let share = self.config.groups[group].share + call as f64 * SHARE_STEP;
        let mut object = seen.clone();
        if let Spec::ResearchGroup(spec) = &mut object.spec {
            spec.share = share;
        }
        let expected = Some(seen.metadata.resource_version);
        let node = self.random.random_range(0..self.nodes.len());
        let operation = WriteOperation::Put(Box::new(object));
        let sent = self.send_request(node, Origin::Operator(call), |request| Event::Write {
            request,
            operation,
            expected,
        });
        if sent {
            self.operators.writes.insert(call, share);
        }
    }

    /// Stops the periodic writes of the operators.
    pub(crate) fn stop_operators(&mut self) {
        self.config.operator_period = Duration::ZERO;
    }

    pub(crate) fn operator_ticks(&mut self) {
        let period = self.config.operator_period;
        if period > Duration::ZERO {
            self.queue.push(self.now + period, SimEvent::OperatorTick);
            self.operator_writes(false);
        }
    }

    /// Checks the reply to a write against the store's change log.
    pub(crate) fn operator_answered(&mut self, call: u64, reply: Option<Reply>) {
        let Some(share) = self.operators.writes.remove(&call) else {
            return;
        };
        let found = self.store_has_share(share);
        match reply {
            Some(Reply::Write(WriteReply::Accepted(_))) => {
                self.oracle.check_accepted(self.now, found);
            }
            Some(Reply::Write(WriteReply::Conflict | WriteReply::NotWritten)) => {
                self.oracle.check_refusal(self.now, true, found);
            }
            _ => {}
        }
    }

    fn store_has_share(&self, share: f64) -> bool {
        let changes = self.platform.store.changes_after(Revision(0));
        changes.iter().any(|change| match &change.operation {
            Operation::Put(object) => match &object.spec {
                Spec::ResearchGroup(spec) => (spec.share - share).abs() < SHARE_STEP / 10.0,
                _ => false,
            },
            Operation::Remove(_) => false,
        })
    }
}
