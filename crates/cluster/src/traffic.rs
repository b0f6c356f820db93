//! Bytes queued for sending on the links of a process, by kind of message and distance of the peer.
//!
//! Bytes are counted in plain cells when frames are queued, because looking up a metric by its
//! labels for every frame would be expensive. Received bytes are not counted, so a sum over all
//! processes counts each byte once.

use brasspond_cluster_protocol::MessageKind;
use brasspond_distance::Distance;
use std::cell::Cell;
use std::fmt::Write;

/// Number of distance classes, plus one for peers that have not introduced themselves yet.
const DISTANCE_CLASSES: usize = Distance::ALL.len() + 1;

/// Bytes queued for sending by the links of a process since its start.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    sent: [[Cell<u64>; MessageKind::COUNT]; DISTANCE_CLASSES],
}

impl Traffic {
    /// Records a frame queued for a peer. `distance` is `None` until the peer has introduced
    /// itself.
    pub(crate) fn record(&self, kind: MessageKind, distance: Option<Distance>, bytes: usize) {
        let sent = &self.sent[class_index(distance)][kind as usize];
        sent.set(sent.get() + bytes as u64);
    }

    /// Returns the bytes of a kind queued for peers at a distance.
    pub(crate) fn sent(&self, kind: MessageKind, distance: Option<Distance>) -> u64 {
        self.sent[class_index(distance)][kind as usize].get()
    }

    /// Returns all nonzero counts, as kind, distance and bytes.
    pub(crate) fn nonzero(
        &self,
    ) -> impl Iterator<Item = (MessageKind, Option<Distance>, u64)> + '_ {
        let distances = Distance::ALL.into_iter().map(Some).chain([None]);
        let pairs = distances.flat_map(|distance| MessageKind::ALL.map(|kind| (kind, distance)));
        let counted = pairs.map(|(kind, distance)| (kind, distance, self.sent(kind, distance)));
        counted.filter(|(_, _, bytes)| *bytes > 0)
    }

    /// Returns the bytes queued for peers at a distance as `kind=bytes` pairs for a log line. The
    /// text is empty if no bytes were queued.
    pub(crate) fn log_text(&self, distance: Distance) -> String {
        let mut text = String::new();
        for (kind, to, bytes) in self.nonzero() {
            if to == Some(distance) {
                // Writing to a string does not fail.
                let _ = write!(text, " {}={bytes}", kind.name());
            }
        }
        text
    }
}

fn class_index(distance: Option<Distance>) -> usize {
    distance.map_or(DISTANCE_CLASSES - 1, |distance| distance as usize)
}

/// Name of a distance for logs and metrics.
pub(crate) fn distance_name(distance: Option<Distance>) -> &'static str {
    distance.map_or("unknown", Distance::name)
}

#[cfg(test)]
#[path = "../tests/unit/traffic.rs"]
mod tests;
