//! A leader's dispatcher before simulated edges and replicas, with a log whose
//! entries commit later, or not at all when the leader falls.

mod calls;
mod carry;
mod edge;
mod fault;
mod finish;
mod messages;
mod oracle;
mod replica;
mod streams;
mod time;
mod view;

pub use fault::{Fault, Mutation};

use crate::support;
use brasspond_dispatch::{Dispatcher, Event, OrderLeases, Settings};
use brasspond_fleet::{FleetView, WarmUp};
use brasspond_golden::Digest;
use brasspond_jobs::{Command, JobTable, ScoringCall, Submission};
use edge::Edge;
use oracle::{ItemPlan, Oracle};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use replica::Replica;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

/// Length of one step of simulated time, in ms.
const STEP_MS: u64 = 10;
/// Lease of an order with its margin, in ms.
const LEASE_WITH_MARGIN: u64 = 3_200;
/// Places on each replica.
const SLOTS: usize = 4;
/// Requests a second that a replica bears while it warms up.
const WARMING_MOST: usize = 3;
/// Lag of the view behind the truth, in ms.
const VIEW_LAG: u64 = 300;
/// Longest that a healed world may need to finish all jobs, in ms.
const FINISH_MS: u64 = 60_000;
/// Orders are applied at the latest after this time, in ms.
const LATEST_ORDER: u64 = 13_000;
/// Attempts a route allows.
const MAX_ATTEMPTS: u32 = 3;
const REPLICAS: usize = 4;
/// Longest time that a message to an edge takes more, in ms.
pub const LONGEST_LAG: u64 = 600;
const EDGES: usize = 3;
/// Where jobs may be while they are bound.
const INSIDE: &str = "inside";

/// The region of an edge or a replica: the last of each is outside.
fn region_of(number: usize, count: usize) -> &'static str {
    if number + 1 == count {
        "outside"
    } else {
        INSIDE
    }
}

/// An entry of the log that is not committed yet.
struct Proposal {
    commits_at: u64,
    command: Command,
}

impl Proposal {
    /// Whether a caller asked for it, and would again.
    fn is_callers(&self) -> bool {
        matches!(self.command, Command::Accept(_) | Command::End { .. })
    }
}

/// Something that reaches the leader from a task of its own.
struct Answer {
    at: u64,
    event: Event,
}

pub struct World {
    now: u64,
    random: ChaCha8Rng,
    mutation: Option<Mutation>,
    single_version: bool,
    table: JobTable,
    /// All committed entries.
    log: Vec<Command>,
    dispatcher: Option<Dispatcher>,
    term: u64,
    holder: String,
    elected_at: u64,
    leases: HashMap<String, (String, u64)>,
    proposals: VecDeque<Proposal>,
    answers: Vec<Answer>,
    replicas: Vec<Replica>,
    incarnations: u64,
    edges: Vec<Edge>,
    view: FleetView,
    view_at: Option<u64>,
    version: u64,
    /// Jobs are bound to a region.
    is_bound: bool,
    oracle: Oracle,
    submitted: Vec<Submission>,
    ended_at: BTreeMap<String, u64>,
    ticked_at: u64,
    reported_at: u64,
    /// Zones that are evacuated.
    evacuated: BTreeSet<Arc<str>>,
    /// Those that the leader received, or should have.
    known_evacuated: BTreeSet<Arc<str>>,
    /// Whether the present leader received which zones are.
    leader_knows: bool,
    /// All that leaders decided.
    digest: Digest,
}

/// The zone of a replica: each has its own.
fn zone_of(number: usize) -> Arc<str> {
    format!("zone-{number}").into()
}

impl World {
    pub fn new(seed: u64, single_version: bool, mutation: Option<Mutation>) -> Self {
        let replicas = (0..REPLICAS).map(|number| Replica::new(number, 0, SLOTS, 1));
        let mut world = Self {
            now: 1_000,
            random: ChaCha8Rng::seed_from_u64(seed),
            mutation,
            single_version,
            table: JobTable::default(),
            log: Vec::new(),
            dispatcher: None,
            term: 1,
            holder: "storage-0".to_string(),
            elected_at: 1_000,
            leases: HashMap::new(),
            proposals: VecDeque::new(),
            answers: Vec::new(),
            replicas: replicas.collect(),
            incarnations: 0,
            edges: (0..EDGES).map(Edge::new).collect(),
            view: support::view(0, SLOTS as u32),
            view_at: None,
            version: 1,
            is_bound: false,
            oracle: Oracle::new(1, MAX_ATTEMPTS),
            submitted: Vec::new(),
            ended_at: BTreeMap::new(),
            ticked_at: 0,
            reported_at: 0,
            evacuated: BTreeSet::new(),
            known_evacuated: BTreeSet::new(),
            leader_knows: false,
            digest: Digest::default(),
        };
        let configuration = Arc::make_mut(world.view.configuration.as_mut().expect("one"));
        configuration.routes[0].single_version = single_version;
        configuration.routes[0].max_attempts = MAX_ATTEMPTS;
        configuration.routes[0].max_queue_ms = 0;
        configuration.services[0].warm_up = Some(WarmUp {
            time_ms: 3_000,
            per_second: WARMING_MOST as f64,
        });
        for replica in &mut world.replicas {
            replica.checks_count = mutation != Some(Mutation::CountIgnored);
        }
        // A fleet may be mixed: one replica of it reports no life.
        if seed.is_multiple_of(4) {
            world.replicas[REPLICAS - 1].reports_life = false;
            world.replicas[REPLICAS - 1].is_ordered = false;
        }
        world.renew_view();
        world
    }

