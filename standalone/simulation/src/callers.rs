//! Simulated callers: requests to models, and loans requested with idempotency keys.

use crate::clients::{Origin, RequestKey};
use crate::world::{SimEvent, World};
use brasspond_control::{Event, GenerateRequest, Reply};
use brasspond_emulator::completion_length;
use brasspond_fairness::Priority;
use brasspond_idempotency::{ClaimKey, Decision, Outcome};
use brasspond_rollout::Partial;
use brasspond_types::{GroupName, ModelName, WeightVersion, stable_hash, total_tokens};
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;

/// Request rates and sizes of the callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerConfig {
    /// Requests to models per second.
    pub model_rate: f64,
    /// Longest answer of a request to a model, in tokens.
    pub model_tokens: u32,
    /// Length of the prompt of a request to a model, in bytes.
    pub prompt_bytes: usize,
    /// New loans per second.
    pub loan_rate: f64,
    /// Simulated time after which no new requests or loans arrive. Zero means no limit.
    pub stop_after: Duration,
}

/// Time limit that a request to a model carries.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay until the lending service runs a loan, and delay from then until the node receives the
/// outcome.
const SERVICE_DELAY: Duration = Duration::from_millis(10);
/// Probability that a node cannot connect to the lending service.
const CONNECT_FAILURE_PROBABILITY: f64 = 0.02;
/// Largest number of requests for the same loan.
const MAX_LOAN_REQUESTS: u32 = 4;
/// Delay before a loan is requested again.
const LOAN_RETRY_DELAY: Duration = Duration::from_millis(700);

#[derive(Debug)]
struct ModelCall {
    prompt: String,
    seed: u64,
    max_tokens: u32,
}

#[derive(Debug)]
struct LoanCall {
    loan: u64,
    ran: bool,
}

/// Calls and loans of the callers.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    calls: BTreeMap<u64, ModelCall>,
    loan_calls: BTreeMap<u64, LoanCall>,
    /// Number of requests sent per unfinished loan.
    loans: BTreeMap<u64, u32>,
    next: u64,
}

impl World {
    fn callers_stopped(&self) -> bool {
        let stop = self.config.callers.stop_after;
        stop > Duration::ZERO && self.now.as_secs_f64() > stop.as_secs_f64()
    }

