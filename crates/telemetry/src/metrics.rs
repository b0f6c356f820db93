//! Metrics of an edge and of a storage process, in the Prometheus text format
//! (version 0.0.4 as `prometheus-client` writes it).

use crate::link_metrics::LinkMetrics;
use crate::source_metrics::SourceMetrics;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

type Labels = Vec<(&'static str, String)>;
type Gauges = Family<Labels, Gauge>;
type Counters = Family<Labels, Counter>;
type Histograms = Family<Labels, Histogram>;

/// Buckets from 1 ms to about 16 s.
fn latency() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 15))
}

/// Metrics of an edge.
pub struct EdgeMetrics {
    registry: Registry,
    requests: Counters,
    request_seconds: Histograms,
    attempts: Counters,
    attempt_seconds: Histograms,
    job_calls: Counters,
    job_call_seconds: Histograms,
    runs: Counters,
    scorings: Counters,
    scoring_seconds: Histogram,
    denials: Counters,
    store_reachable: Gauge,
    unoffered_seconds: Histogram,
    leader_messages_lost: Counter,
    held_contents: Gauge,
    evacuations_known: Gauge,
    evacuated_zones: Gauge,
    evacuated_replicas: Gauge,
    permits: Counters,
    replicas_reborn: Counter,
    log_lines_dropped: Gauge,
    links: LinkMetrics,
    source: SourceMetrics,
}

impl AsRef<SourceMetrics> for EdgeMetrics {
    fn as_ref(&self) -> &SourceMetrics {
        &self.source
    }
}

impl AsRef<LinkMetrics> for EdgeMetrics {
    fn as_ref(&self) -> &LinkMetrics {
        &self.links
    }
}

impl Default for EdgeMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("brasspond_edge");
        let requests = Counters::default();
        let request_seconds = Histograms::new_with_constructor(latency);
        let attempts = Counters::default();
        let attempt_seconds = Histograms::new_with_constructor(latency);
        let job_calls = Counters::default();
        let job_call_seconds = Histograms::new_with_constructor(latency);
        let runs = Counters::default();
        let scorings = Counters::default();
        let scoring_seconds = latency();
        let denials = Counters::default();
        let store_reachable = Gauge::default();
        let unoffered_seconds = latency();
        let leader_messages_lost = Counter::default();
        registry.register(
            "leader_messages_lost",
            "Messages to the leader that its queue did not take",
            leader_messages_lost.clone(),
        );
        let held_contents = Gauge::default();
        let evacuations_known = Gauge::default();
        let evacuated_zones = Gauge::default();
        let evacuated_replicas = Gauge::default();
        let replicas_reborn = Counter::default();
        registry.register(
            "replicas_reborn",
            "Replicas seen to start again under their id",
            replicas_reborn.clone(),
        );
        let permits = Counters::default();
        registry.register(
            "permits",
            "Questions for leave to send to a replica that warms up: granted, refused, or beside (a warm one was full and nothing was granted)",
            permits.clone(),
        );
        let log_lines_dropped = Gauge::default();
        registry.register(
            "evacuations_known",
            "1 once it is known which zones are evacuated; 0 for good where nobody asks",
            evacuations_known.clone(),
        );
        registry.register(
            "evacuated_zones",
            "Zones whose replicas are sent nothing",
            evacuated_zones.clone(),
        );
        registry.register(
            "evacuated_replicas",
            "Replicas in those zones",
            evacuated_replicas.clone(),
        );
        registry.register(
            "requests",
            "Requests by route and outcome",
            requests.clone(),
        );
        registry.register(
            "request_seconds",
            "Time from a request's arrival to the head of its answer, by route",
            request_seconds.clone(),
        );
        registry.register(
            "attempts",
            "Attempts at replicas by outcome",
            attempts.clone(),
        );
        registry.register(
            "attempt_seconds",
            "Time of an attempt to the head of its answer, by outcome",
            attempt_seconds.clone(),
        );
        registry.register(
            "job_calls",
            "Calls about jobs by call and outcome",
            job_calls.clone(),
        );
        registry.register(
            "job_call_seconds",
            "Time of a call about a job, by call",
            job_call_seconds.clone(),
        );
        registry.register("runs", "Runs of items by how they ended", runs.clone());
        registry.register(
            "scorings",
            "Scorings of texts by how they ended",
            scorings.clone(),
        );
        registry.register(
            "scoring_seconds",
            "Time from a whole text to its score",
            scoring_seconds.clone(),
        );
        registry.register(
            "denials",
            "Calls turned away for their API key, by reason",
            denials.clone(),
        );
        registry.register(
            "store_reachable",
            "1 while the platform's store answers",
            store_reachable.clone(),
        );
        registry.register(
            "unoffered_seconds",
            "Time for which requests were kept that no replica was offered",
            unoffered_seconds.clone(),
        );
        registry.register(
            "held_contents",
            "Contents that no replica is to run, as the leader told",
            held_contents.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Log lines dropped since the start",
            log_lines_dropped.clone(),
        );
        let links = LinkMetrics::register(&mut registry);
        let source = SourceMetrics::register(&mut registry);
        Self {
            registry,
            links,
            source,
            requests,
            request_seconds,
            attempts,
            attempt_seconds,
            job_calls,
            job_call_seconds,
            runs,
            scorings,
            scoring_seconds,
            denials,
            store_reachable,
            unoffered_seconds,
            leader_messages_lost,
            held_contents,
            evacuations_known,
            evacuated_zones,
            evacuated_replicas,
            permits,
            replicas_reborn,
            log_lines_dropped,
        }
    }
}

