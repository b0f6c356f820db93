//! Tracks evacuated zones to log their changes and update metrics.
//!
//! This has no effect on requests, which are routed by the view itself.

use brasspond_fleet::FleetView;
use std::collections::BTreeMap;
use std::fmt::{Display, Formatter, Result};
use std::sync::Arc;

/// Evacuated zones last known to this process.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// Evacuated zones, with the time at which this process learned of each, in ms of its clock.
    evacuated_since: BTreeMap<Arc<str>, u64>,
    /// Whether a view with known evacuated zones was ever applied.
    is_known: bool,
}

/// A change of the known evacuations. Displayed as a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The evacuated zones are known for the first time.
    Known {
        /// Number of evacuated zones.
        zones: usize,
    },
    /// The evacuation of a zone began.
    Begun {
        /// The zone.
        zone: Arc<str>,
        /// Number of replicas in the zone, which get no new work.
        replicas: usize,
    },
    /// The evacuation of a zone ended.
    Ended {
        /// The zone.
        zone: Arc<str>,
        /// Time for which this process knew of the evacuation, in ms.
        lasted_ms: u64,
    },
}

impl Display for EvacuationChange {
    fn fmt(&self, line: &mut Formatter<'_>) -> Result {
        match self {
            Self::Known { zones } => write!(line, "event=evacuations_known zones={zones}"),
            Self::Begun { zone, replicas } => {
                write!(
                    line,
                    "event=evacuation_in_force zone={zone} replicas={replicas}"
                )
            }
            Self::Ended { zone, lasted_ms } => {
                write!(
                    line,
                    "event=evacuation_over zone={zone} lasted_ms={lasted_ms}"
                )
            }
        }
    }
}

impl Evacuations {
    /// Applies a newer view at `now`, in ms of the process's clock, and returns the changes. A view
    /// that does not know the evacuated zones changes nothing.
    pub fn update(&mut self, view: &FleetView, now: u64) -> Vec<EvacuationChange> {
        let mut changes = Vec::new();
        if view.evacuated_revision == 0 {
            return changes;
        }
        if !self.is_known {
            self.is_known = true;
            let zones = view.evacuated.len();
            changes.push(EvacuationChange::Known { zones });
        }
        self.evacuated_since.retain(|zone, since| {
            let is_evacuated = view.is_evacuated(zone);
            if !is_evacuated {
                let (zone, lasted_ms) = (Arc::clone(zone), now.saturating_sub(*since));
                changes.push(EvacuationChange::Ended { zone, lasted_ms });
            }
            is_evacuated
        });
        for zone in view.evacuated.iter() {
            if self.evacuated_since.contains_key(zone) {
                continue;
            }
            self.evacuated_since.insert(Arc::clone(zone), now);
            let replicas = view.replicas.values();
            let replicas = replicas.filter(|replica| *replica.zone == **zone);
            changes.push(EvacuationChange::Begun {
                zone: Arc::clone(zone),
                replicas: replicas.count(),
            });
        }
        changes
    }

    /// Returns the number of evacuated zones.
    pub fn zones(&self) -> usize {
        self.evacuated_since.len()
    }
}
