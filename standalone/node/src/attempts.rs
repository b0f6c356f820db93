//! Carries out the actions that call engines and the store.

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

/// Attempts that run, with the handles that cancel them.
type Running = Arc<Mutex<HashMap<AttemptId, AbortHandle>>>;

/// Carries out actions until their channel is closed.
pub(crate) async fn run(
    mut actions: mpsc::Receiver<Action>,
    handle: Handle,
    store: SocketAddr,
    origin: Instant,
) {
    let runner = ActionRunner {
        client: Client::default(),
        handle,
        store,
        origin,
        running: Arc::default(),
    };
    while let Some(action) = actions.recv().await {
        runner.apply(action);
    }
}

/// Starts the calls to engines and to the store.
struct ActionRunner {
    client: Client,
    handle: Handle,
    store: SocketAddr,
    origin: Instant,
    running: Running,
}

impl ActionRunner {
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
                if let Some(task) = lock(&self.running).remove(&attempt) {
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
            // `decisions::apply` handles these itself.
            Action::Send { .. } | Action::Reply { .. } | Action::InForce(_) => {}
        }
    }
}

fn lock(running: &Running) -> std::sync::MutexGuard<'_, HashMap<AttemptId, AbortHandle>> {
    running.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts the task of an attempt and registers it until it ends.
fn start(running: &Running, attempt: AttemptId, work: impl Future<Output = ()> + Send + 'static) {
    let registry = Arc::clone(running);
    let mut guard = lock(running);
    let task = tokio::spawn(async move {
        work.await;
        lock(&registry).remove(&attempt);
    });
    guard.insert(attempt, task.abort_handle());
}
