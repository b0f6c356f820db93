//! Which edge runs an item, by where its replica is.

mod fixture;
mod support;

use brasspond_dispatch::{Action, Event, OrderLeases};
use fixture::Fixture;
use rstest::rstest;
use std::sync::Arc;
use support::{submission, view};

/// Zones are named after their region: `n1` and `n2` are in `n`.
fn edge_up(machine: &str, zone: &str) -> Event {
    Event::EdgeUp {
        machine: machine.to_string(),
        zone: zone.to_string(),
        region: Some(zone[..1].into()),
        runs: Vec::new(),
    }
}

fn edges_of_runs(edges: &[(&str, &str)], items: usize) -> Vec<String> {
    let mut view = view(1, 64);
    let replicas = Arc::make_mut(&mut view.replicas);
    let replica = replicas.get_mut("replica-0").expect("the first");
    replica.zone = "n1".to_string();
    replica.region = Some("n".into());
    let mut fixture = Fixture::new(view, OrderLeases::default());
    for (machine, zone) in edges {
        fixture.handle(edge_up(machine, zone));
    }
    let actions = fixture.accept(submission("job", &vec![10; items], 0));
    let machines = actions.iter().filter_map(|action| match action {
        Action::Run { machine, .. } => Some(machine.clone()),
        _ => None,
    });
    let machines: Vec<String> = machines.collect();
    assert_eq!(machines.len(), items);
    machines
}

/// Two edges outside the replica's zone are not the same: one is in another region.
#[rstest]
#[case(&[("a", "s1"), ("b", "n2"), ("c", "n1")], "c")]
#[case(&[("a", "s1"), ("b", "n2")], "b")]
#[case(&[("a", "s1")], "a")]
fn the_nearest_edge_runs_an_item(#[case] edges: &[(&str, &str)], #[case] expected: &str) {
    let machines = edges_of_runs(edges, 3);
    assert!(
        machines.iter().all(|machine| machine == expected),
        "{machines:?}"
    );
}

/// Near edges are not given a whole job while others of the region have few runs.
#[rstest]
fn edges_of_the_region_share_many_runs() {
    let machines = edges_of_runs(&[("a", "s1"), ("b", "n2"), ("c", "n1")], 60);
    let of = |name: &str| machines.iter().filter(|machine| *machine == name).count();
    assert_eq!(of("a"), 0, "none passes between regions");
    assert!(of("b") > 0 && of("c") > of("b"), "{machines:?}");
}