impl EdgeMetrics {
    /// A request ended.
    pub fn request(&self, route: &str, outcome: &str, seconds: f64) {
        let labels = vec![
            ("route", route.to_string()),
            ("outcome", outcome.to_string()),
        ];
        self.requests.get_or_create(&labels).inc();
        let labels = vec![("route", route.to_string())];
        self.request_seconds.get_or_create(&labels).observe(seconds);
    }

    /// Replicas were seen to start again under their id.
    pub fn replicas_reborn(&self, count: usize) {
        self.replicas_reborn.inc_by(count as u64);
    }

    /// A call was turned away for its API key.
    pub fn denial(&self, reason: &str) {
        let labels = vec![("reason", reason.to_string())];
        self.denials.get_or_create(&labels).inc();
    }

    /// A message to the leader was not sent.
    pub fn leader_message_lost(&self) {
        self.leader_messages_lost.inc();
    }

    /// A request ended that no replica was offered.
    pub fn unoffered(&self, seconds: f64) {
        self.unoffered_seconds.observe(seconds);
    }

    /// What is known of evacuated zones, and how many replicas they hold.
    pub fn evacuated(&self, known: bool, zones: usize, replicas: usize) {
        self.evacuations_known.set(i64::from(known));
        self.evacuated_zones.set(zones as i64);
        self.evacuated_replicas.set(replicas as i64);
    }

    /// A request that only replicas that warm up may take was granted, or not.
    pub fn permit(&self, outcome: &str) {
        let labels = vec![("outcome", outcome.to_string())];
        self.permits.get_or_create(&labels).inc();
    }

    /// The leader told how many contents are held.
    pub fn held_contents(&self, count: usize) {
        self.held_contents.set(count as i64);
    }

    /// An attempt at a replica ended.
    pub fn attempt(&self, outcome: &str, seconds: f64) {
        let labels = vec![("outcome", outcome.to_string())];
        self.attempts.get_or_create(&labels).inc();
        self.attempt_seconds.get_or_create(&labels).observe(seconds);
    }

    /// A call about a job was answered.
    pub fn job_call(&self, call: &str, outcome: &str, seconds: f64) {
        let labels = vec![("call", call.to_string()), ("outcome", outcome.to_string())];
        self.job_calls.get_or_create(&labels).inc();
        let labels = vec![("call", call.to_string())];
        self.job_call_seconds
            .get_or_create(&labels)
            .observe(seconds);
    }

