//! Writes to the store, with recovery from lost answers.
//!
//! Every write has an identity and the version that it replaces. If the answer
//! is lost, the object is read back. If the object has the write's identity, the
//! write took effect. If it still has the replaced version, the write is sent
//! again, which is safe since the version check admits the write at most once.

use crate::context::Context;
use crate::event::{Action, PutResult, Reply, RequestId, StoreCall, WriteOperation, WriteReply};
use brasspond_resource::{Object, ObjectKey, Revision};
use brasspond_types::{Mutation, Timestamp, stable_hash};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a write without a known outcome is answered with [`WriteReply::Unknown`].
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two attempts to read back the object of a write.
const READ_BACK_PERIOD: Duration = Duration::from_millis(300);

/// A write whose outcome is not known yet.
#[derive(Debug)]
struct Write {
    request: Option<RequestId>,
    operation: WriteOperation,
    expected: Option<Revision>,
    identity: u64,
    started: Timestamp,
    answer_lost: bool,
    read_back_at: Option<Timestamp>,
}

impl Write {
    fn key(&self) -> ObjectKey {
        match &self.operation {
            WriteOperation::Put(object) => object.key(),
            WriteOperation::Remove(key) => key.clone(),
        }
    }
}

/// The writes in flight at this node.
#[derive(Debug, Default)]
pub(crate) struct Writes {
    in_flight: BTreeMap<u64, Write>,
    next_number: u64,
}

impl Writes {
    /// Whether no write is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Whether a write of the node itself, without an operator's request, is in flight.
    pub(crate) fn has_internal(&self) -> bool {
        self.in_flight.values().any(|write| write.request.is_none())
    }

    /// Begins a write. The outcome is reported to `request`, if any.
    pub(crate) fn begin(
        &mut self,
        request: Option<RequestId>,
        mut operation: WriteOperation,
        expected: Option<Revision>,
        context: &mut Context<'_>,
    ) {
        self.next_number += 1;
        let number = self.next_number;
        let parts = [
            context.node_name.as_str().as_bytes(),
            &context.instance.to_le_bytes(),
            &number.to_le_bytes(),
        ];
        let identity = stable_hash(&parts) | 1;
        if let WriteOperation::Put(object) = &mut operation {
            object.metadata.write_id = identity;
        }
        let write = Write {
            request,
            operation,
            expected,
            identity,
            started: context.now,
            answer_lost: false,
            read_back_at: None,
        };
        self.in_flight.insert(number, write);
        self.send(number, context);
    }

    fn send(&mut self, number: u64, context: &mut Context<'_>) {
        if let Some(write) = self.in_flight.get(&number) {
            let call = StoreCall::Write {
                write: number,
                operation: write.operation.clone(),
                expected: write.expected,
            };
            context.actions.push(Action::Store(call));
        }
    }

    fn finish(&mut self, number: u64, reply: WriteReply, context: &mut Context<'_>) {
        let write = self.in_flight.remove(&number);
        if let Some(request) = write.and_then(|write| write.request) {
            context.reply(request, Reply::Write(reply));
        }
    }

    /// Handles the result of a write.
    pub(crate) fn handle_result(
        &mut self,
        number: u64,
        result: PutResult,
        context: &mut Context<'_>,
    ) {
        let Some(write) = self.in_flight.get_mut(&number) else {
            return;
        };
        let reports_not_written = context.parameters.mutations.is_on(Mutation::ClaimNotRun);
        match result {
            PutResult::Lost if reports_not_written => {
                self.finish(number, WriteReply::NotWritten, context)
            }
            PutResult::Done(revision) => {
                self.finish(number, WriteReply::Accepted(revision), context);
            }
            PutResult::Conflict if !write.answer_lost => {
                self.finish(number, WriteReply::Conflict, context);
            }
            PutResult::NotSent if !write.answer_lost => {
                self.finish(number, WriteReply::NotWritten, context);
            }
            PutResult::Conflict | PutResult::NotSent | PutResult::Lost => {
                write.answer_lost = true;
                write.read_back_at = Some(context.now + READ_BACK_PERIOD);
            }
        }
    }

    /// Handles the read-back of a write whose answer was lost; `object` is `None` if
    /// the store did not answer.
    pub(crate) fn handle_read_back(
        &mut self,
        number: u64,
        object: Option<Option<Box<Object>>>,
        context: &mut Context<'_>,
    ) {
        let Some(write) = self.in_flight.get_mut(&number) else {
            return;
        };
        let Some(object) = object else {
            write.read_back_at = Some(context.now + READ_BACK_PERIOD);
            return;
        };
        let is_removal = matches!(write.operation, WriteOperation::Remove(_));
        let version = object
            .as_ref()
            .map(|object| object.metadata.resource_version);
        let took_effect = object
            .as_ref()
            .is_some_and(|object| object.metadata.write_id == write.identity);
        if took_effect {
            let revision = version.unwrap_or_default();
            self.finish(number, WriteReply::Accepted(revision), context);
        } else if is_removal && object.is_none() {
            self.finish(number, WriteReply::Unknown, context);
        } else if write.expected == Some(version.unwrap_or_default()) {
            self.send(number, context);
        } else {
            // Another write replaced the object; this one may have taken effect before it.
            self.finish(number, WriteReply::Unknown, context);
        }
    }

    /// Reads back the objects that are due and ends writes after [`OUTCOME_TIMEOUT`].
    pub(crate) fn tick(&mut self, context: &mut Context<'_>) {
        let numbers: Vec<u64> = self.in_flight.keys().copied().collect();
        for number in numbers {
            let Some(write) = self.in_flight.get_mut(&number) else {
                continue;
            };
            if context.now.since(write.started) >= OUTCOME_TIMEOUT {
                self.finish(number, WriteReply::Unknown, context);
                continue;
            }
            if write.read_back_at.is_some_and(|at| at <= context.now) {
                write.read_back_at = None;
                let key = write.key();
                let call = StoreCall::Find { write: number, key };
                context.actions.push(Action::Store(call));
            }
        }
    }
}
