//! Writes to the store, also when an answer is lost.
//!
//! Every write carries an identity of its own and the version it replaces. If
//! the answer is lost the object is read back: it carries the identity if the
//! write took effect; if it still has the replaced version the write is sent
//! again, which is safe since the version admits it at most once.

use crate::context::Context;
use crate::event::{Action, PutResult, Reply, RequestId, StoreCall, WriteOperation, WriteReply};
use brasspond_resource::{Object, ObjectKey, Revision};
use brasspond_types::{Mutation, Timestamp, stable_hash};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which the fate of a write is given up on and its caller is answered `unknown`;
/// not measured.
const FATE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two attempts to learn the fate of a write; not measured.
const FATE_RETRY: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct Write {
    request: Option<RequestId>,
    operation: WriteOperation,
    expected: Option<Revision>,
    identity: u64,
    started: Timestamp,
    was_lost: bool,
    find_at: Option<Timestamp>,
}

impl Write {
    fn key(&self) -> ObjectKey {
        match &self.operation {
            WriteOperation::Put(object) => object.key(),
            WriteOperation::Remove(key) => key.clone(),
        }
    }
}

/// Writes under way.
#[derive(Debug, Default)]
pub(crate) struct Writes {
    under_way: BTreeMap<u64, Write>,
    next: u64,
}

impl Writes {
    /// Whether no write is under way.
    pub(crate) fn is_idle(&self) -> bool {
        self.under_way.is_empty()
    }

    /// Whether a write is under way that no operator asked for.
    pub(crate) fn has_own(&self) -> bool {
        self.under_way.values().any(|write| write.request.is_none())
    }

    /// Begins a write; without a request nobody is answered how it ended.
    pub(crate) fn begin(
        &mut self,
        request: Option<RequestId>,
        mut operation: WriteOperation,
        expected: Option<Revision>,
        context: &mut Context<'_>,
    ) {
        self.next += 1;
        let number = self.next;
        let parts = [
            context.me.as_str().as_bytes(),
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
            was_lost: false,
            find_at: None,
        };
        self.under_way.insert(number, write);
        self.send(number, context);
    }

    fn send(&mut self, number: u64, context: &mut Context<'_>) {
        if let Some(write) = self.under_way.get(&number) {
            let call = StoreCall::Write {
                write: number,
                operation: write.operation.clone(),
                expected: write.expected,
            };
            context.actions.push(Action::Store(call));
        }
    }

    fn finish(&mut self, number: u64, reply: WriteReply, context: &mut Context<'_>) {
        let write = self.under_way.remove(&number);
        if let Some(request) = write.and_then(|write| write.request) {
            context.reply(request, Reply::Write(reply));
        }
    }

    /// The store answered a write, or did not.
    pub(crate) fn written(&mut self, number: u64, result: PutResult, context: &mut Context<'_>) {
        let Some(write) = self.under_way.get_mut(&number) else {
            return;
        };
        let lies = context.parameters.mutations.is_on(Mutation::ClaimNotRun);
        match result {
            PutResult::Lost if lies => self.finish(number, WriteReply::NotWritten, context),
            PutResult::Done(revision) => {
                self.finish(number, WriteReply::Accepted(revision), context);
            }
            PutResult::Conflict if !write.was_lost => {
                self.finish(number, WriteReply::Conflict, context);
            }
            PutResult::NotSent if !write.was_lost => {
                self.finish(number, WriteReply::NotWritten, context);
            }
            PutResult::Conflict | PutResult::NotSent | PutResult::Lost => {
                write.was_lost = true;
                write.find_at = Some(context.now + FATE_RETRY);
            }
        }
    }

    /// The object of a write whose answer was lost was read back.
    pub(crate) fn found(
        &mut self,
        number: u64,
        object: Option<Option<Box<Object>>>,
        context: &mut Context<'_>,
    ) {
        let Some(write) = self.under_way.get_mut(&number) else {
            return;
        };
        let Some(object) = object else {
            write.find_at = Some(context.now + FATE_RETRY);
            return;
        };
        let is_removal = matches!(write.operation, WriteOperation::Remove(_));
        let version = object
            .as_ref()
            .map(|object| object.metadata.resource_version);
        let is_ours = object
            .as_ref()
            .is_some_and(|object| object.metadata.write_id == write.identity);
        if is_ours {
            let revision = version.unwrap_or_default();
            self.finish(number, WriteReply::Accepted(revision), context);
        } else if is_removal && object.is_none() {
            self.finish(number, WriteReply::Unknown, context);
        } else if write.expected == Some(version.unwrap_or_default()) {
            self.send(number, context);
        } else {
            // Somebody else has written since; ours may have come before it.
            self.finish(number, WriteReply::Unknown, context);
        }
    }

    /// Reads back what is due, and gives up in time.
    pub(crate) fn tick(&mut self, context: &mut Context<'_>) {
        let numbers: Vec<u64> = self.under_way.keys().copied().collect();
        for number in numbers {
            let Some(write) = self.under_way.get_mut(&number) else {
                continue;
            };
            if context.now.since(write.started) >= FATE_TIMEOUT {
                self.finish(number, WriteReply::Unknown, context);
                continue;
            }
            if write.find_at.is_some_and(|at| at <= context.now) {
                write.find_at = None;
                let key = write.key();
                let call = StoreCall::Find { write: number, key };
                context.actions.push(Action::Store(call));
            }
        }
    }
}
