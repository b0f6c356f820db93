//! State that the links of a process share: its location, link ids, byte counts and round-trip
//! times.

use crate::link::LinkId;
use crate::traffic::{Traffic, distance_name};
use brasspond_cluster_protocol::Peer;
use brasspond_distance::{Distance, Place, RoundTrips};
use brasspond_telemetry::LinkMetrics;
use std::cell::{Cell, RefCell};
use std::time::Duration;

/// Interval between log lines on the traffic of links, in ms.
pub(crate) const TRAFFIC_LOG_INTERVAL_MS: u64 = 15_000;

/// Location of a process, with the ids, byte counts and round-trip times of its links.
#[derive(Debug)]
pub(crate) struct LinkContext {
    place: Place,
    last_link_id: Cell<LinkId>,
    /// Bytes queued for sending on all links.
    pub traffic: Traffic,
    round_trips: RefCell<RoundTrips>,
}

impl LinkContext {
    /// Creates the context of a process at a location.
    pub(crate) fn new(place: Place) -> Self {
        Self {
            place,
            last_link_id: Cell::default(),
            traffic: Traffic::default(),
            round_trips: RefCell::default(),
        }
    }

    /// Allocates the id of a new link.
    pub(crate) fn next_link_id(&self) -> LinkId {
        let number = self.last_link_id.get() + 1;
        self.last_link_id.set(number);
        number
    }

    /// Returns the distance of a zone from this process.
    pub(crate) fn distance_to(&self, zone: &str, region: Option<&str>) -> Distance {
        self.place.distance_to(zone, region)
    }

    /// Returns the distance of a peer from this process.
    pub(crate) fn distance_of(&self, peer: &Peer) -> Distance {
        match peer {
            Peer::Edge { zone, region, .. } => self.distance_to(zone, region.as_deref()),
            Peer::Storage(member) => self.distance_to(&member.zone, member.region.as_deref()),
        }
    }

    /// Records the time to open a connection to a peer at a distance, which is one round trip.
    pub(crate) fn record_round_trip(&self, distance: Distance, time: Duration) {
        let ms = time.as_secs_f64() * 1_000.0;
        self.round_trips.borrow_mut().record(distance, ms);
    }

    /// Returns the estimated round-trip time to a process at a distance, in ms.
    pub(crate) fn round_trip_ms(&self, distance: Distance) -> f64 {
        self.round_trips.borrow().ms(distance)
    }

    /// Updates the metrics of links.
    pub(crate) fn update_metrics(&self, metrics: &impl AsRef<LinkMetrics>) {
        let metrics = metrics.as_ref();
        for (kind, distance, bytes) in self.traffic.nonzero() {
            metrics.sent(kind.name(), distance_name(distance), bytes);
        }
        for distance in Distance::ALL {
            metrics.round_trip(distance.name(), self.round_trip_ms(distance) / 1_000.0);
        }
    }

    /// Logs the bytes queued for sending since the start, in one line per distance.
    pub(crate) fn log_traffic(&self) {
        for distance in Distance::ALL {
            let line = self.traffic.log_text(distance);
            if !line.is_empty() {
                log::info!(
                    "event=link_bytes distance={} round_trip_ms={:.1}{line}",
                    distance.name(),
                    self.round_trip_ms(distance)
                );
            }
        }
    }
}
