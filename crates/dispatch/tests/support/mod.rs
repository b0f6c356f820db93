//! A dispatcher with its table, driven by hand.

use brasspond_cluster_protocol::{RunReport, RunSpec, StreamEvent};
use brasspond_dispatch::{Action, Dispatcher, Event, OrderLeases, Settings};
use brasspond_fleet::{
    Configuration, FleetView, Limits, ReplicaInfo, Route, RouteKind, ServedModel, Service, Target,
};
use brasspond_jobs::{Command, Item, JobTable, Submission};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::Arc;

pub struct Fixture {
    pub table: JobTable,
    dispatcher: Dispatcher,
    view: FleetView,
    now: u64,
    term: u64,
}

impl Fixture {
    /// A leader past the time in which edges tell of their runs.
    pub fn new(view: FleetView, leases: OrderLeases) -> Self {
        Self::with_table(JobTable::default(), view, leases, 1)
    }

    fn with_table(table: JobTable, view: FleetView, leases: OrderLeases, term: u64) -> Self {
        let settings = Settings {
            adopt_ms: if term == 1 { 0 } else { 300 },
            ..Settings::default()
        };
        let dispatcher = Dispatcher::new(term, settings, &table, view.clone(), leases, 0);
        Self {
            table,
            dispatcher,
            view,
            now: 0,
            term,
        }
    }

    pub fn next_leader(self) -> Self {
        let leases = OrderLeases::default();
        Self::with_table(self.table, self.view, leases, self.term + 1)
    }

    pub fn advance(&mut self, ms: u64) {
        self.now += ms;
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        self.dispatcher.handle(event, &self.table, self.now)
    }

    pub fn edge(&mut self, machine: &str) -> Vec<Action> {
        self.edge_with(machine, Vec::new())
    }

    pub fn edge_with(&mut self, machine: &str, runs: Vec<RunReport>) -> Vec<Action> {
        self.handle(Event::EdgeUp {
            machine: machine.to_string(),
            zone: "zone".to_string(),
            runs,
        })
    }

    pub fn accept(&mut self, submission: Submission) -> Vec<Action> {
        let id = submission.id.clone();
        self.table.apply(Command::Accept(submission));
        self.handle(Event::JobAccepted(id))
    }

    pub fn end(&mut self, id: &str) -> Vec<Action> {
        let job = id.to_string();
        self.table.apply(Command::End { job: job.clone() });
        self.handle(Event::JobEnded(job))
    }

    pub fn name_version(&mut self, version: u64) -> Vec<Action> {
        self.view.versions = Arc::new(BTreeMap::from([("model".to_string(), version)]));
        self.view.versions_revision += 1;
        self.handle(Event::View(self.view.clone()))
    }

    pub fn set_version(&mut self, replica: &str, version: u64) {
        let replicas = Arc::make_mut(&mut self.view.replicas);
        replicas.get_mut(replica).expect("there").models[0].version = version;
        self.view.replicas_revision += 1;
        self.handle(Event::View(self.view.clone()));
    }
}

pub fn view(replicas: usize, slots: u32) -> FleetView {
    let route = Route {
        name: "steps".to_string(),
        host: "host.example".to_string(),
        prefix: "/jobs/".to_string(),
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
    };
    let service = Service {
        name: "engines".to_string(),
        max_connections: 100,
        engine_slots: slots,
        models: vec!["model".to_string()],
    };
    let replicas = (0..replicas).map(|number| replica(number, slots));
    FleetView {
        configuration: Some(Arc::new(Configuration {
            version: 1,
            routes: vec![route],
            services: vec![service],
            limits: Limits::default(),
        })),
        configuration_revision: 1,
        replicas: Arc::new(replicas.map(|one| (one.id.clone(), one)).collect()),
        replicas_revision: 1,
        ..FleetView::default()
    }
}

fn replica(number: usize, slots: u32) -> ReplicaInfo {
    ReplicaInfo {
        id: format!("replica-{number}"),
        service: "engines".to_string(),
        address: format!("10.0.1.{}:80", number + 1)
            .parse()
            .expect("address"),
        zone: "zone".to_string(),
        slots,
        draining: false,
        models: vec![ServedModel {
            name: "model".to_string(),
            version: 1,
        }],
        revision: 1,
    }
}

/// A job whose items are expected to write so many tokens.
pub fn submission(id: &str, expected: &[u64], min_version: u64) -> Submission {
    let items = expected.iter().enumerate().map(|(number, tokens)| Item {
        id: format!("{id}-item-{number}"),
        path: "/jobs/run".to_string(),
        headers: Vec::new(),
        body: Bytes::from_static(b"body"),
        tokens: *tokens,
        expected_tokens: *tokens,
        group: format!("group-{number}"),
        model: "model".to_string(),
    });
    Submission {
        id: id.to_string(),
        host: "host.example".to_string(),
        path: "/jobs/step".to_string(),
        model: "model".to_string(),
        step: 1,
        min_version,
        desired: 1,
        items: items.collect(),
    }
}

pub fn event(id: u64, data: &str, version: u64) -> StreamEvent {
    StreamEvent {
        id,
        data: Bytes::from(data.to_string()),
        version,
    }
}

pub fn runs(actions: &[Action]) -> Vec<RunSpec> {
    let runs = actions.iter().filter_map(|action| match action {
        Action::Run { spec, .. } => Some((**spec).clone()),
        _ => None,
    });
    runs.collect()
}
