//! Which zones are evacuated, as far as a process knows: changes for its log and metrics.
//!
//! It decides nothing on requests; eligibility goes by the view itself.

use brasspond_fleet::FleetView;
use std::collections::BTreeMap;
use std::fmt::{Display, Formatter, Result};
use std::sync::Arc;

/// Evacuations as this process last knew them.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// Evacuated zones, each with the time at which this process learnt it, in ms of its clock.
    in_force: BTreeMap<Arc<str>, u64>,
    /// Whether it was ever known which zones are evacuated.
    is_known: bool,
}

/// A change in what is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is known for the first time which zones are evacuated.
    Known {
        /// How many are.
        zones: usize,
    },
    /// A zone is evacuated.
    InForce {
        /// The zone.
        zone: Arc<str>,
        /// Number of its replicas, which get no new work.
        replicas: usize,
    },
    /// A zone is not evacuated any more.
    Over {
        /// The zone.
        zone: Arc<str>,
        /// Time for which this process knew of it, in ms.
        lasted_ms: u64,
    },
}

impl Display for Change {
    fn fmt(&self, line: &mut Formatter<'_>) -> Result {
        match self {
            Self::Known { zones } => write!(line, "event=evacuations_known zones={zones}"),
            Self::InForce { zone, replicas } => {
                write!(
                    line,
                    "event=evacuation_in_force zone={zone} replicas={replicas}"
                )
            }
            Self::Over { zone, lasted_ms } => {
                write!(
                    line,
                    "event=evacuation_over zone={zone} lasted_ms={lasted_ms}"
                )
            }
        }
    }
}

impl Evacuations {
    /// Brings the state up to a newer view at `now`, in ms of the process's clock, and returns
    /// what changed. A view that does not know which zones are evacuated changes nothing.
    pub fn update(&mut self, view: &FleetView, now: u64) -> Vec<Change> {
        let mut changes = Vec::new();
        if view.evacuated_revision == 0 {
            return changes;
        }
        if !self.is_known {
            self.is_known = true;
            let zones = view.evacuated.len();
            changes.push(Change::Known { zones });
        }
        self.in_force.retain(|zone, since| {
            let stays = view.is_evacuated(zone);
            if !stays {
                let (zone, lasted_ms) = (Arc::clone(zone), now.saturating_sub(*since));
                changes.push(Change::Over { zone, lasted_ms });
            }
            stays
        });
        for zone in view.evacuated.iter() {
            if self.in_force.contains_key(zone) {
                continue;
            }
            self.in_force.insert(Arc::clone(zone), now);
            let there = view.replicas.values();
            let there = there.filter(|replica| *replica.zone == **zone);
            changes.push(Change::InForce {
                zone: Arc::clone(zone),
                replicas: there.count(),
            });
        }
        changes
    }

    /// How many zones are evacuated.
    pub fn zones(&self) -> usize {
        self.in_force.len()
    }
}
