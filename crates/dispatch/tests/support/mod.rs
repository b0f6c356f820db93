//! Views and jobs for tests.

use brasspond_fleet::{
    Configuration, FleetView, Limits, Regions, ReplicaInfo, Route, RouteKind, ServedModel, Service,
    Target, replicas_by_id,
};
use brasspond_jobs::{Item, Submission};
use bytes::Bytes;
use std::sync::Arc;

/// Returns a view with one route, one service and its replicas.
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
        is_public: false,
        regions: Regions::Any,
    };
    let service = Service {
        name: "engines".to_string(),
        max_connections: 100,
        engine_slots: slots,
        models: vec!["model".to_string()],
        scaling: None,
        warm_up: None,
    };
    let replicas = (0..replicas).map(|number| replica(number, slots));
    FleetView {
        configuration: Some(Arc::new(Configuration {
            version: 1,
            routes: vec![route],
            services: vec![service],
            limits: Limits::default(),
            tenants: Vec::new(),
        })),
        configuration_revision: 1,
        replicas: replicas_by_id(replicas),
        replicas_revision: 1,
        ..FleetView::default()
    }
}

/// Returns a replica that serves version 1.
pub fn replica(number: usize, slots: u32) -> ReplicaInfo {
    ReplicaInfo {
        id: format!("replica-{number}").into(),
        service: "engines".into(),
        address: format!("10.0.{}.{}:80", 1 + number / 250, number % 250 + 1)
            .parse()
            .expect("address"),
        zone: "zone".into(),
        slots,
        draining: false,
        models: vec![ServedModel {
            name: "model".into(),
            version: 1,
        }]
        .into(),
        revision: 1,
        is_spot: false,
        notice_ms: None,
        region: None,
        warming_ms: 0,
        life: brasspond_fleet::Life::UNKNOWN,
    }
}

/// Returns a job with one item for each expected number of tokens.
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
        scoring: None,
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
        tenant: None,
    }
}
