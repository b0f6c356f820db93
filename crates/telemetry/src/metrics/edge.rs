//! Metrics of an edge.

use super::links::LinkMetrics;
use super::register::{Counters, Histograms, count, encode_text, metrics, observe};
use super::source::SourceMetrics;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

metrics! {
    /// Metrics that an edge records itself; durations are in seconds.
    struct Instruments {
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
        hedges: Counters = "hedges", "Requests that waited long for a first replica: sent to a second one and won or lost by it, or not sent because there was no_budget or no_replica";
        job_calls: Counters = "job_calls", "Calls about jobs by call and outcome";
        job_call_seconds: Histograms = "job_call_seconds", "Time of a call about a job, by call";
        runs: Counters = "runs", "Runs of items by how they ended";
        scorings: Counters = "scorings", "Scorings of texts by how they ended";
        scoring_seconds: Histogram = "scoring_seconds", "Time from a whole text to its score";
        callers_cut: Counters = "callers_cut", "Connections of callers closed because of answers that they did not read, by reason";
        held_answer_bytes: Gauge = "held_answer_bytes", "Bytes of answers held for callers whose connections accept no more bytes";
        bodies_refused: Counters = "bodies_refused", "Requests refused because their body was not read, by reason";
        claimed_body_bytes: Gauge = "claimed_body_bytes", "Bytes of memory claimed for bodies of requests";
        denials: Counters = "denials", "Calls turned away for their API key, by reason";
        store_reachable: Gauge = "store_reachable", "1 while the platform's store answers";
        unoffered_seconds: Histogram = "unoffered_seconds", "Time for which requests were queued that no replica was offered";
        quarantined_contents: Gauge = "held_contents", "Quarantined contents, as the leader reported";
        known_replica_loads: Gauge = "known_replica_loads", "Replicas that the leader reported as slow or failing and that this edge treats so";
        log_lines_dropped: Gauge = "log_lines_dropped", "Log lines dropped since the start";
    }
}

/// Metrics of an edge.
pub struct EdgeMetrics {
    instruments: Instruments,
    links: LinkMetrics,
    source: SourceMetrics,
    registry: Registry,
}

impl Default for EdgeMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("brasspond_edge");
        Self {
            instruments: Instruments::register(&mut registry),
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
    /// Records a finished request and the time until its response headers.
    pub fn request(&self, route: &str, outcome: &str, seconds: f64) {
        count(
            &self.instruments.requests,
            [("route", route), ("outcome", outcome)],
        );
        observe(
            &self.instruments.request_seconds,
            [("route", route)],
            seconds,
        );
    }

    /// Counts replicas that restarted under the same id.
    pub fn replicas_reborn(&self, count: usize) {
        self.instruments.replicas_reborn.inc_by(count as u64);
    }

    /// Counts a call that was rejected because of its API key.
    pub fn denial(&self, reason: &str) {
        count(&self.instruments.denials, [("reason", reason)]);
    }

    /// Counts a caller's connection that was closed because the caller did not read.
    pub fn caller_cut(&self, reason: &str) {
        count(&self.instruments.callers_cut, [("reason", reason)]);
    }

    /// Sets the number of bytes of answers held for callers whose connections accept no more.
    pub fn held_bytes(&self, bytes: u64) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.instruments.held_answer_bytes.set(bytes);
    }

    /// Counts a request that was refused because its body was not read.
    pub fn body_refused(&self, reason: &str) {
        count(&self.instruments.bodies_refused, [("reason", reason)]);
    }

    /// Sets the number of bytes of memory claimed for bodies of requests.
    pub fn claimed_body_bytes(&self, bytes: u64) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.instruments.claimed_body_bytes.set(bytes);
    }

    /// Counts a message to the leader that was not sent.
    pub fn leader_message_lost(&self) {
        self.instruments.leader_messages_lost.inc();
    }

    /// Records how long a request was queued without being offered a replica.
    pub fn unoffered(&self, seconds: f64) {
        self.instruments.unoffered_seconds.observe(seconds);
    }

    /// Sets whether the evacuated zones are known, the number of those zones, and the number of
    /// replicas in them.
    pub fn evacuated(&self, known: bool, zones: usize, replicas: usize) {
        self.instruments.evacuations_known.set(i64::from(known));
        self.instruments.evacuated_zones.set(zones as i64);
        self.instruments.evacuated_replicas.set(replicas as i64);
    }

    /// Counts a permit request for a replica that warms up, by outcome.
    pub fn permit(&self, outcome: &str) {
        count(&self.instruments.permits, [("outcome", outcome)]);
    }

    /// Sets the number of quarantined contents, as reported by the leader.
    pub fn quarantined_contents(&self, count: usize) {
        self.instruments.quarantined_contents.set(count as i64);
    }

    /// Sets the number of replicas whose speed or failure is known from the leader.
    pub fn known_replica_loads(&self, count: usize) {
        self.instruments.known_replica_loads.set(count as i64);
    }

    /// Records a finished attempt at a replica and its duration.
    pub fn attempt(&self, outcome: &str, seconds: f64) {
        count(&self.instruments.attempts, [("outcome", outcome)]);
        observe(
            &self.instruments.attempt_seconds,
            [("outcome", outcome)],
            seconds,
        );
    }

    /// Counts a hedge or a hedge that was not sent, by outcome.
    pub fn hedge(&self, outcome: &str) {
        count(&self.instruments.hedges, [("outcome", outcome)]);
    }

    /// Records an answered job call and its duration.
    pub fn job_call(&self, call: &str, outcome: &str, seconds: f64) {
        count(
            &self.instruments.job_calls,
            [("call", call), ("outcome", outcome)],
        );
        observe(
            &self.instruments.job_call_seconds,
            [("call", call)],
            seconds,
        );
    }

    /// Counts a finished run of an item.
    pub fn run(&self, end: &str) {
        count(&self.instruments.runs, [("end", end)]);
    }

    /// Records a finished scoring of a text and its duration.
    pub fn scoring(&self, end: &str, seconds: f64) {
        count(&self.instruments.scorings, [("end", end)]);
        self.instruments.scoring_seconds.observe(seconds);
    }

    /// Sets whether the platform's store answers.
    pub fn store_reachable(&self, reachable: bool) {
        self.instruments.store_reachable.set(i64::from(reachable));
    }

    /// Encodes all metrics as text.
    pub fn text(&self, log_lines_dropped: u64) -> String {
        self.instruments
            .log_lines_dropped
            .set(log_lines_dropped as i64);
        encode_text(&self.registry)
    }
}
