//! Events that tasks of this process report to its event loop.

use super::process::Storage;
use super::record::RegistryEvent;
use crate::platform::OperationsAnswer;
use brasspond_autoscaling::ScaleOrder;
use brasspond_dispatch::Event;
use brasspond_metering::WindowNumber;
use tokio::sync::mpsc;

/// An event of a task. An event that carries a term other than the current one has no effect except
/// on metrics.
pub(super) enum LocalEvent {
    /// An event for the dispatcher of this term.
    Dispatch(u64, Event),
    /// The platform answered the report of a usage window in this term.
    UsageSent(u64, WindowNumber, OperationsAnswer),
    /// The platform answered an order of replicas in this term.
    ReplicasOrdered(u64, ScaleOrder, OperationsAnswer),
    /// A call to the registry ended.
    Registry(RegistryEvent),
}

/// Sends events of tasks to the event loop.
#[derive(Clone)]
pub(super) struct LocalSender(mpsc::Sender<LocalEvent>);

impl LocalSender {
    /// Creates a sender to this queue.
    pub fn new(queue: mpsc::Sender<LocalEvent>) -> Self {
        Self(queue)
    }

    /// Sends an event once the queue has capacity. The event is lost if the event loop has ended.
    pub async fn send(&self, event: LocalEvent) {
        if self.0.send(event).await.is_err() {
            log::info!("event=local_event_lost reason=the_process_ends");
        }
    }
}

impl Storage {
    /// Handles an event of a task.
    pub(super) fn on_local(&mut self, event: LocalEvent) {
        let now = self.clock.now();
        let own_term = self.consensus.term();
        match event {
            LocalEvent::Dispatch(term, event) => {
                if term == own_term {
                    self.dispatch(event);
                }
            }
            LocalEvent::UsageSent(term, window, answer) => {
                self.metrics.usage_report(answer.name());
                if term == own_term {
                    self.usage_sent(window, answer, now);
                }
            }
            LocalEvent::ReplicasOrdered(term, order, answer) => {
                self.metrics.replica_order(answer.name());
                if term == own_term {
                    self.replicas_ordered(&order, answer);
                }
            }
            LocalEvent::Registry(event) => self.on_registry(event, now),
        }
    }
}
