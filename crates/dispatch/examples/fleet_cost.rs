//! Benchmark: time spent in [`Dispatcher::handle`] by kind of event, for a fleet of a given size.
//!
//! Simulates replicas that generate events at a constant pace, and a job every two seconds for one
//! of three models in turn:
//!
//! ```text
//! cargo run --release -p brasspond-dispatch --example fleet_cost -- REPLICAS EDGES ITEMS SECONDS
//! ```

use brasspond_cluster_protocol::{AttemptId, Pace, RunEnd, RunSpec, StreamEvent};
use brasspond_dispatch::{
    Action, Dispatcher, Event, OrderAnswer, OrderLeases, ReplicaReport, Settings,
};
use brasspond_fleet::{
    Configuration, FleetView, Identity, Life, Limits, Regions, ReplicaInfo, Route, RouteKind,
    ServedModel, Service, Target, replicas_by_id,
};
use brasspond_jobs::{Command, Draft, Item, JobTable, Submission};
use bytes::Bytes;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

const MODELS: [&str; 3] = ["model-0", "model-1", "model-2"];
const SLOTS: u32 = 8;
/// Time between two events of a run.
const EVENT_INTERVAL_MS: u64 = 50;
/// Time between two reports of an edge.
const REPORT_INTERVAL_MS: u64 = 250;
/// Time between two jobs.
const STEP_INTERVAL_MS: u64 = 2_000;
const TICK_INTERVAL_MS: u64 = 100;
const LOAD_DURATION_MS: u64 = 900;

/// A run at its edge.
struct ActiveRun {
    spec: RunSpec,
    machine: String,
    started_at: u64,
    /// Number of events that were reported.
    reported: u64,
    /// Number of events after which the run ends.
    total_events: u64,
}

/// A simulated fleet with its leader.
struct Fleet {
    now: u64,
    dispatcher: Dispatcher,
    table: JobTable,
    view: FleetView,
    running: BTreeMap<AttemptId, ActiveRun>,
    /// Loads in progress: end in ms, replica, model and version.
    loading: Vec<(u64, String, String, u64)>,
    /// Number of accepted orders and served versions by replica.
    replica_states: HashMap<String, (u64, Vec<(String, u64)>)>,
    /// Count, total time and longest time of handled events, by kind.
    timings: BTreeMap<&'static str, (u64, Duration, Duration)>,
    steps: u64,
    items: usize,
}

fn main() {
    let arguments: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|word| word.parse().ok())
        .collect();
    let [replicas, edges, items, seconds] = arguments[..] else {
        eprintln!("usage: fleet_cost REPLICAS EDGES ITEMS SECONDS");
        std::process::exit(2);
    };
    let mut fleet = Fleet::new(replicas, edges, items);
    while fleet.now < seconds as u64 * 1_000 {
        fleet.advance();
    }
    let total: Duration = fleet.timings.values().map(|(_, time, _)| *time).sum();
    println!(
        "{replicas} replicas, {edges} edges, {items} items a step: {:.1}% of a core, {} running",
        100.0 * total.as_secs_f64() / seconds as f64,
        fleet.running.len()
    );
    for (name, (count, time, longest)) in &fleet.timings {
        println!(
            "  {name:12} {count:8} events {:9.1} us each {:7.2}% of a core, longest {:.1} ms",
            time.as_secs_f64() * 1e6 / *count as f64,
            100.0 * time.as_secs_f64() / seconds as f64,
            longest.as_secs_f64() * 1e3
        );
    }
}

fn route(model: &str) -> Route {
    Route {
        name: model.to_string(),
        host: "host.example".to_string(),
        prefix: format!("/{model}/"),
        kind: RouteKind::Rollout,
        timeout_ms: 10_000,
        objective_ms: 400,
        priority: 1,
        targets: vec![Target {
            service: "engines".to_string(),
            weight: 1,
        }],
        max_attempts: 3,
        resumable: true,
        single_version: false,
        max_queue_ms: 40_000,
        due_ms: 7_500,
        is_public: false,
        regions: Regions::Any,
    }
}

fn replica(number: usize) -> ReplicaInfo {
    ReplicaInfo {
        id: format!("i-{number:08x}").into(),
        service: "engines".into(),
        address: format!("10.{}.{}.1:80", number / 250, number % 250)
            .parse()
            .expect("address"),
        zone: format!("zone-{}", number % 3).into(),
        slots: SLOTS,
        draining: false,
        models: MODELS
            .iter()
            .map(|model| ServedModel {
                name: (*model).into(),
                version: 1,
            })
            .collect(),
        revision: 1,
        is_spot: false,
        notice_ms: None,
        region: None,
        warming_ms: 0,
        life: Life::UNKNOWN,
    }
}

