//! Channels between the HTTP handlers and the decisions thread.

use crate::view::View;
use brasspond_control::{Event, Reply, RequestId};
use brasspond_engine_api::AttemptUpdate;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// Time between two attempts to add an event to a full queue.
const FULL_QUEUE_WAIT: Duration = Duration::from_millis(1);
/// Pieces of an answer buffered per request for a slow caller.
const PIECE_BUFFER: usize = 64;

/// A part of an answer, streamed from an engine to a caller.
#[derive(Clone, Debug)]
pub(crate) struct Piece {
    pub(crate) text: String,
    pub(crate) version: u64,
    pub(crate) tokens: u32,
    pub(crate) finish_reason: Option<brasspond_types::FinishReason>,
}

/// Senders to the handlers that wait, by request.
#[derive(Default)]
struct Pending {
    replies: HashMap<RequestId, oneshot::Sender<Reply>>,
    streams: HashMap<RequestId, mpsc::Sender<Piece>>,
}

/// Sends events to the decisions thread and delivers replies to the handlers.
#[derive(Clone)]
pub(crate) struct Handle {
    events: SyncSender<Event>,
    pending: Arc<Mutex<Pending>>,
    view: watch::Receiver<Arc<View>>,
    next: Arc<AtomicU64>,
}

impl Handle {
    pub(crate) fn new(events: SyncSender<Event>, view: watch::Receiver<Arc<View>>) -> Self {
        Self {
            events,
            pending: Arc::default(),
            view,
            next: Arc::new(AtomicU64::new(1)),
        }
    }

    /// Returns the newest snapshot of the node's state.
    pub(crate) fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Allocates a request id, unique within this process.
    pub(crate) fn next_request(&self) -> RequestId {
        RequestId(self.next.fetch_add(1, Ordering::Relaxed))
    }

    fn with_pending<T>(&self, change: impl FnOnce(&mut Pending) -> T) -> T {
        change(&mut self.pending.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Registers a receiver for the reply to a request.
    pub(crate) fn register_reply(&self, request: RequestId) -> oneshot::Receiver<Reply> {
        let (sender, receiver) = oneshot::channel();
        self.with_pending(|pending| pending.replies.insert(request, sender));
        receiver
    }

    /// Registers a receiver for the pieces of an answer.
    pub(crate) fn register_pieces(&self, request: RequestId) -> mpsc::Receiver<Piece> {
        let (sender, receiver) = mpsc::channel(PIECE_BUFFER);
        self.with_pending(|pending| pending.streams.insert(request, sender));
        receiver
    }

    /// The channel to the handler that waits for the pieces of a request, if there is one.
    pub(crate) fn stream(&self, request: RequestId) -> Option<mpsc::Sender<Piece>> {
        self.with_pending(|pending| pending.streams.get(&request).cloned())
    }

    /// Delivers a reply to the handler that waits for it.
    pub(crate) fn deliver(&self, request: RequestId, reply: Reply) {
        let sender = self.with_pending(|pending| {
            pending.streams.remove(&request);
            pending.replies.remove(&request)
        });
        if let Some(sender) = sender {
            // Sending fails if the handler was dropped because its caller disconnected.
            let _ = sender.send(reply);
        }
    }

    /// Removes the channels of a request whose handler has ended.
    pub(crate) fn unregister(&self, request: RequestId) {
        self.with_pending(|pending| {
            pending.streams.remove(&request);
            pending.replies.remove(&request);
        });
    }

    /// Adds an event to the queue of the decisions thread and waits while the queue is full.
    pub(crate) async fn send(&self, event: Event) {
        let mut event = event;
        loop {
            match self.events.try_send(event) {
                Ok(()) | Err(TrySendError::Disconnected(_)) => return,
                Err(TrySendError::Full(returned)) => event = returned,
            }
            tokio::time::sleep(FULL_QUEUE_WAIT).await;
        }
    }

    /// Adds an event to the queue unless the queue is full or closed. Returns whether it was added.
    pub(crate) fn try_send(&self, event: Event) -> bool {
        self.events.try_send(event).is_ok()
    }

    /// Reports the progress or the end of an attempt.
    pub(crate) async fn report_attempt(
        &self,
        attempt: brasspond_control::AttemptId,
        update: AttemptUpdate,
    ) {
        self.send(Event::Attempt { attempt, update }).await;
    }

    /// Sends an event, then waits up to `limit` for the reply. Returns `None` if no reply arrives.
    pub(crate) async fn ask(
        &self,
        request: RequestId,
        event: Event,
        limit: Duration,
    ) -> Option<Reply> {
        let reply = self.register_reply(request);
        self.send(event).await;
        let answer = tokio::time::timeout(limit, reply).await;
        self.unregister(request);
        answer.ok()?.ok()
    }
}
