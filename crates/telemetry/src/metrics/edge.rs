//! Metrics of an edge.

use super::links::LinkMetrics;
use super::register::{Counters, Histograms, count, metrics, observe, text};
use super::source::SourceMetrics;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

metrics! {
    /// What an edge itself counts and measures; times are in seconds.
    struct Measures {
        leader_messages_lost: Counter = "leader_messages_lost", "Messages to the leader that its queue did not take";
        replicas_reborn: Counter = "replicas_reborn", "Replicas seen to start again under their id";
        permits: Counters = "permits", "Permits asked for to send to a replica that warms up: granted, refused, or beside (a warm one was full and nothing was granted)";
        evacuations_known: Gauge = "evacuations_known", "1 once it is known which zones are evacuated; 0 for good where zones cannot be evacuated";
        evacuated_zones: Gauge = "evacuated_zones", "Zones whose replicas are sent nothing";
        evacuated_replicas: Gauge = "evacuated_replicas", "Replicas in those zones";
        requests: Counters = "requests", "Requests by route and outcome";
        request_seconds: Histograms = "request_seconds", "Time from a request's arrival to the head of its answer, by route";
        attempts: Counters = "attempts", "Attempts at replicas by outcome";
        attempt_seconds: Histograms = "attempt_seconds", "Time of an attempt to the head of its answer, by outcome";
        job_calls: Counters = "job_calls", "Calls about jobs by call and outcome";
        job_call_seconds: Histograms = "job_call_seconds", "Time of a call about a job, by call";
        runs: Counters = "runs", "Runs of items by how they ended";
        scorings: Counters = "scorings", "Scorings of texts by how they ended";
        scoring_seconds: Histogram = "scoring_seconds", "Time from a whole text to its score";
        denials: Counters = "denials", "Calls turned away for their API key, by reason";
        store_reachable: Gauge = "store_reachable", "1 while the platform's store answers";
        unoffered_seconds: Histogram = "unoffered_seconds", "Time for which requests were queued that no replica was offered";
        quarantined_contents: Gauge = "held_contents", "Quarantined contents, as the leader reported";
        log_lines_dropped: Gauge = "log_lines_dropped", "Log lines dropped since the start";
    }
}

/// Metrics of an edge.
pub struct EdgeMetrics {
    own: Measures,
    links: LinkMetrics,
    source: SourceMetrics,
    registry: Registry,
}

impl Default for EdgeMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("brasspond_edge");
        Self {
            own: Measures::register(&mut registry),
            links: LinkMetrics::register(&mut registry),
            source: SourceMetrics::register(&mut registry),
            registry,
        }
    }
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

impl EdgeMetrics {
    /// A request ended.
    pub fn request(&self, route: &str, outcome: &str, seconds: f64) {
        count(&self.own.requests, [("route", route), ("outcome", outcome)]);
        observe(&self.own.request_seconds, [("route", route)], seconds);
    }

    /// So many replicas were seen to start again under their id.
    pub fn replicas_reborn(&self, count: usize) {
        self.own.replicas_reborn.inc_by(count as u64);
    }

    /// A call was turned away for its API key.
    pub fn denial(&self, reason: &str) {
        count(&self.own.denials, [("reason", reason)]);
    }

    /// A message to the leader was not sent.
    pub fn leader_message_lost(&self) {
        self.own.leader_messages_lost.inc();
    }

    /// A request ended that no replica was offered.
    pub fn unoffered(&self, seconds: f64) {
        self.own.unoffered_seconds.observe(seconds);
    }

    /// Whether it is known which zones are evacuated, how many are, and how many replicas they have.
    pub fn evacuated(&self, known: bool, zones: usize, replicas: usize) {
        self.own.evacuations_known.set(i64::from(known));
        self.own.evacuated_zones.set(zones as i64);
        self.own.evacuated_replicas.set(replicas as i64);
    }

    /// The leader answered whether a request may go to a replica that warms up.
    pub fn permit(&self, outcome: &str) {
        count(&self.own.permits, [("outcome", outcome)]);
    }

    /// The leader reported how many contents are quarantined.
    pub fn quarantined_contents(&self, count: usize) {
        self.own.quarantined_contents.set(count as i64);
    }

    /// An attempt at a replica ended.
    pub fn attempt(&self, outcome: &str, seconds: f64) {
        count(&self.own.attempts, [("outcome", outcome)]);
        observe(&self.own.attempt_seconds, [("outcome", outcome)], seconds);
    }

    /// A call about a job was answered.
    pub fn job_call(&self, call: &str, outcome: &str, seconds: f64) {
        count(&self.own.job_calls, [("call", call), ("outcome", outcome)]);
        observe(&self.own.job_call_seconds, [("call", call)], seconds);
    }

    /// A run of an item ended.
    pub fn run(&self, end: &str) {
        count(&self.own.runs, [("end", end)]);
    }

    /// The scoring of a text ended.
    pub fn scoring(&self, end: &str, seconds: f64) {
        count(&self.own.scorings, [("end", end)]);
        self.own.scoring_seconds.observe(seconds);
    }

    /// Whether the platform's store answers.
    pub fn store_reachable(&self, reachable: bool) {
        self.own.store_reachable.set(i64::from(reachable));
    }

    /// All metrics as text.
    pub fn text(&self, log_lines_dropped: u64) -> String {
        self.own.log_lines_dropped.set(log_lines_dropped as i64);
        text(&self.registry)
    }
}