    /// A run of an item ended.
    pub fn run(&self, end: &str) {
        let labels = vec![("end", end.to_string())];
        self.runs.get_or_create(&labels).inc();
    }

    /// The scoring of a text ended.
    pub fn scoring(&self, end: &str, seconds: f64) {
        let labels = vec![("end", end.to_string())];
        self.scorings.get_or_create(&labels).inc();
        self.scoring_seconds.observe(seconds);
    }

    /// Whether the platform's store answers.
    pub fn store_reachable(&self, reachable: bool) {
        self.store_reachable.set(i64::from(reachable));
    }

    /// All metrics as text.
    pub fn text(&self, log_lines_dropped: u64) -> String {
        self.log_lines_dropped.set(log_lines_dropped as i64);
        text(&self.registry)
    }
}

/// Metrics of a storage process.
pub struct StorageMetrics {
    registry: Registry,
    questions: Counters,
    sync_seconds: Histogram,
    commit_seconds: Histogram,
    orders: Counters,
    runs_ended: Counters,
    scorings_ended: Counters,
    edge_messages_lost: Counters,
    replicas_reborn: Counter,
    usage_reports: Counters,
    replica_orders: Counters,
    leaderships: Counter,
    term: Gauge,
    committed: Gauge,
    file_bytes: Gauge,
    voters: Gauge,
    leads: Gauge,
    jobs: Gauge,
    running: Gauge,
    waiting: Gauge,
    held_contents: Gauge,
    warming_replicas: Gauge,
    grants: Gauges,
    log_lines_dropped: Gauge,
    links: LinkMetrics,
    source: SourceMetrics,
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
    /// Contents that no replica is to run.
    pub held_contents: usize,
    /// Log lines dropped since the start.
    pub log_lines_dropped: u64,
}

impl Default for StorageMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("brasspond_storage");
        let questions = Counters::default();
        let sync_seconds = latency();
        let commit_seconds = latency();
        let orders = Counters::default();
        let runs_ended = Counters::default();
        let scorings_ended = Counters::default();
        let replicas_reborn = Counter::default();
        registry.register(
            "replicas_reborn",
            "Replicas that this process, leading, saw start again under their id",
            replicas_reborn.clone(),
        );
        let edge_messages_lost = Counters::default();
        registry.register(
            "edge_messages_lost",
            "Messages to edges that were not sent, by reason",
            edge_messages_lost.clone(),
        );
        let usage_reports = Counters::default();
        let replica_orders = Counters::default();
        let leaderships = Counter::default();
        let grants = Gauges::default();
        registry.register(
            "warming_grants",
            "Requests to replicas that warm up, granted and refused since this process leads",
            grants.clone(),
        );
        registry.register("questions", "Questions of edges by kind", questions.clone());
        registry.register(
            "sync_seconds",
            "Time to write and sync the log's file",
            sync_seconds.clone(),
        );
        registry.register(
            "commit_seconds",
            "Time from a proposal for an edge to its commit",
            commit_seconds.clone(),
        );
        registry.register("orders", "Orders to replicas by answer", orders.clone());
        registry.register("runs_ended", "Runs by how they ended", runs_ended.clone());
        registry.register(
            "scorings_ended",
            "Scorings by how they ended",
            scorings_ended.clone(),
        );
        registry.register(
            "usage_reports",
            "Usage reports sent, by answer",
            usage_reports.clone(),
        );
        registry.register(
            "replica_orders",
            "Orders of replicas sent, by answer",
            replica_orders.clone(),
        );
        registry.register(
            "leaderships",
            "Times this process began to lead",
            leaderships.clone(),
        );
        let links = LinkMetrics::register(&mut registry);
        let source = SourceMetrics::register(&mut registry);
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        Self {
            term: gauge("term", "Term of the log"),
            committed: gauge("committed_index", "Last committed index"),
            file_bytes: gauge("file_bytes", "Bytes of the log's file"),
            voters: gauge("voters", "Members that vote"),
            leads: gauge("leads", "1 while this process leads"),
            jobs: gauge("jobs", "Jobs in the table"),
            running: gauge("runs", "Runs under way, where it leads"),
            waiting: gauge("items_waiting", "Items that wait, where it leads"),
            held_contents: gauge("held_contents", "Contents that no replica is to run"),
            warming_replicas: gauge(
                "warming_replicas",
                "Replicas that warm up, or did just now, where this process leads",
            ),
            log_lines_dropped: gauge("log_lines_dropped", "Log lines dropped since the start"),
            registry,
            links,
            source,
            questions,
            sync_seconds,
            commit_seconds,
            orders,
            runs_ended,
            scorings_ended,
            edge_messages_lost,
            replicas_reborn,
            usage_reports,
            replica_orders,
            leaderships,
            grants,
        }
    }
}

