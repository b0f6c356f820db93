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

type Running = Arc<Mutex<HashMap<AttemptId, AbortHandle>>>;

/// Runs until the channel of actions is closed.
pub(crate) async fn run(
    mut actions: mpsc::Receiver<Action>,
    handle: Handle,
    store: SocketAddr,
    origin: Instant,
) {
    let client = Client::default();
    let running: Running = Arc::default();
    while let Some(action) = actions.recv().await {
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
                let work = engine_client::attempt(
                    client.clone(),
                    handle.clone(),
                    attempt,
                    request,
                    address,
                    call,
                );
                start(&running, attempt, work);
            }
            Action::CancelAttempt(attempt) => {
                if let Some(task) = locked(&running).remove(&attempt) {
                    task.abort();
                }
            }
            Action::PollEngine { engine, address } => {
                let asked_at = Timestamp::from_micros(origin.elapsed().as_micros() as u64);
                let client = client.clone();
                tokio::spawn(engine_client::poll(
                    client,
                    handle.clone(),
                    engine,
                    address,
                    asked_at,
                ));
            }
            Action::OrderEngine {
                engine,
                address,
                order,
            } => {
                let client = client.clone();
                tokio::spawn(engine_client::order(
                    client,
                    handle.clone(),
                    engine,
                    address,
                    order,
                ));
            }
            Action::Store(call) => {
                tokio::spawn(store_client::call(
                    client.clone(),
                    handle.clone(),
                    store,
                    call,
                ));
            }
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
