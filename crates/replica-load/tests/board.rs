//! Merging of observations at the size that deployments are designed for.

use brasspond_replica_load::{
    LoadBoard, MAX_ENTRIES, ObservationRecorder, ReplicaLoad, ReplicaObservation,
};
use proptest::prelude::{Strategy, any, prop, proptest};
use rstest::rstest;
use std::collections::BTreeSet;
use std::sync::Arc;

const EDGES: usize = 390;
const REPLICAS: usize = 820;

fn edge(number: usize) -> Arc<str> {
    format!("edge-{number}").into()
}

fn replica(number: usize) -> Arc<str> {
    format!("replica-{number:03}").into()
}

fn observation(number: usize, answers: u32, mean_ms: u32, faults: u32) -> ReplicaObservation {
    ReplicaObservation {
        replica: replica(number),
        answers,
        mean_ms,
        faults,
    }
}

fn service_of(_: &str) -> Option<&'static str> {
    Some("plain")
}

fn listed(board: &LoadBoard) -> Vec<String> {
    let listed = board.shared().iter();
    listed.map(|load| load.replica.to_string()).collect()
}

/// Answers of ten replicas, of which the first has `first_ms` and the others 40 ms.
fn ten(first_ms: u32) -> Vec<ReplicaObservation> {
    let others = (1..10).map(|number| observation(number, 1, 40, 0));
    let first = observation(0, 1, first_ms, 0);
    std::iter::once(first).chain(others).collect()
}

/// Guards against a list that omits a slow replica or contains a usual one.
#[rstest]
#[case::usual(40, false)]
#[case::slightly_slower(59, false)]
#[case::slow(60, true)]
#[case::fast(5, false)]
fn only_slow_replicas_are_listed(#[case] first_ms: u32, #[case] expected: bool) {
    let mut board = LoadBoard::default();
    board.observe(&edge(0), &ten(first_ms), 1_000);
    board.tick(service_of, 1_000);
    let expected: &[&str] = if expected { &["replica-000"] } else { &[] };
    assert_eq!(listed(&board), expected);
}

/// Guards against a list that names a replica for a fault of a single edge.
#[rstest]
#[case(1, false)]
#[case(2, true)]
#[case(5, true)]
fn a_replica_fails_at_two_edges(#[case] edges: usize, #[case] expected: bool) {
    let mut board = LoadBoard::default();
    for number in 0..edges {
        // A second report of an edge does not count as another edge.
        board.observe(&edge(number), &[observation(3, 0, 0, 1)], 1_000);
        board.observe(&edge(number), &[observation(3, 0, 0, 2)], 1_010);
    }
    board.tick(service_of, 1_100);
    let is_failing = board.shared().iter().any(|load| load.is_failing);
    assert_eq!(is_failing, expected);
}

/// Guards against a replica that recovers and stays on the list.
#[rstest]
fn a_replica_that_answers_again_leaves_the_list() {
    let mut board = LoadBoard::default();
    for number in 0..2 {
        board.observe(&edge(number), &[observation(0, 0, 0, 1)], 1_000);
    }
    board.tick(service_of, 1_000);
    assert_eq!(listed(&board), ["replica-000"]);
    board.observe(&edge(1), &[observation(0, 1, 40, 0)], 1_400);
    let change = board.tick(service_of, 1_500).expect("the list changes");
    assert_eq!(change.left, [replica(0)]);
    assert!(board.shared().is_empty());
}

/// Guards against a replica that is rated by its life before a restart.
#[rstest]
fn a_restarted_replica_leaves_the_list() {
    let mut board = LoadBoard::default();
    board.observe(&edge(0), &ten(400), 1_000);
    board.tick(service_of, 1_000);
    board.forget("replica-000");
    let change = board.tick(service_of, 1_500).expect("the list changes");
    assert_eq!(change.left, [replica(0)]);
}

/// Guards against a replica that nobody uses any more and stays on the list for its past.
#[rstest]
fn observations_expire() {
    let mut board = LoadBoard::default();
    board.observe(&edge(0), &ten(400), 1_000);
    board.tick(service_of, 1_000);
    assert_eq!(listed(&board), ["replica-000"]);
    board.tick(service_of, 5_999);
    assert_eq!(listed(&board), ["replica-000"]);
    let change = board.tick(service_of, 6_500).expect("the list changes");
    assert_eq!(change.left, [replica(0)]);
}

