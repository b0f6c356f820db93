//! The thread that takes all decisions.

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

/// Time between two ticks; not measured.
const TICK: Duration = Duration::from_millis(20);
/// Time between two snapshots for the HTTP side when nothing changed; not measured.
const VIEW_PERIOD: Duration = Duration::from_millis(200);

/// Where the actions go.
pub(crate) struct Outlets {
    pub(crate) peers: mpsc::Sender<Outgoing>,
    pub(crate) effects: mpsc::Sender<Action>,
    pub(crate) disk: Option<std::sync::mpsc::SyncSender<Arc<Catalogue>>>,
    pub(crate) handle: Handle,
    pub(crate) view: watch::Sender<Arc<View>>,
}

/// Feeds events to the decisions and hands their actions to the other
/// threads until the node ends.
pub(crate) fn run(
    mut control: Control,
    events: &Receiver<Event>,
    outlets: &Outlets,
    origin: Instant,
    ended: &AtomicBool,
) {
    let mut next_tick = Instant::now();
    let mut next_view = Instant::now();
    let mut callers = Arc::default();
    while !ended.load(Ordering::Relaxed) {
        let wait = next_tick.saturating_duration_since(Instant::now());
        let event = match events.recv_timeout(wait) {
            Ok(event) => event,
            Err(RecvTimeoutError::Timeout) => {
                next_tick = Instant::now() + TICK;
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
                if let Some(disk) = &outlets.disk {
                    // A full ring: the newer configuration that follows is kept instead.
                    let _ = disk.try_send(Arc::clone(control.catalogue()));
                }
            }
            apply(action, outlets);
        }
        if changed || Instant::now() >= next_view {
            next_view = Instant::now() + VIEW_PERIOD;
            outlets
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

/// Hands an action to the thread that applies it. A message that finds
/// its ring full is dropped: every exchange between nodes repeats.
fn apply(action: Action, outlets: &Outlets) {
    match action {
        Action::Send {
            address, envelope, ..
        } => {
            let _ = outlets.peers.try_send(Outgoing { address, envelope });
        }
        Action::Reply { request, reply } => outlets.handle.deliver(request, reply),
        Action::InForce(_) => {}
        effect => {
            // The ring is closed only while the node ends.
            let _ = outlets.effects.blocking_send(effect);
        }
    }
}
