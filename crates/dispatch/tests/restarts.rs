//! Guards against using the state of a replica's earlier life after it restarts under the same id.

mod fixture;
mod support;

use brasspond_cluster_protocol::{Pace, RunEnd, RunSpec};
use brasspond_dispatch::{Action, Event, OrderAnswer, OrderLeases, ReplicaReport};
use brasspond_fleet::{FleetView, Identity, Life, ReplicaInfo, WarmUp};
use fixture::{Fixture, event, runs};
use rstest::rstest;
use std::sync::Arc;
use support::{submission, view};

const FIRST: Life = Life::reported(1_000);
const SECOND: Life = Life::reported(9_000);

/// Returns a view with replicas in their first lives.
fn fleet(replicas: usize) -> FleetView {
    let mut fleet = view(replicas, 1);
    for replica in fleet.replicas_mut() {
        replica.life = FIRST;
    }
    fleet
}

/// Returns an entry of the first replica.
fn entry(life: Life, version: u64, revision: u64) -> ReplicaInfo {
    let mut info = support::replica(0, 1);
    info.models.set("model", version);
    info.life = life;
    info.revision = revision;
    info
}

/// Returns a report of the first replica.
fn report(life: Life, version: u64, busy: bool, sequence: u64) -> Event {
    Event::Report {
        replica: "replica-0".to_string(),
        report: Some(ReplicaReport {
            versions: vec![("model".to_string(), version)],
            busy,
            sequence,
            life,
        }),
    }
}

/// Returns the first replica's answer to an order.
fn order_answered(life: Life, answer: OrderAnswer) -> Event {
    let id = "replica-0".into();
    Event::OrderAnswered {
        replica: Identity { id, life },
        answer,
    }
}

/// Returns the life, version and expected count of each order.
fn orders(actions: &[Action]) -> Vec<(Life, u64, u64)> {
    let orders = actions.iter().filter_map(|action| match action {
        Action::Order {
            replica,
            version,
            expected_orders,
            ..
        } => Some((replica.life, *version, *expected_orders)),
        _ => None,
    });
    orders.collect()
}

fn requests_report(actions: &[Action]) -> bool {
    let mut actions = actions.iter();
    actions.any(|action| matches!(action, Action::RequestReport { .. }))
}

/// Returns the new lives of replicas that restarted.
fn restarted_lives(actions: &[Action]) -> Vec<Life> {
    let lives = actions.iter().filter_map(|action| match action {
        Action::ReplicaRestarted { replica, .. } => Some(replica.life),
        _ => None,
    });
    lives.collect()
}

/// Returns a leader with one replica that loaded version 2 in its first life.
fn leader_after_load() -> Fixture {
    let mut fixture = Fixture::new(fleet(1), OrderLeases::default());
    fixture.register_edge("edge-1");
    fixture.publish_version(2);
    let actions = fixture.handle(report(FIRST, 1, false, 4));
    assert_eq!(orders(&actions), [(FIRST, 2, 4)]);
    fixture.handle(order_answered(FIRST, OrderAnswer::Taken));
    fixture.advance(1_000);
    fixture.handle(report(FIRST, 2, false, 5));
    fixture
}

/// Guards against runs for a version that a restarted replica lost, and against orders that expect
/// the count of the earlier life.
#[rstest]
fn a_version_of_the_earlier_life_counts_as_not_loaded() {
    let mut fixture = leader_after_load();
    let actions = fixture.set_replica(entry(SECOND, 1, 7));
    assert_eq!(restarted_lives(&actions), [SECOND]);
    assert!(requests_report(&actions), "its count of orders is unknown");
    let actions = fixture.handle(report(SECOND, 1, false, 0));
    assert_eq!(orders(&actions), [(SECOND, 2, 0)]);
    // No run that requires version 2 starts before it is loaded.
    let actions = fixture.accept(submission("job", &[1], 2));
    assert!(runs(&actions).is_empty());
}

/// Guards against late entries and reports of an earlier life.
#[rstest]
fn an_earlier_life_is_ignored() {
    let mut fixture = leader_after_load();
    fixture.set_replica(entry(SECOND, 1, 7));
    let actions = fixture.set_replica(entry(FIRST, 2, 7));
    assert!(restarted_lives(&actions).is_empty());
    let actions = fixture.handle(report(FIRST, 2, false, 5));
    assert!(orders(&actions).is_empty(), "a count of the earlier life");
    let actions = fixture.accept(submission("job", &[1], 2));
    assert!(runs(&actions).is_empty(), "a version of the earlier life");
}