/// Guards against a list that is sent at every tick although nothing changed, and against one that
/// edges discard because it is not sent again.
#[rstest]
fn a_list_is_sent_when_it_changes_and_each_second() {
    let mut board = LoadBoard::default();
    let mut sent = Vec::new();
    for now in (1_000..5_000).step_by(100) {
        if now % 500 == 0 {
            board.observe(&edge(0), &ten(400), now);
        }
        if board.tick(service_of, now).is_some() {
            sent.push(now);
        }
    }
    assert_eq!(sent, [1_000, 2_000, 3_000, 4_000]);
    let mut usual = LoadBoard::default();
    usual.observe(&edge(0), &ten(40), 1_000);
    assert_eq!(usual.tick(service_of, 1_000), None);
}

/// Guards against replicas compared with those of another service, and against entries for
/// replicas that are gone.
#[rstest]
fn services_are_compared_separately_and_gone_replicas_are_dropped() {
    let service_of = |replica: &str| match replica {
        "replica-000" => Some("slow"),
        "replica-009" => None,
        _ => Some("plain"),
    };
    let mut board = LoadBoard::default();
    let mut report = ten(4_000);
    report[9].mean_ms = 4_000;
    board.observe(&edge(0), &report, 1_000);
    board.tick(service_of, 1_000);
    assert!(board.shared().is_empty(), "{:?}", board.shared());
}

/// Guards against a list, or a report, that grows with the deployment, and against one that omits
/// the worst replicas: 390 edges observe 820 replicas, of which 200 are slow and 40 fail.
#[rstest]
fn the_list_is_bounded_and_begins_with_the_worst() {
    let mut board = LoadBoard::default();
    for number in 0..EDGES {
        let mut recorder = ObservationRecorder::default();
        for one in 0..REPLICAS {
            let id = replica(one);
            match one {
                0..40 => recorder.record_fault(&id),
                40..240 => recorder.record_answer(&id, 400.0 + one as f64),
                _ => recorder.record_answer(&id, 40.0),
            }
        }
        let mut reports = 0;
        loop {
            let report = recorder.take();
            if report.is_empty() {
                break;
            }
            assert!(report.len() <= MAX_ENTRIES);
            board.observe(&edge(number), &report, 1_000);
            reports += 1;
        }
        assert_eq!(reports, REPLICAS.div_ceil(MAX_ENTRIES));
    }
    board.tick(service_of, 1_000);
    let failing = (0..40).map(replica);
    let slowest = (216..240).rev().map(replica);
    let expected: Vec<Arc<str>> = failing.chain(slowest).collect();
    let actual: Vec<Arc<str>> = board
        .shared()
        .iter()
        .map(|load| Arc::clone(&load.replica))
        .collect();
    assert_eq!(actual, expected);
}

/// Guards against faults that wait behind answers when an edge observes more replicas than fit
/// into a report.
#[rstest]
fn faults_are_reported_first() {
    let mut recorder = ObservationRecorder::default();
    for one in 0..REPLICAS {
        recorder.record_answer(&replica(one), 40.0);
    }
    recorder.record_fault(&replica(819));
    let report = recorder.take();
    assert_eq!(report[0], observation(819, 1, 40, 1));
}

fn any_observation() -> impl Strategy<Value = ReplicaObservation> {
    let numbers = (0..REPLICAS, any::<u32>(), any::<u32>(), any::<u32>());
    numbers.prop_map(|(one, answers, mean_ms, faults)| observation(one, answers, mean_ms, faults))
}

proptest! {
    /// Guards against arithmetic overflow with false numbers, against duplicate entries, and
    /// against a change that does not match the lists before and after it.
    #[test]
    fn changes_match_the_lists(
        reports in prop::collection::vec(
            (0..EDGES, 0..1_500_u64, prop::collection::vec(any_observation(), 0..80)),
            0..40,
        ),
    ) {
        let mut board = LoadBoard::default();
        let mut now = 0;
        for (number, pause, report) in reports {
            now += pause;
            let before: BTreeSet<Arc<str>> = replicas(board.shared());
            board.observe(&edge(number), &report, now);
            let Some(change) = board.tick(service_of, now) else {
                continue;
            };
            let after = replicas(board.shared());
            assert!(board.shared().len() <= MAX_ENTRIES);
            assert_eq!(after.len(), board.shared().len());
            let left: BTreeSet<Arc<str>> = change.left.into_iter().collect();
            assert_eq!(left, before.difference(&after).cloned().collect());
            let entered = replicas(&change.entered);
            assert!(after.difference(&before).all(|one| entered.contains(one)));
        }
    }
}

fn replicas(loads: &[ReplicaLoad]) -> BTreeSet<Arc<str>> {
    loads.iter().map(|load| Arc::clone(&load.replica)).collect()
}