    /// Draws the time until the next arrival of a Poisson process.
    fn draw_interarrival_time(&mut self, rate: f64) -> Duration {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / rate)
    }

    /// Sends a request to a model and schedules the next one.
    pub(crate) fn caller_arrives(&mut self) {
        let config = self.config.callers;
        if self.callers_stopped() {
            return;
        }
        let gap = self.draw_interarrival_time(config.model_rate);
        self.queue.push(self.now + gap, SimEvent::CallerArrives);
        self.callers.next += 1;
        let call = self.callers.next;
        let group = self.random.random_range(0..self.config.groups.len());
        let group = self.config.groups[group].name.clone();
        let seed: u64 = self.random.random();
        let mut prompt = format!("caller {call}: ");
        let padding = config.prompt_bytes.saturating_sub(prompt.len());
        prompt.push_str(&"x".repeat(padding));
        let body = GenerateRequest {
            group: GroupName::new(&group),
            model: ModelName::new(&group),
            prompt: prompt.as_str().into(),
            max_tokens: config.model_tokens,
            priority: Priority::Interactive,
            seed,
            minimum_version: WeightVersion(0),
            time_limit: REQUEST_TIMEOUT,
        };
        let node = self.random.random_range(0..self.nodes.len());
        let max_tokens = config.model_tokens;
        let record = ModelCall {
            prompt,
            seed,
            max_tokens,
        };
        let body = Box::new(body);
        let sent = self.send_request(node, Origin::Caller(call), |request| Event::Generate {
            request,
            body,
        });
        if sent {
            self.callers.calls.insert(call, record);
        }
    }

    pub(crate) fn caller_answered(&mut self, call: u64, answer: Option<(Reply, Option<Partial>)>) {
        let Some(record) = self.callers.calls.remove(&call) else {
            return;
        };
        let started = self.clients.started.remove(&Origin::Caller(call));
        let Some((reply, answer)) = answer else {
            return;
        };
        match reply {
            Reply::Generated => {
                let lengths = self.config.engine.lengths;
                let expected =
                    completion_length(&lengths, &record.prompt, record.seed, record.max_tokens);
                let answer = answer.unwrap_or_default();
                let received = total_tokens(&answer.spans);
                let seed_prefix = format!("{:x}@", record.seed);
                let mut pieces = answer.text.split_terminator(';');
                let is_own = pieces.all(|piece| piece.starts_with(&seed_prefix));
                self.oracle
                    .check_answer(self.now, received, u64::from(expected), is_own);
            }
            Reply::Refused(refusal) => {
                self.oracle
                    .check_refusal(self.now, refusal.not_run, started);
            }
            _ => {}
        }
    }

    /// Requests a new loan, sometimes twice at the same time, and schedules the next loan.
    pub(crate) fn loan_arrives(&mut self) {
        if self.callers_stopped() {
            return;
        }
        let gap = self.draw_interarrival_time(self.config.callers.loan_rate);
        self.queue.push(self.now + gap, SimEvent::LoanArrives);
        self.callers.next += 1;
        let loan = self.callers.next;
        self.callers.loans.insert(loan, 0);
        self.request_loan(loan);
        if self.random.random_bool(0.3) {
            self.request_loan(loan);
        }
    }

    pub(crate) fn request_loan(&mut self, loan: u64) {
        let Some(tries) = self.callers.loans.get_mut(&loan) else {
            return;
        };
        *tries += 1;
        if *tries > MAX_LOAN_REQUESTS {
            self.callers.loans.remove(&loan);
            return;
        }
        self.callers.next += 1;
        let call = self.callers.next;
        let key = ClaimKey::new("patron", "lending", &loan.to_string());
        let node = self.random.random_range(0..self.nodes.len());
        let sent = self.send_request(node, Origin::Loan(call), |request| Event::Claim {
            request,
            key,
        });
        self.callers
            .loan_calls
            .insert(call, LoanCall { loan, ran: false });
        if !sent {
            self.loan_answered(call, None);
        }
    }

    /// Acts on a node's reply to a loan: runs the loan at the service if the claim permits it,
    /// otherwise passes the reply on to the caller.
    pub(crate) fn claim_decided(&mut self, key: RequestKey, call: u64, reply: Reply) {
        let (node, instance, request) = key;
        if reply != Reply::Claim(Decision::Run) {
            self.answer_client(Origin::Loan(call), Some((reply, None)));
            return;
        }
        let cannot_connect = self.draw(CONNECT_FAILURE_PROBABILITY);
        if cannot_connect {
            let event = Event::ClaimEnded {
                request,
                outcome: None,
            };
            self.queue.push(
                self.now,
                SimEvent::NodeEvent(node, instance, Box::new(event)),
            );
            self.answer_client(
                Origin::Loan(call),
                Some((Reply::Claim(Decision::NotRun), None)),
            );
            return;
        }
        self.clients.open.insert(key, Origin::Loan(call));
        self.queue
            .push(self.now + SERVICE_DELAY, SimEvent::ServiceRuns(key, call));
    }

    /// Runs a loan at the service. The outcome reaches the node only if the request is still open.
    pub(crate) fn service_runs(&mut self, key: RequestKey, call: u64) {
        let (node, instance, request) = key;
        if let Some(record) = self.callers.loan_calls.get_mut(&call) {
            record.ran = true;
            let loan = record.loan;
            self.oracle.check_execution(self.now, loan);
        }
        if self.clients.open.remove(&key).is_none() {
            return;
        }
        let outcome = Outcome {
            status: 200,
            content_type: "application/json".to_owned(),
            body: Vec::new(),
            truncated: false,
        };
        let event = Event::ClaimEnded {
            request,
            outcome: Some(outcome.clone()),
        };
        let at = self.now + SERVICE_DELAY;
        self.queue
            .push(at, SimEvent::NodeEvent(node, instance, Box::new(event)));
        let reply = Reply::Claim(Decision::Known(outcome));
        self.answer_client(Origin::Loan(call), Some((reply, None)));
    }

    pub(crate) fn loan_answered(&mut self, call: u64, reply: Option<Reply>) {
        let Some(record) = self.callers.loan_calls.get(&call) else {
            return;
        };
        let (loan, ran) = (record.loan, record.ran);
        let is_done = matches!(reply, Some(Reply::Claim(Decision::Known(_))));
        let says_not_run = matches!(
            reply,
            Some(Reply::Claim(Decision::NotRun)) | Some(Reply::Refused(_))
        );
        self.oracle.check_refusal(self.now, says_not_run, ran);
        if is_done {
            self.callers.loans.remove(&loan);
        } else {
            self.queue
                .push(self.now + LOAN_RETRY_DELAY, SimEvent::LoanRetry(loan));
        }
    }
}

/// Builds a prompt of the given length. A group uses the same prompt for an index in every step.
pub(crate) fn step_prompt(group: &str, index: u32, bytes: usize) -> String {
    let mut prompt = format!("{group} prompt {index}: ");
    let mut filler = stable_hash(&[prompt.as_bytes()]);
    while prompt.len() < bytes {
        prompt.push_str(&format!("{filler:016x} "));
        filler = stable_hash(&[&filler.to_le_bytes()]);
    }
    prompt.truncate(bytes.max(16));
    prompt
}
