//! Guards against edges of a large fleet that use another replica for each request, and against
//! edges that all prefer the same replicas.

use super::super::tests::{balancer, plain_requirements};
use super::*;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};

const REPLICAS: usize = 78;

/// A balancer of an edge before `count` replicas in its zone. `seed` decides which it prefers.
fn edge(count: usize, seed: u64) -> LoadBalancer {
    let ids: Vec<String> = (0..count)
        .map(|number| format!("replica-{number:02}"))
        .collect();
    let replicas: Vec<_> = ids.iter().map(|id| (id.as_str(), "n1")).collect();
    let mut edge = balancer(&replicas).0;
    edge.preference = Preference { seed };
    edge
}

/// Sends one request, which takes the time that `response_ms` returns for the chosen replica.
fn request(edge: &mut LoadBalancer, response_ms: impl Fn(&str) -> u64) -> String {
    let chosen = edge.choose(&plain_requirements(), &[], Moment::now());
    let replica = chosen.expect("a replica").replica().to_string();
    edge.begin_request(&replica);
    let time = Duration::from_millis(response_ms(&replica));
    edge.record_response(&replica, Moment::now(), time);
    edge.end_request(&replica);
    edge.update_typical_times(Moment::now());
    replica
}

/// Response times of equal replicas, which vary with the request.
fn varying(number: usize) -> impl Fn(&str) -> u64 {
    move |replica| 18 + (replica.len() + number * 7) as u64 % 15
}

#[rstest]
fn an_edge_that_sends_few_requests_uses_few_replicas() {
    let mut edge = edge(REPLICAS, 1);
    let mut used = BTreeSet::new();
    for number in 0..24 {
        // The requests of a quiet edge are seconds apart.
        edge.recent_requests.clear();
        used.insert(request(&mut edge, varying(number)));
    }
    // One of sixteen requests may leave the subset.
    assert!(used.len() <= MIN_SUBSET + 2, "{used:?}");
}

#[rstest]
fn all_edges_together_use_all_replicas() {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    const EDGES: usize = 835;
    for seed in 0..EDGES {
        let mut edge = edge(REPLICAS, seed as u64);
        for number in 0..6 {
            edge.recent_requests.clear();
            *counts
                .entry(request(&mut edge, varying(number)))
                .or_default() += 1;
        }
    }
    let busiest = counts.values().max().copied().unwrap_or(0);
    let mean = EDGES * 6 / REPLICAS;
    assert_eq!(counts.len(), REPLICAS);
    assert!(
        busiest <= 3 * mean,
        "{busiest} requests, {mean} in the mean"
    );
}

/// Guards against an edge that stays with slow replicas because it knows no others.
#[rstest]
fn an_edge_leaves_a_slow_subset() {
    let mut edge = edge(12, 1);
    let mut ids: Vec<String> = (0..12)
        .map(|number| format!("replica-{number:02}"))
        .collect();
    ids.sort_by_key(|id| edge.preference.of(id));
    let slow: BTreeSet<String> = ids.into_iter().take(MIN_SUBSET).collect();
    let mut fast = 0;
    for number in 0..80 {
        edge.recent_requests.clear();
        let used = request(
            &mut edge,
            |replica| {
                if slow.contains(replica) { 200 } else { 20 }
            },
        );
        fast += usize::from(number >= 40 && !slow.contains(&used));
    }
    assert!(fast >= 35, "{fast} of the last 40 requests were fast");
}

#[rstest]
fn an_edge_that_sends_many_requests_uses_all_replicas() {
    let mut edge = edge(20, 1);
    let used: BTreeSet<String> = (0..400)
        .map(|number| request(&mut edge, varying(number)))
        .collect();
    assert_eq!(used.len(), 20);
}