/// Guards against a new leader that accepts the entry of an earlier life after a newer one.
#[rstest]
fn a_new_leader_ignores_an_earlier_life() {
    let mut before = leader_after_load();
    before.set_replica(entry(SECOND, 1, 7));
    let mut after = before.next_leader();
    after.register_edge("edge-1");
    after.advance(400);
    let actions = after.set_replica(entry(FIRST, 2, 7));
    assert!(restarted_lives(&actions).is_empty());
    after.accept(submission("job", &[1], 2));
    assert!(runs(&after.handle(Event::Tick)).is_empty());
}

/// Guards against waiting for a load that the restart ended, where a report of the new life arrives
/// before its entry.
#[rstest]
fn a_load_in_progress_is_ordered_again_in_the_new_life() {
    let mut fixture = Fixture::new(fleet(1), OrderLeases::default());
    fixture.publish_version(2);
    fixture.handle(report(FIRST, 1, false, 4));
    fixture.handle(order_answered(FIRST, OrderAnswer::Taken));
    fixture.advance(600);
    fixture.handle(Event::Tick);
    let actions = fixture.handle(report(SECOND, 1, false, 0));
    assert_eq!(restarted_lives(&actions), [SECOND]);
    assert_eq!(orders(&actions), [(SECOND, 2, 0)]);
    // The answer of the earlier life arrives late.
    fixture.handle(order_answered(FIRST, OrderAnswer::Holds));
    let actions = fixture.accept(submission("job", &[1], 2));
    assert!(runs(&actions).is_empty(), "the new life serves version 1");
    fixture.handle(order_answered(SECOND, OrderAnswer::Taken));
    fixture.advance(1_000);
    fixture.register_edge("edge-1");
    let actions = fixture.handle(report(SECOND, 2, false, 1));
    assert_eq!(runs(&actions).len(), 1);
}

/// Guards against repeating an unanswered order that the new life has accepted because the expected
/// count happens to match.
#[rstest]
fn an_order_that_the_next_life_accepted_is_not_repeated() {
    let mut fixture = Fixture::new(fleet(1), OrderLeases::default());
    fixture.publish_version(2);
    fixture.handle(report(FIRST, 1, false, 0));
    fixture.handle(order_answered(FIRST, OrderAnswer::Unknown));
    fixture.advance(200);
    let actions = fixture.set_replica(entry(SECOND, 1, 7));
    assert!(requests_report(&actions));
    let actions = fixture.handle(report(SECOND, 1, true, 1));
    assert!(orders(&actions).is_empty(), "it is loading");
    fixture.advance(900);
    fixture.handle(report(SECOND, 2, false, 1));
    fixture.register_edge("edge-1");
    let actions = fixture.accept(submission("job", &[1], 2));
    assert_eq!(runs(&actions).len(), 1);
}

/// Guards against waiting for streams that the restart ended.
#[rstest]
fn runs_of_the_earlier_life_resume_after_their_last_events() {
    let mut fixture = Fixture::new(fleet(2), OrderLeases::default());
    fixture.register_edge("edge-1");
    let actions = fixture.accept(submission("job", &[2, 1], 0));
    let started = runs(&actions);
    let on_first = |run: &&RunSpec| run.replica == "replica-0";
    let first = started
        .iter()
        .find(on_first)
        .expect("a run on replica-0")
        .clone();
    assert_eq!(first.life, FIRST);
    let actions = fixture.set_replica(entry(SECOND, 1, 7));
    let is_cancelled = actions.contains(&Action::Cancel {
        machine: "edge-1".to_string(),
        attempt: first.attempt,
    });
    assert!(is_cancelled, "its stream is of the earlier life");
    let actions = fixture.handle(Event::RunEnded {
        machine: "edge-1".to_string(),
        attempt: first.attempt,
        events: vec![event(1, "a", 1)],
        end: RunEnd::Cancelled,
    });
    let again = runs(&actions);
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].events, vec![event(1, "a", 1)]);
    assert_eq!(again[0].life, SECOND, "the new life has a free slot");
}