impl StorageMetrics {
    /// An edge asked something.
    pub fn question(&self, kind: &str) {
        let labels = vec![("kind", kind.to_string())];
        self.questions.get_or_create(&labels).inc();
    }

    /// The file was written and synced.
    pub fn sync(&self, seconds: f64) {
        self.sync_seconds.observe(seconds);
    }

    /// A proposal for an edge was committed.
    pub fn commit(&self, seconds: f64) {
        self.commit_seconds.observe(seconds);
    }

    /// A replica answered an order.
    pub fn order(&self, answer: &str) {
        let labels = vec![("answer", answer.to_string())];
        self.orders.get_or_create(&labels).inc();
    }

    /// So many replicas warm up.
    pub fn warming_replicas(&self, count: usize) {
        self.warming_replicas.set(count as i64);
    }

    /// Requests to replicas that warm up, by what became of them.
    pub fn grants(&self, outcome: &str, count: u64) {
        let labels = vec![("outcome", outcome.to_string())];
        self.grants.get_or_create(&labels).set(count as i64);
    }

    /// A run ended.
    pub fn run_ended(&self, end: &str) {
        let labels = vec![("end", end.to_string())];
        self.runs_ended.get_or_create(&labels).inc();
    }

    /// An edge told how a scoring ended.
    pub fn scoring_ended(&self, end: &str) {
        let labels = vec![("end", end.to_string())];
        self.scorings_ended.get_or_create(&labels).inc();
    }

    /// A message to an edge was not sent, and why.
    pub fn edge_message_lost(&self, reason: &str) {
        let labels = vec![("reason", reason.to_string())];
        self.edge_messages_lost.get_or_create(&labels).inc();
    }

    /// A replica was seen to start again under its id.
    pub fn replica_reborn(&self) {
        self.replicas_reborn.inc();
    }

    /// The platform answered a usage report, or did not.
    pub fn usage_report(&self, answer: &str) {
        let labels = vec![("answer", answer.to_string())];
        self.usage_reports.get_or_create(&labels).inc();
    }

    /// The platform answered an order of replicas, or did not.
    pub fn replica_order(&self, answer: &str) {
        let labels = vec![("answer", answer.to_string())];
        self.replica_orders.get_or_create(&labels).inc();
    }

    /// This process began to lead.
    pub fn leadership(&self) {
        self.leaderships.inc();
    }

    /// All metrics as text.
    pub fn text(&self, state: &StorageState) -> String {
        self.term.set(state.term as i64);
        self.committed.set(state.committed as i64);
        self.file_bytes.set(state.file_bytes as i64);
        self.voters.set(state.voters as i64);
        self.leads.set(i64::from(state.leads));
        self.jobs.set(state.jobs as i64);
        self.running.set(state.running as i64);
        self.waiting.set(state.waiting as i64);
        self.held_contents.set(state.held_contents as i64);
        self.log_lines_dropped.set(state.log_lines_dropped as i64);
        text(&self.registry)
    }
}

fn text(registry: &Registry) -> String {
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = encode(&mut text, registry);
    text
}
