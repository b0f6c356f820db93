//! Metrics of a storage process.

use super::links::LinkMetrics;
use super::register::{Counters, Gauges, count, metrics, set, text};
use super::source::SourceMetrics;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

metrics! {
    /// What a storage process counts and measures as it happens; times are in seconds.
    struct Measures {
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
    /// What a storage process sets when its metrics are read.
    struct Readings {
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
        log_lines_dropped: Gauge = "log_lines_dropped", "Log lines dropped since the start";
    }
}

/// Metrics of a storage process.
pub struct StorageMetrics {
    own: Measures,
    links: LinkMetrics,
    source: SourceMetrics,
    readings: Readings,
    registry: Registry,
}

/// State of a storage process at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct StorageState {
    /// Term of the log.
    pub term: u64,
    /// Last committed index.
    pub committed: u64,
    /// Bytes of the log's file.
    pub file_bytes: u64,
    /// Members that vote.
    pub voters: usize,
    /// Whether this process leads.
    pub leads: bool,
    /// Jobs in the table.
    pub jobs: usize,
    /// Runs under way, if it leads.
    pub running: usize,
    /// Items that wait, if it leads.
    pub waiting: usize,
    /// Contents that are quarantined.
    pub quarantined_contents: usize,
    /// Log lines dropped since the start.
    pub log_lines_dropped: u64,
}

impl Default for StorageMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("brasspond_storage");
        Self {
            own: Measures::register(&mut registry),
            links: LinkMetrics::register(&mut registry),
            source: SourceMetrics::register(&mut registry),
            readings: Readings::register(&mut registry),
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
    /// An edge asked something.
    pub fn question(&self, kind: &str) {
        count(&self.own.questions, [("kind", kind)]);
    }

    /// The file was written and synced.
    pub fn sync(&self, seconds: f64) {
        self.own.sync_seconds.observe(seconds);
    }

    /// A proposal for an edge was committed.
    pub fn commit(&self, seconds: f64) {
        self.own.commit_seconds.observe(seconds);
    }

    /// A replica answered an order.
    pub fn order(&self, answer: &str) {
        count(&self.own.orders, [("answer", answer)]);
    }

    /// How many replicas warm up.
    pub fn warming_replicas(&self, count: usize) {
        self.readings.warming_replicas.set(count as i64);
    }

    /// How many permits were granted or refused since this process leads.
    pub fn grants(&self, outcome: &str, count: u64) {
        set(&self.own.grants, [("outcome", outcome)], count as i64);
    }

    /// A run ended.
    pub fn run_ended(&self, end: &str) {
        count(&self.own.runs_ended, [("end", end)]);
    }

    /// An edge reported how a scoring ended.
    pub fn scoring_ended(&self, end: &str) {
        count(&self.own.scorings_ended, [("end", end)]);
    }

    /// A message to an edge was not sent, and why.
    pub fn edge_message_lost(&self, reason: &str) {
        count(&self.own.edge_messages_lost, [("reason", reason)]);
    }

    /// A replica was seen to start again under its id.
    pub fn replica_reborn(&self) {
        self.own.replicas_reborn.inc();
    }

    /// The platform answered a usage report, or did not.
    pub fn usage_report(&self, answer: &str) {
        count(&self.own.usage_reports, [("answer", answer)]);
    }

    /// The platform answered an order of replicas, or did not.
    pub fn replica_order(&self, answer: &str) {
        count(&self.own.replica_orders, [("answer", answer)]);
    }

    /// This process began to lead.
    pub fn leadership(&self) {
        self.own.leaderships.inc();
    }

    /// All metrics as text.
    pub fn text(&self, state: &StorageState) -> String {
        self.readings.term.set(state.term as i64);
        self.readings.committed.set(state.committed as i64);
        self.readings.file_bytes.set(state.file_bytes as i64);
        self.readings.voters.set(state.voters as i64);
        self.readings.leads.set(i64::from(state.leads));
        self.readings.jobs.set(state.jobs as i64);
        self.readings.running.set(state.running as i64);
        self.readings.waiting.set(state.waiting as i64);
        self.readings
            .quarantined_contents
            .set(state.quarantined_contents as i64);
        self.readings
            .log_lines_dropped
            .set(state.log_lines_dropped as i64);
        text(&self.registry)
    }
}
