//! The view of the fleet at its source, and the parts of it that a process watches there.
//!
//! The view consists of the configuration, replicas, versions of weights, retirements and evacuated
//! zones. Its source is the platform's store.

use brasspond_entries::{EntryError, UnreadableEntries};
use brasspond_fleet::FleetView;
use brasspond_telemetry::SourceMetrics;

/// Parts of the view that a process watches at the source itself. Each part causes calls to the
/// source, so a process that receives the view from a leader watches few.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Interest {
    /// Routes, services and limits.
    pub configuration: bool,
    /// Replicas of all services.
    pub replicas: bool,
    /// Newest versions of weights that trainers announced.
    pub versions: bool,
    /// Storage machines to be retired.
    pub retirements: bool,
    /// Evacuated zones.
    pub evacuations: bool,
    /// Whether the process knows neither replicas nor a leader yet, which may soon send it all.
    pub is_starting: bool,
}

impl Interest {
    /// All parts.
    pub const ALL: Self = Self {
        configuration: true,
        replicas: true,
        versions: true,
        retirements: true,
        evacuations: true,
        is_starting: false,
    };
    /// No part.
    pub const NONE: Self = Self {
        configuration: false,
        replicas: false,
        versions: false,
        retirements: false,
        evacuations: false,
        is_starting: false,
    };
}

/// Progress of a process in listing the replicas at the source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaListing {
    /// The listing is complete, and changes to the replicas are watched.
    pub is_complete: bool,
    /// Pages of listings read since the process started. It increases while the source answers.
    pub pages: u64,
}

/// The view last received from the source, with the state of the source.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// Newest view. Parts that are not watched keep their last state, except for evacuated zones,
    /// which are cleared.
    pub view: FleetView,
    /// Whether the last call for each watched part succeeded (`Reachability`).
    pub reachable: bool,
    /// Progress of listing the replicas at the source.
    pub listing: ReplicaListing,
    /// Entries at the source that are ignored, because they are unreadable or belong to a service
    /// that the configuration does not define.
    pub unreadable: UnreadableEntries,
}

impl Observed {
    /// Updates the metrics of the source.
    pub(crate) fn update_metrics(&self, metrics: &impl AsRef<SourceMetrics>) {
        let metrics = metrics.as_ref();
        for (kind, current, transitions) in self.unreadable.counts() {
            metrics.unreadable(kind, current, transitions);
        }
    }

    /// Records each replica of an undefined service as unreadable and clears all others. Replicas
    /// of undefined services get no requests (`FleetView::defines_service`).
    ///
    /// `kind` is the platform's name for replica entries. Must be called after each change of the
    /// replicas or the configuration.
    pub fn check_services(&mut self, kind: &'static str) {
        let problem = EntryError::new("service not in the configuration");
        for (name, replica) in self.view.replicas.iter() {
            if self.view.defines_service(&replica.service) {
                self.unreadable.clear(kind, name);
            } else {
                self.unreadable.record(kind, name, &problem);
            }
        }
    }
}
