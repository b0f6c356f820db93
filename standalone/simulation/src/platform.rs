//! The simulated platform: object store and weight store.

use crate::config::WorldConfig;
use brasspond_control::{PutResult, StoreCall, StoreEvent, WriteOperation};
use brasspond_emulator::{ObjectStore, StoreError, WeightStore};
use std::time::Duration;

/// Time an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(5);
/// Time an answer takes while the store is slow.
const SLOW_TIME: Duration = Duration::from_millis(1_500);
/// Time after which a call to a store that is down fails.
const FAILURE_TIME: Duration = Duration::from_millis(50);

/// The platform.
pub(crate) struct Platform {
    pub(crate) store: ObjectStore,
    pub(crate) weights: WeightStore,
    pub(crate) down: bool,
    pub(crate) slow: bool,
    pub(crate) loses_answers: bool,
}

/// Answer of the store and the time it takes; no event for a watch that waits.
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

    /// Carries out a call as it reaches the store.
    pub(crate) fn call(&mut self, call: StoreCall) -> Answer {
        let after = if self.slow { SLOW_TIME } else { ANSWER_TIME };
        if self.down {
            return Answer {
                event: Some(failed(&call, PutResult::NotSent)),
                after: FAILURE_TIME,
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

/// How a call fails; `written` is the fate of a write.
pub(crate) fn failed(call: &StoreCall, written: PutResult) -> StoreEvent {
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