    /// Number and digest of all that leaders decided.
    pub fn digest(&self) -> String {
        self.digest.line()
    }

    pub fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += STEP_MS;
            self.step();
        }
    }

    /// A trainer submits a step, with the items of the step before that were not done.
    pub fn submit(&mut self, items: usize) {
        let lag = self.random.random_range(0..2);
        let min_version = self.version.saturating_sub(lag).max(1);
        let again = self.undone_of_last_ended();
        self.submit_items(items, min_version, again);
    }

    fn submit_items(&mut self, items: usize, min_version: u64, again: Vec<String>) {
        let number = self.submitted.len();
        let id = format!("job-{number}");
        let mut submission = support::submission(&id, &vec![1; items], min_version);
        for (item, carried) in submission.items.iter_mut().zip(again) {
            item.id = carried;
        }
        for item in &mut submission.items {
            item.expected_tokens = self.random.random_range(1..50);
            let is_scored = self.random.random_bool(0.6);
            let is_scored = self
                .oracle
                .scored
                .entry(item.id.clone())
                .or_insert(is_scored);
            item.scoring = is_scored.then(|| scoring_call(&id, &item.id));
            if let Some(call) = &item.scoring {
                let calls = self.oracle.calls.entry(item.id.clone()).or_default();
                calls.insert(call.id.clone());
            }
            let is_long = self.random.random_bool(0.08);
            let longest = if is_long { 250 } else { 40 };
            let plan = ItemPlan {
                length: self.random.random_range(1..longest),
                failures: u32::from(self.random.random_bool(0.05)),
                impossible: self.random.random_bool(0.03),
                score_fails: self.random.random_bool(0.03),
            };
            self.oracle.plans.entry(item.id.clone()).or_insert(plan);
        }
        self.submitted.push(submission.clone());
        self.propose(Command::Accept(submission));
    }

    /// Items of the newest ended job that have no result.
    fn undone_of_last_ended(&self) -> Vec<String> {
        let ended = self.submitted.iter().rev();
        let ended = ended.filter_map(|one| Some((one, self.table.job(&one.id)?)));
        let newest = ended.into_iter().find(|(_, job)| job.ended);
        let Some((submission, job)) = newest else {
            return Vec::new();
        };
        let undone = submission.items.iter().zip(&job.listed);
        let undone = undone.filter(|(_, listed)| !**listed);
        undone.map(|(item, _)| item.id.clone()).collect()
    }

    /// The trainer ends its newest job that is still open.
    pub fn end_job(&mut self) {
        let open = self.submitted.iter().rev().find(|one| {
            let job = self.table.job(&one.id);
            job.is_some_and(|job| !job.ended)
        });
        if let Some(open) = open {
            let job = open.id.clone();
            self.propose(Command::End { job });
        }
    }

    pub fn name_version(&mut self) {
        self.version += 1;
        self.oracle.named = self.version;
        self.view_changed();
    }

    fn propose(&mut self, command: Command) {
        let earliest = self.proposals.back().map_or(0, |last| last.commits_at);
        let commits_at = earliest.max(self.now + self.random.random_range(3..40));
        self.proposals.push_back(Proposal {
            commits_at,
            command,
        });
    }

    /// Begins a leader; the first respects nothing, later ones all leases.
    fn elect(&mut self) {
        let others = self
            .leases
            .iter()
            .filter(|(_, (holder, _))| *holder != self.holder);
        let until = others.map(|(replica, (_, at))| (replica.clone(), at + LEASE_WITH_MARGIN));
        let mut leases = OrderLeases {
            all_until: 0,
            until: until.collect(),
        };
        if self.mutation == Some(Mutation::LeaseIgnored) {
            leases = OrderLeases::default();
        }
        let mut view = self.view.clone();
        if self.view.needs_evacuated {
            self.leader_knows = false;
            self.view_changed();
            if self.mutation != Some(Mutation::EvacuationBelieved) {
                view.forget_evacuated();
            }
        }
        let dispatcher = Dispatcher::new(
            self.term,
            Settings::default(),
            &self.table,
            view,
            leases,
            self.now,
        );
        self.dispatcher = Some(dispatcher);
        for number in 0..self.edges.len() {
            self.edges[number].newest_term = self.term;
            if self.edges[number].linked && self.edges[number].suspended.is_none() {
                self.register_runs(number);
            }
        }
    }
}

/// The call that scores an item in one of its jobs.
fn scoring_call(job: &str, item: &str) -> ScoringCall {
    ScoringCall {
        id: format!("score-{job}-{item}"),
        host: "host.example".to_string(),
        path: "/score/x".to_string(),
        body: bytes::Bytes::from_static(b"grade this"),
    }
}
