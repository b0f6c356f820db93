//! Current workload of a dispatcher, for logs, metrics and the autoscaler.

use crate::dispatcher::Dispatcher;
use std::collections::BTreeMap;

/// Maximum number of replicas in [`Workload::replicas`], which keeps a log line at about 500 bytes.
const MAX_LOGGED_REPLICAS: usize = 24;

/// Current workload of a dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workload {
    /// Number of active runs.
    pub running: usize,
    /// Number of waiting items.
    pub waiting: usize,
    /// Number of scorings in progress.
    pub scoring: usize,
    /// Number of loads in progress.
    pub orders: usize,
    /// The first replicas by id that serve a version, each with the highest version that it serves,
    /// an asterisk while it loads, and its number of runs: `r1:v7:3,r2:v6*:0,`.
    pub replicas: String,
}

impl Workload {
    /// Whether there are no active runs, waiting items, scorings or loads.
    pub fn is_idle(&self) -> bool {
        self.running + self.waiting + self.scoring + self.orders == 0
    }
}

impl Dispatcher {
    /// Number of active runs and of waiting items.
    pub fn counts(&self) -> (usize, usize) {
        (self.runs.len(), self.jobs.waiting())
    }

    /// Number of active runs and waiting items by service.
    pub fn requests_by_service(&self) -> BTreeMap<String, usize> {
        let mut requests = self.jobs.waiting_by_service(&self.replicas.usable);
        for run in self.runs.by_id.values() {
            if let Some(replica) = self.replicas.by_id.get(&run.replica) {
                *requests
                    .entry(replica.endpoint.service.to_string())
                    .or_default() += 1;
            }
        }
        requests
    }

    /// Returns the current workload.
    pub fn workload(&self) -> Workload {
        let mut replicas = String::new();
        let serving = self.replicas.by_id.iter();
        let serving = serving.filter(|(_, replica)| !replica.endpoint.versions.is_empty());
        for (id, replica) in serving.take(MAX_LOGGED_REPLICAS) {
            // The filter above keeps only replicas that serve a version.
            let highest = replica.endpoint.versions.highest_version().unwrap_or(0);
            let running = replica.running;
            let mark = if self.orders.is_loading_any(id) {
                "*"
            } else {
                ""
            };
            replicas.push_str(&format!("{id}:v{highest}{mark}:{running},"));
        }
        Workload {
            running: self.runs.len(),
            waiting: self.jobs.waiting(),
            scoring: self.scorings.len(),
            orders: self.orders.in_progress(),
            replicas,
        }
    }
}
