//! Reads of the store: a few nodes watch it for changes, and a starting node lists all objects if
//! its peers do not make it ready in time.

use crate::context::Context;
use crate::event::{Action, StoreCall};
use brasspond_limits::Backoff;
use brasspond_resource::Revision;
use brasspond_types::Timestamp;
use std::time::Duration;

/// Time for which a starting node waits for its peers before it reads the store: more than three
/// rounds of revision queries.
const PEER_ANSWER_PERIOD: Duration = Duration::from_millis(1_000);
/// Time after which an unanswered read counts as failed, longer than the store client's timeout
/// of a watch (10 s).
const READ_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay after a failed read.
const FAILURE_BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(250),
    cap: Duration::from_secs(2),
};

/// State of this node's reads of the store.
#[derive(Debug, Default)]
pub(crate) struct StoreReader {
    /// Start of the read in progress, if any.
    read_started: Option<Timestamp>,
    failures: u32,
    retry_at: Timestamp,
    first_tick: Option<Timestamp>,
}

impl StoreReader {
    /// Records a successful read.
    pub(crate) fn record_success(&mut self) {
        self.read_started = None;
        self.failures = 0;
    }

    /// Records a failed read and delays the next one.
    pub(crate) fn record_failure(&mut self, context: &mut Context<'_>) {
        self.read_started = None;
        self.failures += 1;
        let delay = FAILURE_BACKOFF.delay(self.failures, context.random);
        self.retry_at = context.now + delay;
    }

    /// Begins a read if one is due. `known` is the newest revision at this node.
    pub(crate) fn tick(&mut self, known: Revision, is_ready: bool, context: &mut Context<'_>) {
        let now = context.now;
        let first_tick = *self.first_tick.get_or_insert(now);
        if self
            .read_started
            .is_some_and(|sent| now.since(sent) >= READ_TIMEOUT)
        {
            self.record_failure(context);
        }
        if self.read_started.is_some() || now < self.retry_at {
            return;
        }
        let has_peers = context.working.members.len() > 1;
        let peer_wait = if has_peers {
            PEER_ANSWER_PERIOD
        } else {
            Duration::ZERO
        };
        if !is_ready && now.since(first_tick) < peer_wait {
            return;
        }
        if is_ready && !context.working.reads_store {
            return;
        }
        self.read_started = Some(now);
        let call = if is_ready && known > Revision::default() {
            StoreCall::Watch(known)
        } else {
            StoreCall::List
        };
        context.actions.push(Action::Store(call));
    }
}
