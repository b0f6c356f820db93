//! Reading the store: a few nodes watch it, a starting node may list it once.

use crate::context::Context;
use crate::event::{Action, StoreCall};
use brasspond_limits::Backoff;
use brasspond_resource::Revision;
use brasspond_types::Timestamp;
use std::time::Duration;

/// Time a starting node waits for its peers before it asks the store: more than three rounds of questions
/// to them (`ASK_REVISION_PERIOD`).
const ASK_PEERS_FIRST: Duration = Duration::from_millis(1_000);
/// Time after which an unanswered read counts as failed: longer than the 10 s that the store
/// client gives a watch, which then reports the failure itself.
const READ_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause after a failed read; not measured.
const FAILURE_BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(250),
    cap: Duration::from_secs(2),
};

/// The read this node has under way.
#[derive(Debug, Default)]
pub(crate) struct StoreReader {
    under_way: Option<Timestamp>,
    failures: u32,
    not_before: Timestamp,
    started: Option<Timestamp>,
}

impl StoreReader {
    /// A read ended well.
    pub(crate) fn succeeded(&mut self) {
        self.under_way = None;
        self.failures = 0;
    }

    /// A read failed.
    pub(crate) fn failed(&mut self, context: &mut Context<'_>) {
        self.under_way = None;
        self.failures += 1;
        let delay = FAILURE_BACKOFF.delay(self.failures, context.random);
        self.not_before = context.now + delay;
    }

    /// Begins a read if one is due. `known` is the newest revision here.
    pub(crate) fn tick(&mut self, known: Revision, is_ready: bool, context: &mut Context<'_>) {
        let now = context.now;
        let started = *self.started.get_or_insert(now);
        if self
            .under_way
            .is_some_and(|sent| now.since(sent) >= READ_TIMEOUT)
        {
            self.failed(context);
        }
        if self.under_way.is_some() || now < self.not_before {
            return;
        }
        let has_peers = context.working.members.len() > 1;
        let wait_for_peers = if has_peers {
            ASK_PEERS_FIRST
        } else {
            Duration::ZERO
        };
        if !is_ready && now.since(started) < wait_for_peers {
            return;
        }
        if is_ready && !context.working.reads_store {
            return;
        }
        self.under_way = Some(now);
        let call = if is_ready && known > Revision::default() {
            StoreCall::Watch(known)
        } else {
            StoreCall::List
        };
        context.actions.push(Action::Store(call));
    }
}