impl Fleet {
    fn new(replicas: usize, edges: usize, items: usize) -> Self {
        let view = FleetView {
            configuration: Some(Arc::new(Configuration {
                version: 1,
                routes: MODELS.iter().map(|model| route(model)).collect(),
                services: vec![Service {
                    name: "engines".to_string(),
                    max_connections: 500,
                    engine_slots: SLOTS,
                    models: MODELS.iter().map(|model| model.to_string()).collect(),
                    scaling: None,
                    warm_up: None,
                }],
                limits: Limits::default(),
                tenants: Vec::new(),
            })),
            configuration_revision: 1,
            replicas: replicas_by_id((0..replicas).map(replica)),
            replicas_revision: 1,
            ..FleetView::default()
        };
        let table = JobTable::default();
        let settings = Settings { adopt_ms: 0 };
        let leases = OrderLeases::default();
        let dispatcher = Dispatcher::new(1, settings, &table, view.clone(), leases, 0);
        let mut fleet = Self {
            now: 0,
            dispatcher,
            table,
            view,
            running: BTreeMap::new(),
            loading: Vec::new(),
            replica_states: HashMap::new(),
            timings: BTreeMap::new(),
            steps: 0,
            items,
        };
        for number in 0..edges {
            fleet.handle(
                "edge_up",
                Event::EdgeUp {
                    machine: format!("edge-{number}"),
                    region: None,
                    zone: format!("zone-{}", number % 3),
                    runs: Vec::new(),
                },
            );
        }
        fleet
    }

    fn advance(&mut self) {
        const ADVANCE_MS: u64 = 10;
        self.now += ADVANCE_MS;
        if self.now.is_multiple_of(STEP_INTERVAL_MS) {
            self.submit();
        }
        self.end_runs();
        if self.now.is_multiple_of(REPORT_INTERVAL_MS) {
            self.report();
        }
        self.end_loads();
        if self.now.is_multiple_of(TICK_INTERVAL_MS) {
            self.handle("tick", Event::Tick);
        }
    }

    fn submit(&mut self) {
        let model = MODELS[(self.steps % 3) as usize];
        let version = self.steps / 3 + 1;
        self.steps += 1;
        let items = (0..self.items).map(|number| {
            let total_events =
                5 + (number as u64 * 7_919) % 40 + if number % 40 == 0 { 100 } else { 0 };
            Item {
                id: format!("item-{}-{number}", self.steps),
                path: format!("/{model}/run"),
                headers: vec![("x-tokens".to_string(), "540,400".to_string())],
                body: Bytes::from_static(&[7; 600]),
                tokens: total_events * 75,
                expected_tokens: total_events * 75,
                group: format!("group-{}", number / 16),
                model: model.to_string(),
                scoring: None,
            }
        });
        let submission = Submission {
            id: format!("job-{}", self.steps),
            host: "host.example".to_string(),
            path: format!("/{model}/step"),
            model: model.to_string(),
            step: version,
            min_version: version.saturating_sub(1),
            desired: 1,
            items: items.collect(),
            tenant: None,
        };
        let id = submission.id.clone();
        self.table.apply(Command::Accept(submission));
        self.handle("job", Event::JobAccepted(id));
        let mut versions = (*self.view.versions).clone();
        versions.insert(model.to_string(), version + 1);
        self.view.versions = Arc::new(versions);
        self.view.versions_revision += 1;
        self.handle("view", Event::View(self.view.clone()));
    }

    fn end_runs(&mut self) {
        let ended = self
            .running
            .iter()
            .filter(|(_, run)| run.started_at + run.total_events * EVENT_INTERVAL_MS <= self.now);
        let ended: Vec<AttemptId> = ended.map(|(attempt, _)| *attempt).collect();
        for attempt in ended {
            let Some(run) = self.running.remove(&attempt) else {
                continue;
            };
            let events = events_of(&run, run.total_events);
            self.handle(
                "ended",
                Event::RunEnded {
                    machine: run.machine,
                    attempt,
                    events,
                    end: RunEnd::Whole,
                },
            );
        }
    }

