//! The way from HTTP handlers to the decisions thread and back.

use crate::view::View;
use brasspond_control::{Event, Reply, RequestId};
use brasspond_engine_api::AttemptUpdate;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// Time between attempts to enter a full ring; not measured.
const FULL_RING_WAIT: Duration = Duration::from_millis(1);
/// Pieces of an answer buffered for a slow caller; not measured.
const PIECES_BUFFERED: usize = 64;

/// A piece of an answer on its way to a caller.
#[derive(Clone, Debug)]
pub(crate) struct Piece {
    pub(crate) text: String,
    pub(crate) version: u64,
    pub(crate) tokens: u32,
    pub(crate) finish_reason: Option<brasspond_types::FinishReason>,
}

#[derive(Default)]
struct Waiting {
    replies: HashMap<RequestId, oneshot::Sender<Reply>>,
    streams: HashMap<RequestId, mpsc::Sender<Piece>>,
}

/// Shared by all handlers.
#[derive(Clone)]
pub(crate) struct Handle {
    events: SyncSender<Event>,
    waiting: Arc<Mutex<Waiting>>,
    view: watch::Receiver<Arc<View>>,
    next: Arc<AtomicU64>,
}

impl Handle {
    pub(crate) fn new(events: SyncSender<Event>, view: watch::Receiver<Arc<View>>) -> Self {
        Self {
            events,
            waiting: Arc::default(),
            view,
            next: Arc::new(AtomicU64::new(1)),
        }
    }

    /// The newest snapshot of the node's state.
    pub(crate) fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Draws the identity of a request.
    pub(crate) fn next_request(&self) -> RequestId {
        RequestId(self.next.fetch_add(1, Ordering::Relaxed))
    }

    fn locked<T>(&self, change: impl FnOnce(&mut Waiting) -> T) -> T {
        change(&mut self.waiting.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Registers for the reply to a request.
    pub(crate) fn expect_reply(&self, request: RequestId) -> oneshot::Receiver<Reply> {
        let (sender, receiver) = oneshot::channel();
        self.locked(|waiting| waiting.replies.insert(request, sender));
        receiver
    }

    /// Registers for the pieces of an answer.
    pub(crate) fn expect_pieces(&self, request: RequestId) -> mpsc::Receiver<Piece> {
        let (sender, receiver) = mpsc::channel(PIECES_BUFFERED);
        self.locked(|waiting| waiting.streams.insert(request, sender));
        receiver
    }

    /// The channel to the caller of a request, if one waits.
    pub(crate) fn stream(&self, request: RequestId) -> Option<mpsc::Sender<Piece>> {
        self.locked(|waiting| waiting.streams.get(&request).cloned())
    }

    /// Hands a reply to the handler that waits for it.
    pub(crate) fn deliver(&self, request: RequestId, reply: Reply) {
        let sender = self.locked(|waiting| {
            waiting.streams.remove(&request);
            waiting.replies.remove(&request)
        });
        if let Some(sender) = sender {
            // The handler is gone with its caller.
            let _ = sender.send(reply);
        }
    }

    /// Forgets a request whose handler is gone.
    pub(crate) fn forget(&self, request: RequestId) {
        self.locked(|waiting| {
            waiting.streams.remove(&request);
            waiting.replies.remove(&request);
        });
    }

    /// Enters an event into the ring of the decisions thread, waiting while
    /// it is full.
    pub(crate) async fn send(&self, event: Event) {
        let mut event = event;
        loop {
            match self.events.try_send(event) {
                Ok(()) | Err(TrySendError::Disconnected(_)) => return,
                Err(TrySendError::Full(back)) => event = back,
            }
            tokio::time::sleep(FULL_RING_WAIT).await;
        }
    }

    /// Enters an event, or says that the ring is full.
    pub(crate) fn try_send(&self, event: Event) -> bool {
        self.events.try_send(event).is_ok()
    }

    /// Tells what happened to an attempt.
    pub(crate) async fn attempt(
        &self,
        attempt: brasspond_control::AttemptId,
        update: AttemptUpdate,
    ) {
        self.send(Event::Attempt { attempt, update }).await;
    }

    /// Sends an event that asks for a reply and waits for it.
    pub(crate) async fn ask(
        &self,
        request: RequestId,
        event: Event,
        limit: Duration,
    ) -> Option<Reply> {
        let reply = self.expect_reply(request);
        self.send(event).await;
        let answer = tokio::time::timeout(limit, reply).await;
        self.forget(request);
        answer.ok()?.ok()
    }
}