/// Guards against counting faults and paces of an earlier life against the new one.
#[rstest]
fn faults_and_paces_of_the_earlier_life_do_not_count() {
    let mut fixture = Fixture::new(fleet(1), OrderLeases::default());
    fixture.register_edge("edge-1");
    let first = runs(&fixture.accept(submission("job", &[1], 0)))[0].clone();
    fixture.set_replica(entry(SECOND, 1, 7));
    fixture.handle(Event::Progress {
        machine: "edge-1".to_string(),
        attempt: first.attempt,
        events: vec![event(1, "a", 1)],
        pace: Some(Pace {
            events: 100,
            span_ms: 60_000,
        }),
    });
    let actions = fixture.handle(Event::RunEnded {
        machine: "edge-1".to_string(),
        attempt: first.attempt,
        events: Vec::new(),
        end: RunEnd::Broken,
    });
    let again = runs(&actions);
    assert_eq!(again.len(), 1, "the replica is not paused");
    assert_eq!(again[0].life, SECOND);
}

/// Guards against pausing a restarted replica for faults of its earlier life.
#[rstest]
fn a_restart_ends_the_pause_of_a_faulty_replica() {
    let mut fixture = Fixture::new(fleet(1), OrderLeases::default());
    fixture.register_edge("edge-1");
    let first = runs(&fixture.accept(submission("job", &[1], 0)))[0].clone();
    let actions = fixture.handle(Event::RunEnded {
        machine: "edge-1".to_string(),
        attempt: first.attempt,
        events: Vec::new(),
        end: RunEnd::Broken,
    });
    assert!(runs(&actions).is_empty(), "the replica is paused");
    assert_eq!(runs(&fixture.set_replica(entry(SECOND, 1, 7))).len(), 1);
}

/// Guards against trusting a version that a replica without a reported life lost, once a stream
/// shows the loss.
#[rstest]
fn a_version_that_a_run_shows_to_be_missing_is_loaded_again() {
    let mut fixture = Fixture::new(view(1, 1), OrderLeases::default());
    fixture.register_edge("edge-1");
    fixture.publish_version(2);
    fixture.handle(report(Life::UNKNOWN, 1, false, 4));
    fixture.handle(order_answered(Life::UNKNOWN, OrderAnswer::Taken));
    fixture.advance(1_000);
    fixture.handle(report(Life::UNKNOWN, 2, false, 5));
    let run = runs(&fixture.accept(submission("job", &[1], 2)))[0].clone();
    fixture.handle(Event::RunEnded {
        machine: "edge-1".to_string(),
        attempt: run.attempt,
        events: Vec::new(),
        end: RunEnd::TooOld,
    });
    fixture.advance(3_000);
    let actions = fixture.handle(Event::Tick);
    assert!(runs(&actions).is_empty());
    assert!(requests_report(&actions), "a load is due");
}

/// Guards against discarding the state of a replica that reports no life.
#[rstest]
fn entries_and_reports_without_a_life_discard_nothing() {
    let mut fixture = Fixture::new(view(1, 1), OrderLeases::default());
    fixture.register_edge("edge-1");
    fixture.publish_version(2);
    fixture.handle(report(Life::UNKNOWN, 1, false, 4));
    fixture.handle(order_answered(Life::UNKNOWN, OrderAnswer::Taken));
    fixture.advance(1_000);
    fixture.handle(report(Life::UNKNOWN, 2, false, 5));
    let actions = fixture.set_replica(entry(Life::UNKNOWN, 1, 7));
    assert!(restarted_lives(&actions).is_empty());
    let actions = fixture.accept(submission("job", &[1], 2));
    assert_eq!(runs(&actions).len(), 1);
}

/// Guards against unlimited requests to a restarted replica before its entry shows the warm-up.
#[rstest]
fn a_new_life_counts_as_warming_up_until_its_entry_arrives() {
    let mut fleet = fleet(1);
    let configuration = Arc::make_mut(fleet.configuration.as_mut().expect("a configuration"));
    configuration.services[0].warm_up = Some(WarmUp {
        time_ms: 3_000,
        per_second: 3.0,
    });
    let mut fixture = Fixture::new(fleet, OrderLeases::default());
    fixture.register_edge("edge-1");
    fixture.advance(10_000);
    fixture.report_clock("edge-1", 0);
    fixture.publish_version(2);
    fixture.handle(report(FIRST, 1, false, 0));
    fixture.handle(order_answered(FIRST, OrderAnswer::Taken));
    fixture.advance(1_000);
    fixture.handle(report(SECOND, 2, false, 0));
    let actions = fixture.accept(submission("job", &[1], 2));
    assert!(runs(&actions).is_empty(), "it may be cold");
    // Its entry shows that it is warm.
    let actions = fixture.set_replica(entry(SECOND, 2, 7));
    assert_eq!(
        runs(&actions).len(),
        0,
        "its budget still applies for a short time"
    );
    fixture.advance(2_000);
    assert_eq!(runs(&fixture.handle(Event::Tick)).len(), 1);
}