    fn report(&mut self) {
        let attempts: Vec<AttemptId> = self.running.keys().copied().collect();
        for attempt in attempts {
            let Some(run) = self.running.get_mut(&attempt) else {
                continue;
            };
            let event_count =
                ((self.now - run.started_at) / EVENT_INTERVAL_MS).min(run.total_events);
            let events = events_of(run, event_count);
            run.reported = run.reported.max(event_count);
            if events.is_empty() {
                continue;
            }
            let pace = Pace {
                events: events.len() as u32,
                span_ms: REPORT_INTERVAL_MS as u32,
            };
            let event = Event::Progress {
                machine: "edge-1".to_string(),
                attempt,
                events,
                pace: Some(pace),
            };
            self.handle("progress", event);
        }
    }

    fn end_loads(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.loading)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.loading = later;
        for (_, replica, model, version) in due {
            let (_, versions) = self.replica_states.entry(replica).or_default();
            versions.retain(|(served, _)| *served != model);
            versions.push((model, version));
        }
    }

    fn handle(&mut self, name: &'static str, event: Event) {
        let started_at = Instant::now();
        let actions = self.dispatcher.handle(event, &self.table, self.now);
        let took = started_at.elapsed();
        let timings = self.timings.entry(name).or_default();
        timings.0 += 1;
        timings.1 += took;
        timings.2 = timings.2.max(took);
        for action in actions {
            self.apply(action);
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Run { machine, spec } => self.start_run(machine, *spec),
            Action::Cancel { machine, attempt } => self.cancel_run(machine, attempt),
            Action::Finish(draft) => self.finish(draft),
            Action::Extend(piece) => {
                self.table.apply(Command::Extend(vec![piece]));
            }
            Action::RequestReport { replica, .. } => self.report_state(replica),
            Action::Order {
                replica,
                model,
                version,
                ..
            } => self.execute_order(replica, model, version),
            _ => {}
        }
    }

    fn start_run(&mut self, machine: String, spec: RunSpec) {
        let table = self.table.job(&spec.job).expect("job");
        let total_events = table.items[spec.item as usize].tokens / 75;
        let reported = spec.events.len() as u64;
        let run = ActiveRun {
            machine,
            started_at: self.now.saturating_sub(reported * EVENT_INTERVAL_MS),
            reported,
            total_events,
            spec,
        };
        self.running.insert(run.spec.attempt, run);
    }

    fn cancel_run(&mut self, machine: String, attempt: AttemptId) {
        if let Some(run) = self.running.remove(&attempt) {
            let event_count =
                ((self.now - run.started_at) / EVENT_INTERVAL_MS).min(run.total_events);
            let event = Event::RunEnded {
                machine,
                attempt,
                events: events_of(&run, event_count),
                end: RunEnd::Cancelled,
            };
            self.handle("cancelled", event);
        }
    }

    /// Lists an item; ends its job once nine tenths of the items are listed.
    fn finish(&mut self, draft: Draft) {
        let (job, item) = (draft.job.clone(), draft.item);
        self.table.apply(Command::Finish(vec![draft]));
        let listed = Event::Listed {
            job: job.clone(),
            item,
        };
        self.handle("listed", listed);
        let stored = self.table.job(&job).expect("job");
        if !stored.ended && stored.results.len() * 10 >= stored.items.len() * 9 {
            self.table.apply(Command::End { job: job.clone() });
            self.handle("end", Event::JobEnded(job));
        }
    }

    fn report_state(&mut self, replica: String) {
        let (sequence, versions) = self.replica_states.entry(replica.clone()).or_default();
        let mut loading = self.loading.iter();
        let report = ReplicaReport {
            versions: versions.clone(),
            busy: loading.any(|(_, loading, ..)| *loading == replica),
            sequence: *sequence,
            life: Life::UNKNOWN,
        };
        let report = Some(report);
        self.handle("report", Event::Report { replica, report });
    }

    fn execute_order(&mut self, replica: Identity, model: String, version: u64) {
        let id = replica.id.to_string();
        self.replica_states.entry(id.clone()).or_default().0 += 1;
        self.loading
            .push((self.now + LOAD_DURATION_MS, id, model, version));
        let answer = OrderAnswer::Taken;
        self.handle("ordered", Event::OrderAnswered { replica, answer });
    }
}

fn events_of(run: &ActiveRun, event_count: u64) -> Vec<StreamEvent> {
    let events = (run.reported + 1..=event_count).map(|id| StreamEvent {
        id,
        data: Bytes::from_static(&[b'x'; 400]),
        version: 1 + run.spec.min_version,
    });
    events.collect()
}
