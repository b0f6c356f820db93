//! Stand-in trainer: opens steps, fetches and checks samples, simulates training and publishes
//! weights.

use crate::cluster::{Group, weight_version};
use crate::tokens::token;
use brasspond_emulator::verify_text;
use brasspond_http::{Client, read_json, request};
use brasspond_resource::object_to_json;
use brasspond_types::{Sample, oldest_version};
use hyper::header::{AUTHORIZATION, HeaderValue};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, Instant};

/// Largest accepted answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Timeout of a request. It exceeds the time for which a fetch may wait on the server.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a fetch may wait for samples on the server, in milliseconds.
const WAIT_MILLISECONDS: u64 = 1_000;
/// Delay before a failed request is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Number of steps that are opened ahead of the current one.
const STEPS_AHEAD: u64 = 1;

/// Counts and measurements recorded by a trainer.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrainerRecord {
    pub(crate) requested: u64,
    pub(crate) delivered: u64,
    pub(crate) duplicates: u64,
    pub(crate) missing: u64,
    pub(crate) stale: u64,
    pub(crate) mislabelled: u64,
    /// Number of versions behind the newest, for each sample.
    pub(crate) staleness_versions: Vec<u64>,
    /// Seconds since the oldest version was superseded, for each sample.
    pub(crate) staleness_seconds: Vec<f64>,
    pub(crate) idle: Duration,
    pub(crate) total: Duration,
}

/// Workload of a trainer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    pub(crate) group: Group,
    pub(crate) steps: u64,
    pub(crate) samples_per_prompt: u32,
    pub(crate) max_tokens: u32,
    pub(crate) training_time: Duration,
}

/// A running trainer.
pub(crate) struct Trainer {
    plan: Plan,
    nodes: Arc<RwLock<Vec<SocketAddr>>>,
    client: Client,
    prompts: Vec<String>,
    /// Publication time of each weight version.
    published: BTreeMap<u64, Instant>,
    /// Fetch cursor of each opened step.
    cursors: BTreeMap<u64, String>,
    /// Sample slots received in each step.
    received: BTreeMap<u64, BTreeSet<u32>>,
    record: TrainerRecord,
    /// Position in the node list of the node to call, modulo its length.
    node_index: usize,
}

impl Trainer {
    pub(crate) fn new(plan: Plan, nodes: Arc<RwLock<Vec<SocketAddr>>>) -> Self {
        let prompts = serde_json::from_str(plan.group.prompts).unwrap_or_default();
        Self {
            plan,
            nodes,
            client: Client::default(),
            prompts,
            published: [(1, Instant::now())].into(),
            cursors: BTreeMap::new(),
            received: BTreeMap::new(),
            record: TrainerRecord::default(),
            node_index: 0,
        }
    }

    fn newest(&self) -> u64 {
        self.published.keys().next_back().copied().unwrap_or(1)
    }

    fn slots(&self) -> u32 {
        self.prompts.len() as u32 * self.plan.samples_per_prompt
    }

