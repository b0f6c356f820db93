//! What edges and the leader tell each other, and the recorder of an edge's observations.

use crate::MAX_ENTRIES;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;

/// What an edge observed at a replica since its last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaObservation {
    /// Id of the replica.
    pub replica: Arc<str>,
    /// Number of answers.
    pub answers: u32,
    /// Mean response time of the answers in ms, divided by the slowdowns that the replica reported;
    /// 0 without answers.
    pub mean_ms: u32,
    /// Number of faults.
    pub faults: u32,
}

/// A replica that deviates from the others of its service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaLoad {
    /// Id of the replica.
    pub replica: Arc<str>,
    /// Mean response time in ms at all edges; `None` without answers.
    pub mean_ms: Option<u32>,
    /// Whether it fails at several edges.
    pub is_failing: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Observed {
    answers: u32,
    total_ms: f64,
    faults: u32,
}

/// Counts the answers and faults of replicas until an edge reports them.
#[derive(Clone, Debug, Default)]
pub struct ObservationRecorder {
    observed: HashMap<Arc<str>, Observed>,
}

impl ObservationRecorder {
    /// Records an answer of a replica after `time_ms`.
    pub fn record_answer(&mut self, replica: &Arc<str>, time_ms: f64) {
        let observed = self.observed_mut(replica);
        observed.answers = observed.answers.saturating_add(1);
        observed.total_ms += time_ms;
    }

    /// Records a fault of a replica.
    pub fn record_fault(&mut self, replica: &Arc<str>) {
        let observed = self.observed_mut(replica);
        observed.faults = observed.faults.saturating_add(1);
    }

    fn observed_mut(&mut self, replica: &Arc<str>) -> &mut Observed {
        self.observed.entry(Arc::clone(replica)).or_default()
    }

    /// Discards all observations.
    pub fn clear(&mut self) {
        self.observed.clear();
    }

    /// Takes the observations of up to [`MAX_ENTRIES`] replicas, those with faults first. The rest
    /// stays for the next report.
    pub fn take(&mut self) -> Vec<ReplicaObservation> {
        let mut replicas: Vec<(bool, Arc<str>)> = self
            .observed
            .iter()
            .map(|(replica, observed)| (observed.faults == 0, Arc::clone(replica)))
            .collect();
        if replicas.len() > MAX_ENTRIES {
            replicas.sort_unstable();
            replicas.truncate(MAX_ENTRIES);
        }
        let taken = replicas.into_iter();
        taken
            .filter_map(|(_, replica)| {
                let observed = self.observed.remove(&replica)?;
                Some(observed.report(replica))
            })
            .collect()
    }
}

impl Observed {
    fn report(self, replica: Arc<str>) -> ReplicaObservation {
        let mean_ms = self.total_ms / f64::from(self.answers.max(1));
        ReplicaObservation {
            replica,
            answers: self.answers,
            // The conversion saturates.
            mean_ms: mean_ms.round() as u32,
            faults: self.faults,
        }
    }
}
