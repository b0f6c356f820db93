//! The thread that runs the control logic.

use crate::handle::Handle;
use crate::peers::Outgoing;
use crate::view::{View, callers_by_digest};
use brasspond_control::{Action, Control, Event};
use brasspond_resource::Catalogue;
use brasspond_types::Timestamp;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};

/// Time between two ticks of the control logic.
const TICK_PERIOD: Duration = Duration::from_millis(20);
/// Time between two snapshots for the HTTP handlers while the configuration does not change.
const VIEW_PERIOD: Duration = Duration::from_millis(200);

/// Channels to the threads that carry out actions.
pub(crate) struct Outputs {
    pub(crate) peers: mpsc::Sender<Outgoing>,
    pub(crate) actions: mpsc::Sender<Action>,
    pub(crate) disk: Option<std::sync::mpsc::SyncSender<Arc<Catalogue>>>,
    pub(crate) handle: Handle,
    pub(crate) view: watch::Sender<Arc<View>>,
}

/// Passes events to the control logic and its actions to the other threads until the node stops.
pub(crate) fn run(
    mut control: Control,
    events: &Receiver<Event>,
    outputs: &Outputs,
    origin: Instant,
    stopping: &AtomicBool,
) {
    let mut next_tick = Instant::now();
    let mut next_view = Instant::now();
    let mut callers = Arc::default();
    while !stopping.load(Ordering::Relaxed) {
        let wait = next_tick.saturating_duration_since(Instant::now());
        let event = match events.recv_timeout(wait) {
            Ok(event) => event,
            Err(RecvTimeoutError::Timeout) => {
                next_tick = Instant::now() + TICK_PERIOD;
                Event::Tick
            }
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let now = Timestamp::from_micros(origin.elapsed().as_micros() as u64);
        let is_drain = matches!(event, Event::Drain);
        let actions = control.handle(event, now);
        let mut changed = is_drain;
        for action in actions {
            if let Action::InForce(revision) = &action {
                log::info!("event=configuration_in_force revision={revision}");
                callers = Arc::new(callers_by_digest(control.catalogue()));
                changed = true;
                if let Some(disk) = &outputs.disk {
                    // If the queue is full, this configuration is not saved; the disk keeps an
                    // older one until a later configuration is queued.
                    let _ = disk.try_send(Arc::clone(control.catalogue()));
                }
            }
            apply(action, outputs);
        }
        if changed || Instant::now() >= next_view {
            next_view = Instant::now() + VIEW_PERIOD;
            outputs
                .view
                .send_replace(Arc::new(snapshot(&control, &callers)));
        }
    }
}

fn snapshot(
    control: &Control,
    callers: &Arc<std::collections::HashMap<String, crate::view::KnownCaller>>,
) -> View {
    let catalogue = Arc::clone(control.catalogue());
    let newest = catalogue.newest_versions().into_iter();
    View {
        newest: newest.map(|(model, version)| (model, version.0)).collect(),
        catalogue,
        callers: Arc::clone(callers),
        fleet: control.fleet(),
        counters: control.counters(),
        ready: control.is_ready(),
        drained: control.is_drained(),
    }
}

/// Passes an action to the thread that carries it out. A message to a peer is dropped if the queue
/// is full; the sender repeats every exchange between nodes.
fn apply(action: Action, outputs: &Outputs) {
    match action {
        Action::Send {
            address, envelope, ..
        } => {
            let _ = outputs.peers.try_send(Outgoing { address, envelope });
        }
        Action::Reply { request, reply } => outputs.handle.deliver(request, reply),
        Action::InForce(_) => {}
        call => {
            // The queue is closed only while the node stops.
            let _ = outputs.actions.blocking_send(call);
        }
    }
}
