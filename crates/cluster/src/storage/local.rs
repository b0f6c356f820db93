//! What tasks of this process report to its event loop.

use super::process::Storage;
use super::record::RegistryEvent;
use crate::platform::OperationsAnswer;
use brasspond_autoscaling::ScaleOrder;
use brasspond_dispatch::Event;
use brasspond_metering::WindowNumber;
use tokio::sync::mpsc;

/// What a task of this process found out. What names a term is void in another.
pub(super) enum Local {
    /// For the dispatcher of this term.
    Dispatch(u64, Event),
    /// The report of a usage window was sent in this term.
    UsageSent(u64, WindowNumber, OperationsAnswer),
    /// Replicas were ordered in this term.
    ReplicasOrdered(u64, ScaleOrder, OperationsAnswer),
    /// A call to the registry ended.
    Registry(RegistryEvent),
}

/// By which tasks of this process report to its loop.
#[derive(Clone)]
pub(super) struct LocalSender(mpsc::Sender<Local>);

impl LocalSender {
    /// Sends to this queue.
    pub fn new(queue: mpsc::Sender<Local>) -> Self {
        Self(queue)
    }

    /// Reports something, once there is room. A loop that has ended takes no more.
    pub async fn send(&self, event: Local) {
        if self.0.send(event).await.is_err() {
            log::info!("event=local_event_lost reason=the_process_ends");
        }
    }
}

impl Storage {
    /// A task of this process found something out.
    pub(super) fn on_local(&mut self, event: Local) {
        let now = self.clock.now();
        let own_term = self.consensus.term();
        match event {
            Local::Dispatch(term, event) => {
                if term == own_term {
                    self.dispatch(event);
                }
            }
            Local::UsageSent(term, window, answer) => {
                self.metrics.usage_report(answer.name());
                if term == own_term {
                    self.usage_sent(window, answer, now);
                }
            }
            Local::ReplicasOrdered(term, order, answer) => {
                self.metrics.replica_order(answer.name());
                if term == own_term {
                    self.replicas_ordered(&order, answer);
                }
            }
            Local::Registry(event) => self.on_registry(event, now),
        }
    }
}
