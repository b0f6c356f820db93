//! Applies the actions that call engines and the store.

use crate::engine_client;
use crate::handle::Handle;
use crate::store_client;
use brasspond_control::{Action, AttemptId};
use brasspond_http::Client;
use brasspond_types::Timestamp;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

type Running = Arc<Mutex<HashMap<AttemptId, AbortHandle>>>;

/// Runs until the channel of actions is closed.
pub(crate) async fn run(
    mut actions: mpsc::Receiver<Action>,
    handle: Handle,
    store: SocketAddr,
    origin: Instant,
) {
    let effects = Effects {
        client: Client::default(),
        handle,
        store,
        origin,
        running: Arc::default(),
    };
    while let Some(action) = actions.recv().await {
        effects.apply(action);
    }
}

/// What calls of engines and of the store need.
struct Effects {
    client: Client,
    handle: Handle,
    store: SocketAddr,
    origin: Instant,
    running: Running,
}

impl Effects {
    fn apply(&self, action: Action) {
        let client = self.client.clone();
        let handle = self.handle.clone();
        match action {
            Action::StartAttempt {
                attempt,
                request,
                address,
                call,
                engine,
            } => {
                log::debug!(
                    "event=attempt_started attempt={} engine={engine}",
                    attempt.0
                );
                let work = engine_client::attempt(client, handle, attempt, request, address, call);
                start(&self.running, attempt, work);
            }
            Action::CancelAttempt(attempt) => {
                if let Some(task) = locked(&self.running).remove(&attempt) {
                    task.abort();
                }
            }
            Action::PollEngine { engine, address } => {
                let elapsed = self.origin.elapsed().as_micros() as u64;
                let asked_at = Timestamp::from_micros(elapsed);
                let work = engine_client::poll(client, handle, engine, address, asked_at);
                tokio::spawn(work);
            }
            Action::OrderEngine {
                engine,
                address,
                order,
            } => {
                let work = engine_client::order(client, handle, engine, address, order);
                tokio::spawn(work);
            }
            Action::Store(call) => {
                tokio::spawn(store_client::call(client, handle, self.store, call));
            }
            // These have outlets of their own (`decisions::apply`).
            Action::Send { .. } | Action::Reply { .. } | Action::InForce(_) => {}
        }
    }
}

fn locked(running: &Running) -> std::sync::MutexGuard<'_, HashMap<AttemptId, AbortHandle>> {
    running.lock().unwrap_or_else(PoisonError::into_inner)
}

fn start(running: &Running, attempt: AttemptId, work: impl Future<Output = ()> + Send + 'static) {
    let registry = Arc::clone(running);
    let mut guard = locked(running);
    let task = tokio::spawn(async move {
        work.await;
        locked(&registry).remove(&attempt);
    });
    guard.insert(attempt, task.abort_handle());
}
