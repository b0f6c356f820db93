//! Guards against running items on distant edges without need, and against overloading the nearest
//! one.

mod fixture;
mod support;

use brasspond_dispatch::{Action, Event, OrderLeases};
use fixture::Fixture;
use rstest::rstest;
use support::{submission, view};

/// Returns the registration of an edge in a zone. The first letter of the zone is its region.
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
    let replica = view.replica_mut("replica-0").expect("the first");
    replica.zone = "n1".into();
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

/// Guards against treating edges in other zones of the region and in other regions alike.
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

/// Guards against sending all items of a job to the nearest edge while others of its region have
/// few runs.
#[rstest]
fn edges_of_the_region_share_many_runs() {
    let machines = edges_of_runs(&[("a", "s1"), ("b", "n2"), ("c", "n1")], 60);
    let count_of = |name: &str| machines.iter().filter(|machine| *machine == name).count();
    assert_eq!(count_of("a"), 0, "no run goes to another region");
    assert!(
        count_of("b") > 0 && count_of("c") > count_of("b"),
        "{machines:?}"
    );
}