    /// Runs all steps and returns the record.
    pub(crate) async fn run(mut self) -> TrainerRecord {
        let begun = Instant::now();
        for step in 1..=self.plan.steps {
            let last = (step + STEPS_AHEAD).min(self.plan.steps);
            for ahead in step..=last {
                self.open(ahead).await;
            }
            let waiting = Instant::now();
            while self.received.get(&step).map_or(0, BTreeSet::len) < self.slots() as usize {
                self.fetch(step).await;
            }
            self.record.idle += waiting.elapsed();
            let end = Instant::now() + self.plan.training_time;
            while Instant::now() < end {
                let is_complete =
                    self.received.get(&last).map_or(0, BTreeSet::len) >= self.slots() as usize;
                if last > step && !is_complete {
                    self.fetch(last).await;
                } else {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            self.call(Method::DELETE, &self.step_path(step), None).await;
            if step < self.plan.steps {
                self.publish(step + 1).await;
            }
            log::info!(
                "event=step_trained group={} step={step} seconds={:.1}",
                self.plan.group.name,
                begun.elapsed().as_secs_f64()
            );
        }
        self.record.total = begun.elapsed();
        self.record.requested = u64::from(self.slots()) * self.plan.steps;
        let received: usize = self.received.values().map(BTreeSet::len).sum();
        self.record.missing = self.record.requested.saturating_sub(received as u64);
        self.record
    }

    fn step_path(&self, step: u64) -> String {
        format!("/v1/groups/{}/steps/{step}", self.plan.group.name)
    }

    /// Opens a step unless it is already open.
    async fn open(&mut self, step: u64) {
        if self.cursors.contains_key(&step) {
            return;
        }
        self.reopen(step).await;
        self.cursors.insert(step, String::new());
    }

    /// Sends the request that opens a step until it succeeds.
    async fn reopen(&mut self, step: u64) {
        let body = json!({
            "model": self.plan.group.model,
            "prompts": self.prompts,
            "samples_per_prompt": self.plan.samples_per_prompt,
            "max_tokens": self.plan.max_tokens,
            "newest_version": self.newest(),
        });
        loop {
            let answer = self
                .call(Method::PUT, &self.step_path(step), Some(&body))
                .await;
            if answer.is_some_and(|(status, _)| status.is_success()) {
                return;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Fetches and records the samples after the cursor. Reopens a step unknown to the node.
    async fn fetch(&mut self, step: u64) {
        let newest = self.newest();
        let cursor = self.cursors.get(&step).cloned().unwrap_or_default();
        let path = format!(
            "{}/samples?cursor={cursor}&newest_version={newest}&count=64&wait_milliseconds={WAIT_MILLISECONDS}",
            self.step_path(step)
        );
        match self.call(Method::GET, &path, None).await {
            Some((status, answer)) if status.is_success() => {
                if let Some(cursor) = answer["cursor"].as_str() {
                    self.cursors.insert(step, cursor.to_owned());
                }
                let samples: Vec<Sample> =
                    serde_json::from_value(answer["samples"].clone()).unwrap_or_default();
                for sample in &samples {
                    self.record_sample(step, sample, newest);
                }
            }
            Some((StatusCode::NOT_FOUND, _)) => self.reopen(step).await,
            _ => tokio::time::sleep(RETRY_DELAY).await,
        }
    }

    /// Checks a sample and records the result. `newest` is the newest version that was published
    /// when the fetch was sent.
    fn record_sample(&mut self, step: u64, sample: &Sample, newest: u64) {
        self.record.delivered += 1;
        if !self.received.entry(step).or_default().insert(sample.slot) {
            self.record.duplicates += 1;
        }
        let prompt = &self.prompts[(sample.slot / self.plan.samples_per_prompt) as usize];
        if sample.spans.is_empty() || !verify_text(prompt, &sample.spans, &sample.text) {
            self.record.mislabelled += 1;
        }
        let oldest = oldest_version(&sample.spans).map_or(0, |version| version.0);
        let behind = newest.saturating_sub(oldest);
        if behind > self.plan.group.max_staleness {
            self.record.stale += 1;
        }
        self.record.staleness_versions.push(behind);
        let superseded = self.published.get(&(oldest + 1));
        let seconds = superseded.map_or(0.0, |at| at.elapsed().as_secs_f64());
        self.record.staleness_seconds.push(seconds);
    }

    /// Publishes a weight version with the operator's token and retries until it succeeds.
    async fn publish(&mut self, version: u64) {
        let object = weight_version(self.plan.group.model, version);
        let mut body = object_to_json(&object);
        if let Some(metadata) = body["metadata"].as_object_mut() {
            metadata.remove("resourceVersion");
        }
        let path = format!("/apis/{}/{}", brasspond_resource::API_VERSION, object.key());
        loop {
            let answer = self
                .call_as("operator", Method::PUT, &path, Some(&body))
                .await;
            if answer.is_some_and(|(status, _)| status.is_success()) {
                break;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        self.published.insert(version, Instant::now());
    }

    /// Calls a node with the trainer's token.
    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Option<(StatusCode, Value)> {
        let caller = format!("{}-trainer", self.plan.group.name);
        self.call_as(&caller, method, path, body).await
    }

    /// Calls a node with the token of `caller`. After a failure or a server error, the next call
    /// goes to the next node in the list.
    async fn call_as(
        &mut self,
        caller: &str,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Option<(StatusCode, Value)> {
        let address = {
            let nodes = self.nodes.read().unwrap_or_else(PoisonError::into_inner);
            nodes.get(self.node_index % nodes.len().max(1)).copied()
        };
        let mut request = request(method, address?, path, body);
        let bearer = HeaderValue::from_str(&format!("Bearer {}", token(caller)));
        request.headers_mut().insert(AUTHORIZATION, bearer.ok()?);
        let exchange = async {
            let response = self.client.send(request).await.ok()?;
            let status = response.status();
            let body = read_json(response.into_body(), MAX_ANSWER_BYTES)
                .await
                .ok()?;
            Some((status, body))
        };
        let answer = tokio::time::timeout(REQUEST_TIMEOUT, exchange)
            .await
            .ok()
            .flatten();
        let failed = answer
            .as_ref()
            .is_none_or(|(status, _)| status.is_server_error());
        if failed {
            self.node_index += 1;
        }
        answer
    }
}
