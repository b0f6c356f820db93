//! Views with a history of changes.

use brasspond_fleet::{FleetView, Life, ReplicaInfo};

pub fn replica(number: u64, revision: u64) -> ReplicaInfo {
    ReplicaInfo {
        id: format!("replica-{number}").into(),
        service: "service".into(),
        address: "10.0.0.1:80".parse().expect("address"),
        zone: "zone".into(),
        slots: 1,
        draining: revision.is_multiple_of(3),
        models: Vec::new().into(),
        revision,
        is_spot: false,
        notice_ms: None,
        region: None,
        warming_ms: 0,
        life: Life::UNKNOWN,
    }
}

/// Returns the initial view and the view after each change, which writes or removes a replica.
pub fn history(changes: &[(u64, bool)]) -> Vec<FleetView> {
    let mut view = FleetView::default();
    let mut views = vec![view.clone()];
    for (step, (number, is_removed)) in changes.iter().enumerate() {
        let revision = step as u64 + 1;
        if *is_removed {
            view.remove_replica(&format!("replica-{number}"));
        } else {
            view.insert_replica(replica(*number, revision));
        }
        view.replicas_revision = revision;
        views.push(view.clone());
    }
    views
}
