//! Guards against a leader that plans loads for so long that its group elects another one: each
//! load used to cost a pass over all replicas.

mod fixture;
#[allow(dead_code)]
mod support;

use brasspond_dispatch::{Action, OrderLeases};
use fixture::Fixture;
use rstest::rstest;
use std::time::{Duration, Instant};
use support::view;

const REPLICAS: usize = 10_000;
const REPETITIONS: usize = 5;

/// Returns the number of loads that begin in a fleet of version 1 once a version is published, and
/// the shortest of several times that this takes.
fn publish(version: u64) -> (usize, Duration) {
    let fleet = view(REPLICAS, 6);
    let measured = (0..REPETITIONS).map(|_| {
        let mut fixture = Fixture::new(fleet.clone(), OrderLeases::default());
        let started = Instant::now();
        let actions = fixture.publish_version(version);
        let elapsed = started.elapsed();
        let is_load = |action: &&Action| matches!(action, Action::RequestReport { .. });
        (actions.iter().filter(is_load).count(), elapsed)
    });
    let fastest = measured.min_by_key(|(_, elapsed)| *elapsed);
    fastest.expect("measured")
}

#[rstest]
fn beginning_many_loads_costs_few_passes_over_the_fleet() {
    let (no_loads, idle) = publish(1);
    let (loads, loading) = publish(2);
    assert_eq!(no_loads, 0);
    assert!(loads >= 32, "{loads} loads");
    assert!(
        loading < 8 * idle,
        "{loads} loads begin in {loading:?}; without loads it takes {idle:?}"
    );
}
