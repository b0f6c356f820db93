//! Callers that exist for a moment: bursts, and callers that read a large answer slowly.

use super::{CALLER_TIMEOUT, Callers, EdgeAddress, outcome_of};
use crate::history::{CallKind, CallRecord};
use brasspond_platform_standin::caller::{Caller, read_slowly};
use bytes::Bytes;
use std::sync::Arc;

/// Size of an answer that is read slowly, in bytes.
const SLOW_ANSWER_BYTES: usize = 900_000;

impl Callers {
    /// Returns the direct address of an edge, or `None` if a schedule names an edge that is not
    /// there.
    fn direct_edge(&self, edge: usize) -> Option<EdgeAddress> {
        let mut edges = self.edges.iter().filter(|to| !to.is_proxied);
        edges.find(|to| to.edge == edge).copied()
    }

    /// Sends `count` requests to an edge at once, each on a connection of its own.
    pub fn start_burst(self: &Arc<Self>, edge: usize, count: usize) {
        let Some(to) = self.direct_edge(edge) else {
            return;
        };
        for _ in 0..count {
            let callers = Arc::clone(self);
            tokio::spawn(async move {
                let mut caller = Caller::new(to.address);
                let path = format!("/reads/{}", callers.next_id_number());
                let body = Bytes::from(format!("body of {path}"));
                callers
                    .send(&mut caller, to, CallKind::Read, &path, body)
                    .await;
            });
        }
    }

    /// Sends a request for a large answer to an edge and reads the answer slowly but steadily.
    pub fn start_slow_reader(self: &Arc<Self>, edge: usize) {
        let Some(to) = self.direct_edge(edge) else {
            return;
        };
        tokio::spawn(Arc::clone(self).run_slow_reader(to));
    }

    async fn run_slow_reader(self: Arc<Self>, to: EdgeAddress) {
        let id = format!("call-{}", self.next_id_number());
        let sent_at = self.history.now();
        let response = read_slowly(to.address, &id, SLOW_ANSWER_BYTES, CALLER_TIMEOUT).await;
        let outcome = outcome_of(response, |answer_id, answer| {
            answer_id == id && answer.len() == SLOW_ANSWER_BYTES
        });
        self.history.record_call(CallRecord {
            id,
            kind: CallKind::Read,
            edge: to.edge,
            is_proxied: to.is_proxied,
            sent_at,
            ended_at: self.history.now(),
            outcome,
        });
    }
}
