//! Metrics of a storage process.

use super::links::LinkMetrics;
use super::register::{Counters, Gauges, count, encode_text, metrics, set};
use super::source::SourceMetrics;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

metrics! {
    /// Metrics that a storage process records as events occur; durations are in seconds.
    struct Instruments {
        replicas_reborn: Counter = "replicas_reborn", "Replicas that this process, leading, saw start again under their id";
        edge_messages_lost: Counters = "edge_messages_lost", "Messages to edges that were not sent, by reason";
        grants: Gauges = "warming_grants", "Requests to replicas that warm up, granted and refused since this process leads";
        questions: Counters = "questions", "Questions of edges by kind";
        sync_seconds: Histogram = "sync_seconds", "Time to write and sync the log's file";
        commit_seconds: Histogram = "commit_seconds", "Time from a proposal for an edge to its commit";
        orders: Counters = "orders", "Orders to replicas by answer";
        runs_ended: Counters = "runs_ended", "Runs by how they ended";
        scorings_ended: Counters = "scorings_ended", "Scorings by how they ended";
        usage_reports: Counters = "usage_reports", "Usage reports sent, by answer";
        replica_orders: Counters = "replica_orders", "Orders of replicas sent, by answer";
        leaderships: Counter = "leaderships", "Times this process began to lead";
    }
}

metrics! {
    /// Gauges that a storage process sets when its metrics are read.
    struct StateGauges {
        term: Gauge = "term", "Term of the log";
        committed: Gauge = "committed_index", "Last committed index";
        file_bytes: Gauge = "file_bytes", "Bytes of the log's file";
        voters: Gauge = "voters", "Members that vote";
        leads: Gauge = "leads", "1 while this process leads";
        jobs: Gauge = "jobs", "Jobs in the table";
        running: Gauge = "runs", "Runs under way, where it leads";
        waiting: Gauge = "items_waiting", "Items that wait, where it leads";
        quarantined_contents: Gauge = "held_contents", "Quarantined contents";
        warming_replicas: Gauge = "warming_replicas", "Replicas that warm up, or did just now, where this process leads";
        shared_replica_loads: Gauge = "shared_replica_loads", "Replicas reported to edges as slow or failing, where this process leads";
        log_lines_dropped: Gauge = "log_lines_dropped", "Log lines dropped since the start";
    }
}

/// Metrics of a storage process.
pub struct StorageMetrics {
    instruments: Instruments,
    links: LinkMetrics,
    source: SourceMetrics,
    gauges: StateGauges,
    registry: Registry,
}

/// State of a storage process at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct StorageState {
    /// Term of the log.
    pub term: u64,
    /// Last committed index.
    pub committed: u64,
    /// Size of the log file in bytes.
    pub file_bytes: u64,
    /// Number of voters.
    pub voters: usize,
    /// Whether this process is the leader.
    pub leads: bool,
    /// Number of jobs in the table.
    pub jobs: usize,
    /// Number of runs in progress; 0 unless this process is the leader.
    pub running: usize,
    /// Number of waiting items; 0 unless this process is the leader.
    pub waiting: usize,
    /// Number of quarantined contents.
    pub quarantined_contents: usize,
    /// Number of log lines dropped since the start.
    pub log_lines_dropped: u64,
}

impl Default for StorageMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("brasspond_storage");
        Self {
            instruments: Instruments::register(&mut registry),
            links: LinkMetrics::register(&mut registry),
            source: SourceMetrics::register(&mut registry),
            gauges: StateGauges::register(&mut registry),
            registry,
        }
    }
}

impl AsRef<SourceMetrics> for StorageMetrics {
    fn as_ref(&self) -> &SourceMetrics {
        &self.source
    }
}

impl AsRef<LinkMetrics> for StorageMetrics {
    fn as_ref(&self) -> &LinkMetrics {
        &self.links
    }
}

impl StorageMetrics {
    /// Counts a question of an edge.
    pub fn question(&self, kind: &str) {
        count(&self.instruments.questions, [("kind", kind)]);
    }

    /// Records the time to write and sync the log file.
    pub fn sync(&self, seconds: f64) {
        self.instruments.sync_seconds.observe(seconds);
    }

    /// Records the time from a proposal for an edge to its commit.
    pub fn commit(&self, seconds: f64) {
        self.instruments.commit_seconds.observe(seconds);
    }

    /// Counts an order to a replica, by answer.
    pub fn order(&self, answer: &str) {
        count(&self.instruments.orders, [("answer", answer)]);
    }

    /// Sets the number of replicas that warm up.
    pub fn warming_replicas(&self, count: usize) {
        self.gauges.warming_replicas.set(count as i64);
    }

    /// Sets the number of replicas that edges are told are slow or failing.
    pub fn shared_replica_loads(&self, count: usize) {
        self.gauges.shared_replica_loads.set(count as i64);
    }

    /// Sets the number of permits with this outcome, counted since this process became leader.
    pub fn grants(&self, outcome: &str, count: u64) {
        set(
            &self.instruments.grants,
            [("outcome", outcome)],
            count as i64,
        );
    }

    /// Counts a finished run.
    pub fn run_ended(&self, end: &str) {
        count(&self.instruments.runs_ended, [("end", end)]);
    }

    /// Counts a finished scoring, as reported by an edge.
    pub fn scoring_ended(&self, end: &str) {
        count(&self.instruments.scorings_ended, [("end", end)]);
    }

    /// Counts a message to an edge that was not sent.
    pub fn edge_message_lost(&self, reason: &str) {
        count(&self.instruments.edge_messages_lost, [("reason", reason)]);
    }

    /// Counts a replica that restarted under the same id.
    pub fn replica_reborn(&self) {
        self.instruments.replicas_reborn.inc();
    }

    /// Counts a usage report to the platform, by answer.
    pub fn usage_report(&self, answer: &str) {
        count(&self.instruments.usage_reports, [("answer", answer)]);
    }

    /// Counts an order of replicas sent to the platform, by answer.
    pub fn replica_order(&self, answer: &str) {
        count(&self.instruments.replica_orders, [("answer", answer)]);
    }

    /// Counts an election that this process won.
    pub fn leadership(&self) {
        self.instruments.leaderships.inc();
    }

    /// Encodes all metrics as text.
    pub fn text(&self, state: &StorageState) -> String {
        self.gauges.term.set(state.term as i64);
        self.gauges.committed.set(state.committed as i64);
        self.gauges.file_bytes.set(state.file_bytes as i64);
        self.gauges.voters.set(state.voters as i64);
        self.gauges.leads.set(i64::from(state.leads));
        self.gauges.jobs.set(state.jobs as i64);
        self.gauges.running.set(state.running as i64);
        self.gauges.waiting.set(state.waiting as i64);
        self.gauges
            .quarantined_contents
            .set(state.quarantined_contents as i64);
        self.gauges
            .log_lines_dropped
            .set(state.log_lines_dropped as i64);
        encode_text(&self.registry)
    }
}
