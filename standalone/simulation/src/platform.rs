//! The simulated platform: object store and weight store.

use crate::config::WorldConfig;
use brasspond_control::{PutResult, StoreCall, StoreEvent, WriteOperation};
use brasspond_emulator::{ObjectStore, StoreError, WeightStore};
use std::time::Duration;

/// Delay of an answer from the object store.
const ANSWER_DELAY: Duration = Duration::from_millis(5);
/// Delay of an answer while the object store is slow.
const SLOW_ANSWER_DELAY: Duration = Duration::from_millis(1_500);
/// Delay until a call fails while the object store is down.
const FAILURE_DELAY: Duration = Duration::from_millis(50);

/// The object store, the weight store, and the faults of the object store.
pub(crate) struct Platform {
    pub(crate) store: ObjectStore,
    pub(crate) weights: WeightStore,
    pub(crate) down: bool,
    pub(crate) slow: bool,
    pub(crate) loses_answers: bool,
}

/// Answer of the object store and its delay. A pending watch has no event yet.
pub(crate) struct Answer {
    pub(crate) event: Option<StoreEvent>,
    pub(crate) after: Duration,
}

impl Platform {
    pub(crate) fn new(config: &WorldConfig) -> Self {
        Self {
            store: ObjectStore::default(),
            weights: WeightStore::new(config.weight_slots, config.weight_transfer),
            down: false,
            slow: false,
            loses_answers: false,
        }
    }

    /// Executes a call on the object store.
    pub(crate) fn call(&mut self, call: StoreCall) -> Answer {
        let after = if self.slow {
            SLOW_ANSWER_DELAY
        } else {
            ANSWER_DELAY
        };
        if self.down {
            return Answer {
                event: Some(failed_event(&call, PutResult::NotSent)),
                after: FAILURE_DELAY,
            };
        }
        let event = match call {
            StoreCall::List => Some(StoreEvent::Listed(Box::new(self.store.catalogue().clone()))),
            StoreCall::Watch(from) => {
                let changes = self.store.changes_after(from);
                (!changes.is_empty()).then_some(StoreEvent::Changed(changes))
            }
            StoreCall::Write {
                write,
                operation,
                expected,
            } => {
                let result = self.write(operation, expected);
                let result = if self.loses_answers {
                    PutResult::Lost
                } else {
                    result
                };
                Some(StoreEvent::Written { write, result })
            }
            StoreCall::Find { write, key } => {
                let object = self.store.get(&key).cloned().map(Box::new);
                Some(StoreEvent::Found {
                    write,
                    object: Some(object),
                })
            }
        };
        Answer { event, after }
    }

    fn write(
        &mut self,
        operation: WriteOperation,
        expected: Option<brasspond_resource::Revision>,
    ) -> PutResult {
        let result = match operation {
            WriteOperation::Put(object) => self.store.put(*object, expected),
            WriteOperation::Remove(key) => self.store.remove(&key, expected),
        };
        match result {
            Ok(revision) => PutResult::Done(revision),
            Err(StoreError::Conflict | StoreError::NotFound) => PutResult::Conflict,
        }
    }
}

/// Builds the event that reports a failed call; `written` is the result of a failed write.
pub(crate) fn failed_event(call: &StoreCall, written: PutResult) -> StoreEvent {
    match call {
        StoreCall::List | StoreCall::Watch(_) => StoreEvent::ReadFailed,
        StoreCall::Write { write, .. } => StoreEvent::Written {
            write: *write,
            result: written,
        },
        StoreCall::Find { write, .. } => StoreEvent::Found {
            write: *write,
            object: None,
        },
    }
}
